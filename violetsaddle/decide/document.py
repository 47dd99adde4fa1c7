"""Validates configuration documents, which replace the settings of running nodes.

A document is the JSON text of the nodes' `settings` without the keys that differ between nodes (`NODE_KEYS`).
It is validated against the baseline, the settings that the nodes started with.  Only the keys in `CHANGEABLE`
may differ from the baseline, and their values are checked for type and range.  A document is accepted or
refused as a whole.  Times are in microseconds."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeAlias

try:
    from _blake2 import blake2b  # the implementation that hashlib uses; importing hashlib would load OpenSSL
except ImportError:
    from hashlib import blake2b

MAX_DOCUMENT_BYTES = 65_536  # encoded as UTF-8
NODE_KEYS = ("ordinal", "zone")
MAX_NUMBER = 10**15  # largest magnitude of any number: 31 years in microseconds, and exact as a float
MISSING: Any = object()  # stands for a value that the baseline does not have


class DocumentError(ValueError):
    """Raised when a document is refused.

    `key` is the path of the invalid key, such as `requestClasses[1].deadline`, or "" if the whole text is
    invalid.  `expected` describes a valid value.  The message is one line with both."""

    def __init__(self, key: str, expected: str) -> None:
        """Truncates `key` to 120 characters and escapes unprintable ones."""
        self.key = "".join(c if c.isprintable() else ascii(c)[1:-1] for c in key[:120])
        self.expected = expected
        super().__init__(f"{self.key}: expected {expected}" if key else f"expected {expected}")


class ValueType(NamedTuple):
    """A type and range of values: a description for error messages, and a predicate."""

    description: str
    accepts: Callable[[Any], bool]


def _is_number(value: Any) -> bool:
    return (
        isinstance(value, (int, float)) and not isinstance(value, bool) and -MAX_NUMBER <= value <= MAX_NUMBER
    )


def _is_whole_number(value: Any) -> bool:
    return _is_number(value) and value == math.floor(value)


NON_NEGATIVE_NUMBER = ValueType("a number from 0 to 1e15", lambda value: _is_number(value) and value >= 0)
FRACTION = ValueType("a number from 0 to 1", lambda value: _is_number(value) and 0 <= value <= 1)
NON_NEGATIVE_INTEGER = ValueType(
    "a whole number from 0 to 1e15", lambda value: _is_whole_number(value) and value >= 0
)
POSITIVE_INTEGER = ValueType(
    "a whole number from 1 to 1e15", lambda value: _is_whole_number(value) and value >= 1
)
BOOLEAN = ValueType("true or false", lambda value: isinstance(value, bool))
NUMBER_LIST = ValueType(
    "a list of numbers from 0 to 1e15",
    lambda value: isinstance(value, list) and all(_is_number(item) and item >= 0 for item in value),
)

Rule: TypeAlias = "ValueType | Mapping[str, Rule] | list[Rule] | None"
# A mapping holds the rules for the keys of an object.  A list holds one rule, which applies to each item of a
# list.  "*" is the rule for all other keys that the baseline has there.  A key without a rule is fixed.
CHANGEABLE: Mapping[str, Rule] = {
    "tenants": [{"share": NON_NEGATIVE_NUMBER, "allowancePerS": NON_NEGATIVE_NUMBER}],
    "requestClasses": [
        {
            "value": NON_NEGATIVE_NUMBER,
            "target": POSITIVE_INTEGER,
            "aimStretch": NON_NEGATIVE_NUMBER,
            "lateWorth": FRACTION,
        }
    ],
    "familyInfo": {"classStretch": NUMBER_LIST},
    "tariffs": {
        **dict.fromkeys(
            ("connection", "crossZone", "discovery", "fleet", "handshake", "lateFail"), NON_NEGATIVE_NUMBER
        ),
        **dict.fromkeys(("moves", "origin", "peer", "probe", "waste", "*"), NON_NEGATIVE_NUMBER),
    },
    "overShareWorth": FRACTION,
    "goal": dict.fromkeys(("whole", "worstClass", "worstTenant", "worstWindow", "*"), NON_NEGATIVE_NUMBER),
    "permissions": {
        "cancel": BOOLEAN,
        "mayProbe": BOOLEAN,
        "retryAfter": BOOLEAN,
        "maxRetryAfter": NON_NEGATIVE_INTEGER,
        "mostTries": POSITIVE_INTEGER,
        "secondCopies": BOOLEAN,
        "openCap": POSITIVE_INTEGER,
        "cpuUsPerRequest": NON_NEGATIVE_NUMBER,
        "cpuUsPerS": NON_NEGATIVE_NUMBER,
    },
}


def digest(document: str) -> str:
    """Returns the digest of a document: 32 hexadecimal digits."""
    return blake2b(document.encode("utf-8", "surrogatepass"), digest_size=16).hexdigest()


def baseline_of(settings: Mapping[str, Any]) -> dict[str, Any]:
    """Returns a node's settings without the keys that differ between nodes.  They are version 0."""
    return {key: value for key, value in settings.items() if key not in NODE_KEYS}


def for_node(document: str, ordinal: int, zone: int) -> dict[str, Any]:
    """Returns the settings of one node, given a document that `check` has accepted."""
    return {**json.loads(document), "ordinal": ordinal, "zone": zone}


