"""What a document of the nodes' configuration may change, and the checks on it: all of it or none.

A document is the JSON text of the nodes' `settings` without the keys that differ by node (`NODE_KEYS`).  It
is checked against the baseline, the settings that the nodes started with: everything must be equal but for
the keys of `CHANGEABLE`, whose values are checked for type and range.  Times are microseconds."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeAlias

try:
    from _blake2 import blake2b  # hashlib's own; hashlib itself loads OpenSSL
except ImportError:
    from hashlib import blake2b

MOST_BYTES = 65_536  # of a document in UTF-8
NODE_KEYS = ("ordinal", "zone")
MOST = 10**15  # of any number: a time of 31 years, exact as a float
MISSING: Any = object()


class DocumentError(ValueError):
    """A document is refused.  `key`: what is wrong, as `requestClasses[1].deadline`, "" for the whole text;
    `expected`: what should be there.  The text is one line of both."""

    def __init__(self, key: str, expected: str) -> None:
        """`key` is cut to 120 characters and made printable."""
        self.key = "".join(c if c.isprintable() else ascii(c)[1:-1] for c in key[:120])
        self.expected = expected
        super().__init__(f"{self.key}: expected {expected}" if key else f"expected {expected}")


class Kind(NamedTuple):
    """What a value must be: in words, and whether one is."""

    words: str
    fits: Callable[[Any], bool]


def _number(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and -MOST <= value <= MOST


def _whole(value: Any) -> bool:
    return _number(value) and value == math.floor(value)


NUMBER = Kind("a number from 0 to 1e15", lambda v: _number(v) and v >= 0)
PART = Kind("a number from 0 to 1", lambda v: _number(v) and 0 <= v <= 1)
TIME = Kind("a whole number from 0 to 1e15", lambda v: _whole(v) and v >= 0)
COUNT = Kind("a whole number from 1 to 1e15", lambda v: _whole(v) and v >= 1)
FLAG = Kind("true or false", lambda v: isinstance(v, bool))
STRETCHES = Kind(
    "a list of numbers from 0 to 1e15",
    lambda v: isinstance(v, list) and all(_number(item) and item >= 0 for item in v),
)

Rule: TypeAlias = "Kind | Mapping[str, Rule] | list[Rule] | None"
# A table of rules for a table, a list of one rule for a list whose items each keep to it.  "*" is the rule of
# whatever else the baseline holds there; what has no rule is fixed.
CHANGEABLE: Mapping[str, Rule] = {
    "tenants": [{"share": NUMBER, "allowancePerS": NUMBER}],
    "requestClasses": [{"value": NUMBER, "target": COUNT, "aimStretch": NUMBER, "lateWorth": PART}],
    "familyInfo": {"classStretch": STRETCHES},
    "tariffs": {
        **dict.fromkeys(("connection", "crossZone", "discovery", "fleet", "handshake", "lateFail"), NUMBER),
        **dict.fromkeys(("moves", "origin", "peer", "probe", "waste", "*"), NUMBER),
    },
    "overShareWorth": PART,
    "goal": dict.fromkeys(("whole", "worstClass", "worstTenant", "worstWindow", "*"), NUMBER),
    "permissions": {
        "cancel": FLAG,
        "mayProbe": FLAG,
        "retryAfter": FLAG,
        "maxRetryAfter": TIME,
        "mostTries": COUNT,
        "secondCopies": FLAG,
        "openCap": COUNT,
        "cpuUsPerRequest": NUMBER,
        "cpuUsPerS": NUMBER,
    },
}


def digest(document: str) -> str:
    """32 hexadecimal digits."""
    return blake2b(document.encode("utf-8", "surrogatepass"), digest_size=16).hexdigest()


def baseline_of(settings: Mapping[str, Any]) -> dict[str, Any]:
    """A node's settings without what differs by node: version 0."""
    return {key: value for key, value in settings.items() if key not in NODE_KEYS}


def for_node(document: str, ordinal: int, zone: int) -> dict[str, Any]:
    """The settings of one node, from a document that `check` has let through."""
    return {**json.loads(document), "ordinal": ordinal, "zone": zone}


def changes(old: Any, new: Any, path: str = "") -> list[str]:
    """What differs between two documents' settings, as `permissions.mostTries 3 -> 2`."""
    if _same(old, new):
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
    """The document's settings; raises `DocumentError`, which names the first key that is wrong."""
    old, new = baseline_of(baseline), _parsed(document)
    _walk("", CHANGEABLE, old, new)
    _together(old, new)
    return new


