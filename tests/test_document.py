"""Tests for the validation of configuration documents: which keys may change, and which errors name a key."""

from __future__ import annotations

import copy
import json
import unittest
from collections.abc import Callable
from typing import Any

from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from violetsaddle import settings
from violetsaddle.decide.document import (
    MAX_DOCUMENT_BYTES,
    NODE_KEYS,
    DocumentError,
    baseline_of,
    changes,
    check,
    digest,
    for_node,
)

CLASS = {
    "deadline": 5_000_000,
    "dedupWindow": 7_500_000,
    "group": "zone",
    "idempotency": "dedup",
    "lateWorth": 0.0,
    "stream": False,
    "target": 200_000,
    "value": 5.0,
}
SETTINGS: dict[str, Any] = {
    "callers": {"marksRetry": False},
    "discovery": "ask",
    "domainType": "jobs",
    "failureDomains": ["hall-a", "hall-b"],
    "familyInfo": {
        "classKind": [-1, -1],
        "classStretch": [2.5, 2.0],
        "progress": 1_000_000,
        "tellsStart": True,
    },
    "goal": {"whole": 0.45, "worstClass": 0.1, "worstTenant": 0.1, "worstWindow": 0.35},
    "kinds": ["fast", "slow"],
    "ordinal": 1,
    "overShareWorth": 0.05,
    "period": 4000,
    "permissions": {
        "cancel": True,
        "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 400_000,
        "dialTimeout": 200_000,
        "keepalive": 5_000_000,
        "maxRetryAfter": 2_000_000,
        "mayProbe": True,
        "mayTell": True,
        "mostTries": 3,
        "openCap": 20_000,
        "retryAfter": True,
        "secondCopies": False,
        "streamsPerConn": 1,
    },
    "report": {"names": ["x0"], "via": "pull"},
    "requestClasses": [{**CLASS, "name": "quote"}, {**CLASS, "name": "charge"}],
    "safety": {"askEvery": 10_000_000, "cold": 23_000_000, "coldFrom": 0.14, "drainGrace": 500_000},
    "siblings": 4,
    "stage": 0,
    "stages": ["workers"],
    "tariffs": {"crossZone": 0.014, "origin": 0.0, "waste": 0.057},
    "tenants": [
        {"allowancePerS": 49.0, "name": "austin", "share": 0.6},
        {"allowancePerS": 10.0, "name": "waco", "share": 0.4},
    ],
    "weights": "rough",
    "worthBy": "work",
    "zone": 1,
}
BASELINE = baseline_of(SETTINGS)
Path = tuple[str | int, ...]

# Each key that may change, with values that are accepted and values that are refused.
NUMBERS: tuple[list[Any], list[Any]] = ([0, 0.25, 7, 1e15], [-0.001, "1", True, None, [], {}, 2e15, 10**400])
FRACTIONS: tuple[list[Any], list[Any]] = ([0, 0.5, 1], [-0.1, 1.01, "1", False, None, []])
BOOLEANS: tuple[list[Any], list[Any]] = ([True, False], [0, 1, "true", None, [], 0.0])
NON_NEGATIVE_INTEGERS: tuple[list[Any], list[Any]] = ([0, 1, 5.0, 10**9], [-1, 0.5, "1", True, None, 10**16])
POSITIVE_INTEGERS: tuple[list[Any], list[Any]] = ([1, 2.0, 9], [0, -1, 1.5, "2", True, None, 10**16, [2]])
CHANGEABLE: dict[Path, tuple[list[Any], list[Any]]] = {
    ("tenants", 1, "share"): NUMBERS,
    ("tenants", 0, "allowancePerS"): NUMBERS,
    ("requestClasses", 1, "value"): NUMBERS,
    ("requestClasses", 1, "target"): POSITIVE_INTEGERS,
    ("requestClasses", 0, "aimStretch"): NUMBERS,
    ("requestClasses", 0, "lateWorth"): FRACTIONS,
    ("familyInfo", "classStretch"): ([[0, 1.5], [3, 3]], [[1], [1, 2, 3], [1, -1], [1, "2"], 2, None, {}]),
    ("tariffs", "crossZone"): NUMBERS,
    ("tariffs", "lateFail"): NUMBERS,
    ("overShareWorth",): FRACTIONS,
    ("goal", "whole"): NUMBERS,
    ("permissions", "cancel"): BOOLEANS,
    ("permissions", "mayProbe"): BOOLEANS,
    ("permissions", "retryAfter"): BOOLEANS,
    ("permissions", "secondCopies"): BOOLEANS,
    ("permissions", "maxRetryAfter"): NON_NEGATIVE_INTEGERS,
    ("permissions", "mostTries"): POSITIVE_INTEGERS,
    ("permissions", "openCap"): POSITIVE_INTEGERS,
    ("permissions", "cpuUsPerRequest"): NUMBERS,
    ("permissions", "cpuUsPerS"): NUMBERS,
}
# The same paths without list indices.
CHANGEABLE_NAMES = {(*(p for p in path if isinstance(p, str)),) for path in CHANGEABLE}