def changes(old: Any, new: Any, path: str = "") -> list[str]:
    """Lists the differences between two documents' settings, such as `permissions.mostTries 3 -> 2`."""
    if _json_equal(old, new):
        return []
    if isinstance(old, dict) and isinstance(new, dict):
        keys = [*old, *(key for key in new if key not in old)]
        pairs = [(f"{path}.{key}" if path else key, old.get(key), new.get(key)) for key in keys]
    elif isinstance(old, list) and isinstance(new, list) and len(old) == len(new):
        pairs = [(f"{path}[{index}]", *both) for index, both in enumerate(zip(old, new))]
    else:
        return [f"{path} {json.dumps(old)} -> {json.dumps(new)}"]
    return [line for name, before, after in pairs for line in changes(before, after, name)]


def check(baseline: Mapping[str, Any], document: str) -> dict[str, Any]:
    """Returns the document's settings.  Raises `DocumentError`, which names the first invalid key."""
    old, new = baseline_of(baseline), _parse(document)
    _check_value("", CHANGEABLE, old, new)
    _check_related_values(old, new)
    return new


def _parse(document: str) -> dict[str, Any]:
    try:
        size = len(document.encode("utf-8"))
    except UnicodeEncodeError:
        raise DocumentError("", "text that UTF-8 can hold") from None
    if size > MAX_DOCUMENT_BYTES:
        raise DocumentError("", f"at most {MAX_DOCUMENT_BYTES} bytes, not {size}")
    try:
        value = json.loads(document, object_pairs_hook=_reject_repeated_keys, parse_constant=_reject_constant)
    except DocumentError:
        raise
    except RecursionError:
        raise DocumentError("", "JSON that is not nested so deeply") from None
    except ValueError as error:
        raise DocumentError("", f"JSON: {error}"[:200]) from None
    if not isinstance(value, dict):
        raise DocumentError("", "a JSON object")
    return value


def _reject_repeated_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Builds an object.  Repeated keys are refused: some parsers keep the first value, others the last."""
    table = dict(pairs)
    if len(table) < len(pairs):
        names = [key for key, _ in pairs]
        raise DocumentError(next(key for key in names if names.count(key) > 1), "each key once")
    return table


def _reject_constant(name: str) -> Any:
    raise DocumentError("", f"JSON, which has no {name}")


def _check_value(path: str, rule: Rule, old: Any, new: Any) -> None:
    """Compares `new` with the baseline's value `old`, which is `MISSING` if the baseline has none."""
    if _json_equal(old, new):
        return
    if isinstance(rule, ValueType):
        if not rule.accepts(new):
            raise DocumentError(path, rule.description)
    elif isinstance(old, dict) or (isinstance(rule, Mapping) and old is MISSING):
        if not isinstance(new, dict):
            raise DocumentError(path, "a table")
        _check_object(path, rule if isinstance(rule, Mapping) else {}, {} if old is MISSING else old, new)
    elif isinstance(old, list):
        if not isinstance(new, list) or len(new) != len(old):
            raise DocumentError(path, f"a list of {len(old)} as in the baseline")
        for index, (before, after) in enumerate(zip(old, new)):
            _check_value(f"{path}[{index}]", rule[0] if isinstance(rule, list) else None, before, after)
    elif old is MISSING:
        raise DocumentError(path, "no such key: the baseline does not have it")
    else:
        raise DocumentError(path, "the same as in the baseline: it can't be changed while nodes run")


def _check_object(path: str, rule: Mapping[str, Rule], old: dict[str, Any], new: dict[str, Any]) -> None:
    for key, value in new.items():
        key_rule = rule.get(key) if key != "*" else None
        if key_rule is None and key in old:
            key_rule = rule.get("*")
        _check_value(f"{path}.{key}" if path else key, key_rule, old.get(key, MISSING), value)
    for key in old:
        if key not in new:
            raise DocumentError(f"{path}.{key}" if path else key, "a value: the baseline has one")


def _json_equal(old: Any, new: Any) -> bool:
    """Whether two values are equal as JSON: 1 equals 1.0, but not true."""
    if isinstance(old, dict) and isinstance(new, dict):
        return old.keys() == new.keys() and all(_json_equal(old[key], new[key]) for key in old)
    if isinstance(old, list) and isinstance(new, list):
        return len(old) == len(new) and all(map(_json_equal, old, new))
    return isinstance(old, bool) == isinstance(new, bool) and bool(old == new)


def _check_related_values(old: dict[str, Any], new: dict[str, Any]) -> None:
    """Checks the constraints between several values."""
    classes = new.get("requestClasses") or []
    for index, (before, after) in enumerate(zip(old.get("requestClasses") or [], classes)):
        target, deadline = after.get("target"), after.get("deadline")
        if not _json_equal(before.get("target"), target) and _is_number(deadline) and target > deadline:
            raise DocumentError(f"requestClasses[{index}].target", f"at most the deadline, {deadline}")
    stretches = (new.get("familyInfo") or {}).get("classStretch")
    if stretches is not None and not _json_equal(
        (old.get("familyInfo") or {}).get("classStretch"), stretches
    ):
        if len(stretches) != len(classes):
            raise DocumentError("familyInfo.classStretch", f"a number for each of {len(classes)} classes")
    tenants = new.get("tenants") or []
    if not _json_equal(old.get("tenants") or [], tenants):
        if not sum(tenant.get("share", 1.0) for tenant in tenants) > 0:
            raise DocumentError("tenants", "a share above 0 for one of them")