def _parsed(document: str) -> dict[str, Any]:
    try:
        size = len(document.encode("utf-8"))
    except UnicodeEncodeError:
        raise DocumentError("", "text that UTF-8 can hold") from None
    if size > MOST_BYTES:
        raise DocumentError("", f"at most {MOST_BYTES} bytes, not {size}")
    try:
        value = json.loads(document, object_pairs_hook=_once, parse_constant=_no_constant)
    except DocumentError:
        raise
    except RecursionError:
        raise DocumentError("", "JSON that is not nested so deeply") from None
    except ValueError as error:
        raise DocumentError("", f"JSON: {error}"[:200]) from None
    if not isinstance(value, dict):
        raise DocumentError("", "a JSON object")
    return value


def _once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Of a key given twice a reader would take the first or the last."""
    table = dict(pairs)
    if len(table) < len(pairs):
        names = [key for key, _ in pairs]
        raise DocumentError(next(key for key in names if names.count(key) > 1), "each key once")
    return table


def _no_constant(name: str) -> Any:
    raise DocumentError("", f"JSON, which has no {name}")


def _walk(path: str, rule: Rule, old: Any, new: Any) -> None:
    """`old`: the baseline's value, `MISSING` where it has none."""
    if _same(old, new):
        return
    if isinstance(rule, Kind):
        if not rule.fits(new):
            raise DocumentError(path, rule.words)
    elif isinstance(old, dict) or (isinstance(rule, Mapping) and old is MISSING):
        if not isinstance(new, dict):
            raise DocumentError(path, "a table")
        _table(path, rule if isinstance(rule, Mapping) else {}, {} if old is MISSING else old, new)
    elif isinstance(old, list):
        if not isinstance(new, list) or len(new) != len(old):
            raise DocumentError(path, f"a list of {len(old)} as in the baseline")
        for index, (before, after) in enumerate(zip(old, new)):
            _walk(f"{path}[{index}]", rule[0] if isinstance(rule, list) else None, before, after)
    elif old is MISSING:
        raise DocumentError(path, "no such key: the baseline does not have it")
    else:
        raise DocumentError(path, "the same as in the baseline: it can't be changed while nodes run")


def _table(path: str, rule: Mapping[str, Rule], old: dict[str, Any], new: dict[str, Any]) -> None:
    for key, value in new.items():
        own = rule.get(key) if key != "*" else None
        if own is None and key in old:
            own = rule.get("*")
        _walk(f"{path}.{key}" if path else key, own, old.get(key, MISSING), value)
    for key in old:
        if key not in new:
            raise DocumentError(f"{path}.{key}" if path else key, "a value: the baseline has one")


def _same(old: Any, new: Any) -> bool:
    """Equal as JSON: 1 and 1.0 are, 1 and true are not."""
    if isinstance(old, dict) and isinstance(new, dict):
        return old.keys() == new.keys() and all(_same(old[key], new[key]) for key in old)
    if isinstance(old, list) and isinstance(new, list):
        return len(old) == len(new) and all(map(_same, old, new))
    return isinstance(old, bool) == isinstance(new, bool) and bool(old == new)


def _together(old: dict[str, Any], new: dict[str, Any]) -> None:
    """What values must be beside each other."""
    classes = new.get("requestClasses") or []
    for index, (before, after) in enumerate(zip(old.get("requestClasses") or [], classes)):
        target, deadline = after.get("target"), after.get("deadline")
        if not _same(before.get("target"), target) and _number(deadline) and target > deadline:
            raise DocumentError(f"requestClasses[{index}].target", f"at most the deadline, {deadline}")
    stretches = (new.get("familyInfo") or {}).get("classStretch")
    if stretches is not None and not _same((old.get("familyInfo") or {}).get("classStretch"), stretches):
        if len(stretches) != len(classes):
            raise DocumentError("familyInfo.classStretch", f"a number for each of {len(classes)} classes")
    tenants = new.get("tenants") or []
    if not _same(old.get("tenants") or [], tenants):
        if not sum(tenant.get("share", 1.0) for tenant in tenants) > 0:
            raise DocumentError("tenants", "a share above 0 for one of them")