def path_name(path: Path) -> str:
    return "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in path).lstrip(".")


def with_value(path: Path, value: Any, baseline: dict[str, Any] = BASELINE) -> dict[str, Any]:
    table = copy.deepcopy(baseline)
    parent: Any = table
    for part in path[:-1]:
        parent = parent[part]
    parent[path[-1]] = value
    return table


def all_paths(value: Any, path: Path = ()) -> list[Path]:
    """Returns the paths of all objects, lists and values below `value`."""
    items: list[tuple[str | int, Any]] = []
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    return [p for key, item in items for p in [(*path, key), *all_paths(item, (*path, key))]]


def value_at(path: Path) -> Any:
    parent: Any = BASELINE
    for part in path:
        parent = parent[part]
    return parent


class RefusalTest(unittest.TestCase):
    def refused(self, document: str, key: str) -> DocumentError:
        with self.assertRaises(DocumentError) as caught:
            check(BASELINE, document)
        error = caught.exception
        self.assertEqual(error.key, key, str(error))
        self.assertTrue(error.expected)
        self.assertNotIn("\n", str(error))
        self.assertIn(error.expected, str(error))
        return error

    def test_the_baseline_itself_is_accepted(self) -> None:
        self.assertEqual(check(BASELINE, json.dumps(BASELINE)), BASELINE)
        self.assertEqual(
            check(SETTINGS, json.dumps(BASELINE)), BASELINE, "a baseline that includes the keys of one node"
        )

    def test_each_changeable_key_accepts_only_its_range(self) -> None:
        for path, (accepted, rejected) in CHANGEABLE.items():
            for value in accepted:
                with self.subTest(path=path_name(path), accepted=value):
                    document = with_value(path, value)
                    self.assertEqual(check(BASELINE, json.dumps(document)), document)
            for value in rejected:
                with self.subTest(path=path_name(path), rejected=value):
                    self.refused(json.dumps(with_value(path, value)), path_name(path))

    def test_each_fixed_key_is_refused_by_name(self) -> None:
        count = 0
        for path in all_paths(BASELINE):
            names = (*(part for part in path if isinstance(part, str)),)
            value = value_at(path)
            is_changeable = names in CHANGEABLE_NAMES or names[0] in ("tariffs", "goal")
            if is_changeable or isinstance(value, (dict, list)):
                continue
            count += 1
            others: tuple[Any, ...] = ("another", 77, None, not value, [], {"a": 1})
            for other in others:
                if other == value and isinstance(other, bool) == isinstance(value, bool):
                    continue
                with self.subTest(path=path_name(path), other=other):
                    self.refused(json.dumps(with_value(path, other)), path_name(path))
        self.assertGreater(count, 30)

    def test_a_missing_key_is_refused_by_name(self) -> None:
        for path in all_paths(BASELINE):
            if isinstance(path[-1], int):
                continue
            table = copy.deepcopy(BASELINE)
            parent: Any = table
            for part in path[:-1]:
                parent = parent[part]
            del parent[path[-1]]
            with self.subTest(path=path_name(path)):
                self.refused(json.dumps(table), path_name(path))

    def test_an_unknown_key_is_refused_by_name(self) -> None:
        for path in all_paths(BASELINE):
            if isinstance(value_at(path), dict):
                with self.subTest(path=path_name(path)):
                    self.refused(json.dumps(with_value((*path, "new"), 1)), path_name((*path, "new")))
        for key in (*NODE_KEYS, "new", "*"):
            self.refused(json.dumps({**BASELINE, key: 1}), key)
        self.refused(json.dumps(with_value(("tariffs", "*"), 1)), "tariffs.*")
        error = self.refused(json.dumps({**BASELINE, "a\nb": 1}), "a\\nb")
        self.assertNotIn("\n", str(error))
        self.assertLess(len(str(self.refused(json.dumps({**BASELINE, "x" * 9000: 1}), "x" * 120))), 300)

    def test_tenants_and_classes_keep_count_order_and_names(self) -> None:
        for key in ("tenants", "requestClasses"):
            items = BASELINE[key]
            self.refused(json.dumps(with_value((key,), items[:1])), key)
            self.refused(json.dumps(with_value((key,), [*items, items[0]])), key)
            self.refused(json.dumps(with_value((key,), [])), key)
            self.refused(json.dumps(with_value((key,), {})), key)
            self.refused(json.dumps(with_value((key,), items[::-1])), f"{key}[0].name")
            self.refused(json.dumps(with_value((key, 1), 7)), f"{key}[1]")

    def test_constraints_between_values(self) -> None:
        self.refused(
            json.dumps(with_value(("requestClasses", 0, "target"), 5_000_001)), "requestClasses[0].target"
        )
        zero = [{**tenant, "share": 0} for tenant in BASELINE["tenants"]]
        self.refused(json.dumps(with_value(("tenants",), zero)), "tenants")

    def test_text_that_is_not_a_document(self) -> None:
        whole = json.dumps(BASELINE)
        for text in (
            "",
            " ",
            "nonsense",
            "[]",
            "7",
            "null",
            '"text"',
            "\ufeff" + whole,
            whole + "}",
            "{'a': 1}",
        ):
            with self.subTest(text=text[:20]):
                self.refused(text, "")
        for end in range(0, len(whole), 7):
            self.refused(whole[:end], "")

    def test_deep_nesting_is_refused(self) -> None:
        for text in ("[" * 60_000, '{"a":' * 12_000, "[" * 30_000 + "]" * 30_000):
            self.refused(text, "")
        deep = json.dumps(BASELINE)[:-1] + ', "deep": ' + "[" * 300 + "]" * 300 + "}"
        self.refused(deep, "deep")

    def test_non_json_and_huge_numbers_are_refused(self) -> None:
        text = json.dumps(with_value(("tenants", 0, "share"), "HERE"))
        for number in ("NaN", "Infinity", "-Infinity"):
            self.refused(text.replace('"HERE"', number), "")
        for number in ("1e400", "-1e400", "1e16", "9" * 400):
            self.refused(text.replace('"HERE"', number), "tenants[0].share")
        self.refused(text.replace('"HERE"', "9" * 5000), "")  # more digits than the JSON parser converts

    def test_a_repeated_key_is_refused(self) -> None:
        self.refused(json.dumps(BASELINE)[:-1] + ', "overShareWorth": 0.2}', "overShareWorth")

    def test_the_size_limit(self) -> None:
        whole = json.dumps(BASELINE)
        self.assertEqual(check(BASELINE, whole + " " * (MAX_DOCUMENT_BYTES - len(whole))), BASELINE)
        self.refused(whole + " " * (MAX_DOCUMENT_BYTES + 1 - len(whole)), "")
        self.assertEqual(MAX_DOCUMENT_BYTES, 65_536)
        wide = '{"' + "\u00e9" * (MAX_DOCUMENT_BYTES // 2) + '"'
        self.assertIn("bytes", str(self.refused(wide, "")))
        self.refused('{"\ud800": 1}', "")

    def test_true_is_not_equal_to_1(self) -> None:
        baseline = {**BASELINE, "stage": 1}
        with self.assertRaises(DocumentError) as caught:
            check(baseline, json.dumps({**BASELINE, "stage": True}))
        self.assertEqual(caught.exception.key, "stage")
        self.assertTrue(check(baseline, json.dumps({**BASELINE, "stage": 1.0})))

    def test_a_baseline_without_optional_objects(self) -> None:
        minimal = {"requestClasses": [{"name": "a", "target": 1, "deadline": 2}]}
        self.assertEqual(check(minimal, json.dumps(minimal)), minimal)
        extended = {
            **minimal,
            "overShareWorth": 0.5,
            "permissions": {"mostTries": 2},
            "tariffs": {"waste": 1},
        }
        self.assertEqual(check(minimal, json.dumps(extended)), extended)
        for key, value in (("tenants", [{"share": 1}]), ("permissions", {"keepalive": 1}), ("safety", {})):
            with self.assertRaises(DocumentError) as caught:
                check(minimal, json.dumps({**minimal, key: value}))
            self.assertTrue(caught.exception.key.startswith(key), caught.exception.key)


class HelperTest(unittest.TestCase):
    def test_the_digest_depends_on_the_exact_text(self) -> None:
        text = json.dumps(BASELINE)
        self.assertEqual(digest(text), digest(text))
        self.assertNotEqual(digest(text), digest(text + " "))
        self.assertRegex(digest(text), "^[0-9a-f]{32}$")
        self.assertEqual(digest(""), "cae66941d9efbd404e4d88758ea67670")
        digest("\ud800")  # does not raise

    def test_changes_are_listed_by_key(self) -> None:
        self.assertEqual(changes(BASELINE, copy.deepcopy(BASELINE)), [])
        new = with_value(("tenants", 1, "share"), 0.5, with_value(("permissions", "cancel"), False))
        new["tariffs"]["lateFail"] = 1
        new["familyInfo"]["classStretch"] = [2.5, 3]
        self.assertEqual(
            changes(BASELINE, new),
            [
                "familyInfo.classStretch[1] 2.0 -> 3",
                "permissions.cancel true -> false",
                "tariffs.lateFail null -> 1",
                "tenants[1].share 0.4 -> 0.5",
            ],
        )
        self.assertEqual(changes({"a": [1]}, {"a": [1, 2]}), ["a [1] -> [1, 2]"])

    def test_for_node_adds_the_node_specific_keys(self) -> None:
        self.assertEqual(for_node(json.dumps(BASELINE), 1, 1), SETTINGS)
        read_settings = settings.read(
            for_node(json.dumps(with_value(("permissions", "mostTries"), 2.0)), 3, 1)
        )[1]
        self.assertEqual((read_settings.me, read_settings.zone, read_settings.most_attempts), (3, 1, 2))


def document(draw: Callable[[Any], Any]) -> dict[str, Any]:
    """Draws the baseline with some keys set to values of any type."""
    table = copy.deepcopy(BASELINE)
    any_value = st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=3))
    for path in draw(st.lists(st.sampled_from(list(CHANGEABLE)), max_size=4)):
        parent: Any = table
        for part in path[:-1]:
            parent = parent[part]
        parent[path[-1]] = draw(st.one_of(any_value, st.lists(any_value, max_size=3)))
    return table


class RoundTripTest(unittest.TestCase):
    @examples(max_examples=300, deadline=None)
    @given(st.composite(document)())
    def test_an_accepted_document_can_be_read_by_a_node(self, table: dict[str, Any]) -> None:
        text = json.dumps(table)
        try:
            check(BASELINE, text)
        except DocumentError:
            return
        env = for_node(text, 1, 1)
        _, read_settings = settings.read(env)
        self.assertEqual(settings.names(env, "tenants"), ["austin", "waco"])
        self.assertTrue(all(0 < c.aim <= c.deadline for c in read_settings.classes))
