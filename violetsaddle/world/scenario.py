"""Scenarios: TOML files that say within which ranges days are drawn.

A value is a number or a range `[low, high]`, from which each day draws its own (whole numbers where the key
counts things).  Keys name their units.  Unknown keys and wrong values are refused with one line.  A file that
names a `base` takes from that scenario what it does not say itself."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Annotated, Any, TypeAlias

import msgspec
import numpy as np
from msgspec import Meta, field

from violetsaddle.world import clients, troubles
from violetsaddle.world.day import (
    KEYED,
    MS,
    SECOND,
    BoxSpec,
    ClassSpec,
    Day,
    Kind,
    LinkSpec,
    LoadSpec,
    RosterSpec,
    Rules,
    TenantSpec,
    Trouble,
    chance,
)

FOLDER = Path(__file__).parent.parent / "lab" / "scenarios"

_Whole = Annotated[int, Meta(ge=0)]
_Count = Annotated[int, Meta(ge=1)]
_Least0 = Annotated[float, Meta(ge=0)]
_Above0 = Annotated[float, Meta(gt=0)]
_Share = Annotated[float, Meta(ge=0, le=1)]
_PAIR = Meta(min_length=2, max_length=2)
# Not `tuple[X, X]`: msgspec 0.23 mixes up its layout with the limits of the number beside it and crashes.
Whole: TypeAlias = _Whole | Annotated[tuple[_Whole, ...], _PAIR]
Count: TypeAlias = _Count | Annotated[tuple[_Count, ...], _PAIR]
Least0: TypeAlias = _Least0 | Annotated[tuple[_Least0, ...], _PAIR]
Above0: TypeAlias = _Above0 | Annotated[tuple[_Above0, ...], _PAIR]
Share: TypeAlias = _Share | Annotated[tuple[_Share, ...], _PAIR]
Signed: TypeAlias = float | Annotated[tuple[float, ...], _PAIR]
Name = Annotated[str, Meta(pattern="^[A-Za-z0-9_.-]+$")]


class ScenarioError(Exception):
    """A scenario that can't be read or drawn from; one line with file, key and what was expected."""


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    pass


class Fleet(_Table, frozen=True):
    halls: Annotated[tuple[Name, ...], Meta(min_length=1)]
    nodes: Count
    boxes: Count
    uneven: Least0 = 0.0  # how unlike the halls are in boxes: 0 alike, 1 very
    cell_size: Count = 4
    young: Share = 0.0  # share of boxes started within the warming time before the day
    joining: Share = 0.0  # share of boxes that come during the day
    leaving: Share = 0.0  # share of boxes that are drained during the day
    sockets: Count = 1024  # descriptors of a node


class BoxKind(_Table, frozen=True):
    name: Name
    share: Above0
    cores: Count
    speed: Above0
    spread: Least0 = 0.1  # sigma of the lognormal factor between boxes of the kind
    slots_per_core: Above0 = 1.0
    queue_per_core: Least0 = 6.0


class Box(_Table, frozen=True):
    """What all boxes have alike; drawn anew for each box but for `keepalive_s`."""

    connections_per_core: Above0 = (600.0, 900.0)
    handshake_work_us: Least0 = (700.0, 1600.0)
    handshake_delay_us: Least0 = (500.0, 1500.0)
    probe_work_us: Least0 = (190.0, 370.0)
    report_every_ms: Above0 = (300.0, 1000.0)
    keepalive_s: Above0 = 5.0


class JobClass(_Table, frozen=True, kw_only=True):
    name: Name
    effect: Annotated[str, Meta(pattern="^(safe|keyed|unsafe)$")]
    share: Above0
    work_ms: Above0
    sigma: Least0
    aim_ms: Above0
    stretch: Least0 = 0.0
    deadline_s: Above0
    worth: Least0
    group: Annotated[str, Meta(pattern="^(all|zone|cell)$")] = "zone"
    window_s: Least0 = 0.0
    slots: Count = 1


class Tenant(_Table, frozen=True):
    name: Name
    share: Above0
    traffic: Above0 = 1.0  # times its share


class Links(_Table, frozen=True):
    same_ms: Least0 = (0.14, 0.34)
    cross_ms: Least0 = (0.42, 0.78)
    client_ms: Least0 = (0.25, 0.85)
    jitter: Share = (0.09, 0.3)
    datagram_ms: Annotated[tuple[_Least0, ...], _PAIR] = (1.6, 21.0)  # each datagram draws its own
    datagram_loss: Share = 0.0
    datagram_twice: Share = 0.0
    cut_bytes: Share = 0.0


class Load(_Table, frozen=True):
    load: Least0  # work asked for as a share of what the warm fleet can do
    swing: Share = 0.0
    period_s: Above0 = 20.0
    uneven: Least0 = 0.0  # how unlike the halls are in traffic
    allowance: Least0 = 0.0  # of all tenants, as a share of what the warm fleet can do; 0: not limited
    tries: Count = 3
    at_once: Share = 0.5  # chance that clients try again without a wait
    backoff_ms: Least0 = (6.0, 48.0)
    heeds: Share = 0.0
    most_wait_s: Least0 = 2.0
    leaves: Share = 0.0
    hint_sigma: Signed = 0.2  # below 0: no hints
    keys: Whole = 0
    connections: Whole = 0
    notice_s: Above0 = 1.0
    keeps_s: Least0 = 0.0  # clients close a connection unused for so long; 0: never
    shuns: bool = False


class Roster(_Table, frozen=True):
    notice_s: Least0 = 1.0
    silent_notice_s: Least0 = 6.0
    add_s: Least0 = 1.0
    period_ms: Above0 = 500.0
    capacity: Above0 = 100.0
    call_lines: Count = 40
    timeout_ms: Above0 = 1000.0


class RuleSpec(_Table, frozen=True):
    drain_grace_ms: Least0 = 500.0
    grace_to_answer_ms: Least0 = 100.0
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.14
    cold_for_s: Least0 = 23.0
    fall_multiple: Above0 = 4.0
    fall_after_s: Above0 = 2.0
    ask_within_s: Above0 = 10.0
    most_attempts: Count = 3
    dial_ms: Above0 = 250.0
    slack_ms: Least0 = 50.0
    advice: bool = True
    probes: bool = True
    tellings: bool = True
    cancel: bool = True
    progress_s: Above0 = 1.0


class TroubleSpec(_Table, frozen=True, kw_only=True):
    """A trouble that a day may have.  With a list of kinds one of them is drawn."""

    kind: str | Annotated[tuple[str, ...], Meta(min_length=1)]
    probability: Share = 1.0  # or its weight where `trouble_count` picks
    share: Share = (0.07, 0.24)  # of the boxes, nodes or halls; at least one
    these: list[_Whole] = []  # their numbers, in place of a share
    at: Share = (0.15, 0.6)  # share of the day's length
    at_s: Least0 | None = None  # in place of `at`
    lasts_s: Above0
    factor: Least0 = 1.0
    together_with: str = ""  # comes only where a trouble of this kind comes, and at its time
    gap_s: Signed = 0.0  # so long after the other's start


class Scenario(_Table, frozen=True, kw_only=True):
    name: str  # the file's, without its ending, if it gives none
    text: str = ""  # one line on what it is for
    length_s: Above0
    over_share_worth: Share = 0.05
    fleet: Fleet
    kinds: Annotated[tuple[BoxKind, ...], Meta(min_length=1)] = field(name="kind")
    box: Box = Box()
    classes: Annotated[tuple[JobClass, ...], Meta(min_length=1)] = field(name="class")
    tenants: Annotated[tuple[Tenant, ...], Meta(min_length=1)] = field(name="tenant")
    links: Links = Links()
    load: Load
    roster: Roster = Roster()
    rules: RuleSpec = RuleSpec()
    trouble_count: Whole | None = None  # so many of the troubles; None: each by its own probability
    troubles: tuple[TroubleSpec, ...] = field(name="trouble", default=())


# Reading.


def names() -> list[str]:
    """The scenarios that come with the program."""
    return sorted(path.stem for path in FOLDER.glob("*.toml"))


def load(path: str | Path) -> Scenario:
    """The scenario of a file, or a packaged one by its name; raises `ScenarioError`."""
    file = _file(str(path))
    return _checked(_read(file, 0), str(file))


def parse(text: str, file: str) -> Scenario:
    """The scenario that a file of this name and text holds; raises `ScenarioError`."""
    return _checked(_merged(_toml(text, file), file, 0), file)


def _file(path: str) -> Path:
    file = Path(path)
    if file.suffix == ".toml":
        return file
    if path not in names():
        raise ScenarioError(f"{path}: must be a file that ends in .toml or one of {', '.join(names())}")
    return FOLDER / f"{path}.toml"


def _toml(text: str, file: str) -> dict[str, Any]:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{file}: must be TOML: {error}".replace("\n", " ")) from None


def _read(file: Path, depth: int) -> dict[str, Any]:
    try:
        text = file.read_text(encoding="utf-8")
    except OSError as error:
        raise ScenarioError(f"{file}: can't be read: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ScenarioError(f"{file}: must be UTF-8 text") from None
    return _merged(_toml(text, str(file)), str(file), depth)


def _merged(table: dict[str, Any], file: str, depth: int) -> dict[str, Any]:
    """A file's table over the one of its `base`, if it names one; lists are replaced whole."""
    base = table.pop("base", None)
    table.setdefault("name", Path(file).stem)
    if base is None:
        return table
    if not isinstance(base, str) or depth > 4:
        raise ScenarioError(f"{file}: base: expected the name of another scenario, got {base!r}")
    if base.endswith(".toml"):
        base = str(Path(file).parent / base)
    return _over(_read(_file(base), depth + 1), table)


def _over(below: dict[str, Any], above: dict[str, Any]) -> dict[str, Any]:
    found = dict(below)
    for key, value in above.items():
        under = found.get(key)
        found[key] = _over(under, value) if isinstance(under, dict) and isinstance(value, dict) else value
    return found


def _checked(table: dict[str, Any], file: str) -> Scenario:
    try:
        scenario = msgspec.convert(table, type=Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{file}: {_plain(str(error))}") from None
    for key, wrong in _faults(scenario):
        raise ScenarioError(f"{file}: {key}: {wrong}")
    return scenario


def _plain(text: str) -> str:
    """msgspec's words in the order key, expectation."""
    unknown = re.match(r"Object contains unknown field `(.*?)`(?: - at `\$\.?(.*?)`)?$", text)
    if unknown:
        return f"{'.'.join(p for p in (unknown[2], unknown[1]) if p)}: there is no such key"
    missing = re.match(r"Object missing required field `(.*?)`(?: - at `\$\.?(.*?)`)?$", text)
    if missing:
        return f"{'.'.join(p for p in (missing[2], missing[1]) if p)}: must be given"
    what, _, where = text.partition(" - at `$.")
    return f"{where.rstrip('`') or 'file'}: {what[:1].lower()}{what[1:].replace('`', '')}"


def _ranges(table: msgspec.Struct, path: str) -> list[tuple[str, str]]:
    """Ranges whose low end is above the high one."""
    found: list[tuple[str, str]] = []
    for info in msgspec.structs.fields(table):
        value, key = getattr(table, info.name), f"{path}{info.encode_name}"
        if isinstance(value, msgspec.Struct):
            found += _ranges(value, f"{key}.")
        elif isinstance(value, tuple) and value and isinstance(value[0], msgspec.Struct):
            for number, part in enumerate(value):
                found += _ranges(part, f"{key}[{number}].")
        elif isinstance(value, tuple) and value and not isinstance(value[0], str) and value[0] > value[1]:
            found.append((key, f"expected [low, high], got {list(value)}"))
    return found


def _faults(scenario: Scenario) -> list[tuple[str, str]]:
    """(key, what was expected) of each wrong value that its type alone doesn't show."""
    found = _ranges(scenario, "")
    for key, parts in (("kind", scenario.kinds), ("class", scenario.classes), ("tenant", scenario.tenants)):
        given = [part.name for part in parts]
        if len(set(given)) < len(given):
            found.append((f"{key}.name", f"expected different names, got {given}"))
    if len(set(scenario.fleet.halls)) < len(scenario.fleet.halls):
        found.append(("fleet.halls", f"expected different names, got {list(scenario.fleet.halls)}"))
    slots = min(int(_low(k.cores) * _low(k.slots_per_core)) for k in scenario.kinds)
    for number, cls in enumerate(scenario.classes):
        if _top(cls.slots) > max(1, slots):
            found.append((f"class[{number}].slots", f"expected at most {max(1, slots)}, as every box has"))
        if cls.effect == KEYED and cls.window_s == 0:
            found.append((f"class[{number}].window_s", "expected a time above 0 for a keyed class"))
    for number, spec in enumerate(scenario.troubles):
        found += [(f"trouble[{number}].{key}", wrong) for key, wrong in _trouble_faults(scenario, spec)]
    return found


def _trouble_faults(scenario: Scenario, spec: TroubleSpec) -> list[tuple[str, str]]:
    found = []
    for name in _kinds(spec):
        kind = troubles.KINDS.get(name)
        if kind is None:
            found.append(("kind", f"expected one of {', '.join(troubles.KINDS)}, got {name}"))
            continue
        low, high = spec.factor if isinstance(spec.factor, tuple) else (spec.factor, spec.factor)
        if kind.figured and not kind.least <= low <= high <= kind.most:
            found.append(
                ("factor", f"expected {kind.least:g} to {kind.most:g} for {name}, got {low:g} to {high:g}")
            )
        if name in ("cut", "oneway") and len(scenario.fleet.halls) < 2:
            found.append(("kind", f"expected two halls at least for {name}"))
    partners = [k for other in scenario.troubles if not other.together_with for k in _kinds(other)]
    if spec.together_with and spec.together_with not in partners:
        found.append(
            (
                "together_with",
                f"expected the kind of a trouble that comes by itself, got {spec.together_with}",
            )
        )
    return found


def _kinds(spec: TroubleSpec) -> tuple[str, ...]:
    return (spec.kind,) if isinstance(spec.kind, str) else spec.kind


# Drawing.


class _Draw:
    """One part's own random source."""

    def __init__(self, seed: int, *part: str | int) -> None:
        self.random = chance(seed, "draw", *part)

    def real(self, value: Any) -> float:
        """A number as it is, or one from its range."""
        low, high = value if isinstance(value, tuple) else (value, value)
        # Drawn in any case, so that a range in place of a number moves nothing else.
        return float(low + (high - low) * self.random.random())

    def whole(self, value: Any) -> int:
        low, high = value if isinstance(value, tuple) else (value, value)
        return int(low + int(self.random.random() * (high - low + 1)))

    def time(self, value: Any, unit: int) -> int:
        """Microseconds of a value in the unit."""
        return round(self.real(value) * unit)

    def weights(self, count: int, uneven: float) -> list[float]:
        """So many weights that sum up to 1, the further apart the more uneven."""
        found = np.exp(uneven * self.random.standard_normal(count))
        return [float(w) for w in found / found.sum()]

    def some(self, count: int, share: float, least: int = 0) -> tuple[int, ...]:
        """Some of so many indices, in order."""
        number = min(count, max(least, round(count * share)))
        return tuple(sorted(int(i) for i in self.random.permutation(count)[:number]))


def _parts(weights: list[float], count: int, least: int = 0) -> list[int]:
    """`count` things dealt by weight, the largest remainders first; each gets `least` if there are enough."""
    least = min(least, count // len(weights))
    free = count - least * len(weights)
    exact = [w / sum(weights) * free for w in weights]
    found = [int(e) for e in exact]
    order = sorted(range(len(weights)), key=lambda i: (found[i] - exact[i], i))
    for i in order[: free - sum(found)]:
        found[i] += 1
    return [least + f for f in found]


def _order(draw: _Draw, counts: list[int]) -> list[int]:
    """Index i counts[i] times, shuffled."""
    every = [i for i, count in enumerate(counts) for _ in range(count)]
    return [every[int(i)] for i in draw.random.permutation(len(every))]


def _boxes(scenario: Scenario, seed: int, count: int, length: int) -> tuple[list[Kind], list[BoxSpec]]:
    fleet, spec = scenario.fleet, scenario.box
    draw = _Draw(seed, "kinds")
    kinds = [Kind(name=k.name, cores=draw.whole(k.cores), speed=draw.real(k.speed)) for k in scenario.kinds]
    shares = [draw.real(k.share) for k in scenario.kinds]
    by_kind = _order(_Draw(seed, "kinds of boxes"), _parts(shares, count))
    draw = _Draw(seed, "halls")
    uneven = draw.real(fleet.uneven)
    by_hall = sorted(_order(draw, _parts(draw.weights(len(fleet.halls), uneven), count, 1)))
    cells = _cells(_Draw(seed, "cells"), fleet.cell_size, by_hall)
    draw = _Draw(seed, "lives")
    young = draw.some(count, draw.real(fleet.young))
    joining = draw.some(count, draw.real(fleet.joining))
    leaving = draw.some(count, draw.real(fleet.leaving))
    keepalive = _Draw(seed, "box").time(spec.keepalive_s, SECOND)
    mask = int(_Draw(seed, "names").random.integers(1 << 32))
    found = []
    for i in range(count):
        draw, kind, given = _Draw(seed, "box", i), kinds[by_kind[i]], scenario.kinds[by_kind[i]]
        spread = draw.real(given.spread) * float(draw.random.standard_normal())
        cores, before = kind.cores, draw.time((0.0, scenario.rules.cold_for_s), SECOND)
        joins, leaves = draw.time((0.1, 0.8), length), draw.time((0.2, 0.9), length)
        found.append(
            BoxSpec(
                name=f"s-{(i * 2654435761 + mask) & 0xFFFFFFFF:08x}",
                hall=by_hall[i],
                kind=by_kind[i],
                cell=cells[i],
                cores=cores,
                speed=kind.speed * float(np.exp(spread)),
                slots=max(1, round(cores * draw.real(given.slots_per_core))),
                queue=round(cores * draw.real(given.queue_per_core)),
                connections=max(1, round(cores * draw.real(spec.connections_per_core))),
                handshake=draw.time(spec.handshake_work_us, 1),
                probe=draw.time(spec.probe_work_us, 1),
                handshake_delay=draw.time(spec.handshake_delay_us, 1),
                report_every=draw.time(spec.report_every_ms, MS),
                keepalive=keepalive,
                started=joins if i in joining else -max(1, before) if i in young else 0,
                joins=joins if i in joining else 0,
                leaves=leaves if i in leaving and i not in joining else 0,
            )
        )
    return kinds, found


def _cells(draw: _Draw, size: Any, by_hall: list[int]) -> list[int]:
    """Boxes of a hall stand in cells of some boxes each; numbers are unique."""
    found: list[int] = []
    cell, left, hall = -1, 0, -1
    for here in by_hall:
        if here != hall or left == 0:
            cell, left, hall = cell + 1, draw.whole(size), here
        found.append(cell)
        left -= 1
    return found


def _classes(scenario: Scenario, seed: int) -> list[ClassSpec]:
    found = []
    for number, cls in enumerate(scenario.classes):
        draw = _Draw(seed, "class", number)
        found.append(
            ClassSpec(
                name=cls.name,
                effect=cls.effect,
                share=draw.real(cls.share),
                mean_work=max(clients.LEAST_WORK, draw.time(cls.work_ms, MS)),
                sigma=draw.real(cls.sigma),
                aim=draw.time(cls.aim_ms, MS),
                stretch=draw.real(cls.stretch),
                deadline=draw.time(cls.deadline_s, SECOND),
                worth=draw.real(cls.worth),
                group=cls.group,
                window=draw.time(cls.window_s, SECOND),
                slots=draw.whole(cls.slots),
            )
        )
    total = sum(c.share for c in found)
    return [msgspec.structs.replace(c, share=c.share / total) for c in found]


def _tenants(scenario: Scenario, seed: int, allowed: float) -> list[TenantSpec]:
    """`allowed`: jobs a second within the shares of all; 0: not limited."""
    draw = _Draw(seed, "tenants")
    shares = [draw.real(t.share) for t in scenario.tenants]
    traffic = [share * draw.real(t.traffic) for share, t in zip(shares, scenario.tenants)]
    return [
        TenantSpec(
            name=t.name,
            share=share / sum(shares),
            traffic=part / sum(traffic),
            allowance_per_s=allowed * share / sum(shares),
        )
        for t, share, part in zip(scenario.tenants, shares, traffic)
    ]


def _links(scenario: Scenario, seed: int) -> LinkSpec:
    draw, spec = _Draw(seed, "links"), scenario.links
    return LinkSpec(
        same=draw.time(spec.same_ms, MS),
        cross=draw.time(spec.cross_ms, MS),
        client=draw.time(spec.client_ms, MS),
        jitter=draw.real(spec.jitter),
        datagram_least=round(spec.datagram_ms[0] * MS),
        datagram_most=round(spec.datagram_ms[1] * MS),
        datagram_loss=draw.real(spec.datagram_loss),
        datagram_twice=draw.real(spec.datagram_twice),
        cut_bytes=draw.real(spec.cut_bytes),
    )


def _roster(scenario: Scenario, seed: int) -> RosterSpec:
    draw, spec = _Draw(seed, "roster"), scenario.roster
    return RosterSpec(
        notice=draw.time(spec.notice_s, SECOND),
        silent_notice=draw.time(spec.silent_notice_s, SECOND),
        add=draw.time(spec.add_s, SECOND),
        period=max(1, draw.time(spec.period_ms, MS)),
        capacity=draw.real(spec.capacity),
        call_lines=draw.whole(spec.call_lines),
        timeout=draw.time(spec.timeout_ms, MS),
    )


def _rules(scenario: Scenario) -> Rules:
    spec = scenario.rules
    return Rules(
        drain_grace=round(_top(spec.drain_grace_ms) * MS),
        grace_to_answer=round(_top(spec.grace_to_answer_ms) * MS),
        cold_from=spec.cold_from,
        cold_for=round(_top(spec.cold_for_s) * SECOND),
        fall_multiple=_top(spec.fall_multiple),
        fall_after=round(_top(spec.fall_after_s) * SECOND),
        ask_within=round(_top(spec.ask_within_s) * SECOND),
        most_attempts=int(_top(spec.most_attempts)),
        dial=round(_top(spec.dial_ms) * MS),
        slack=round(_top(spec.slack_ms) * MS),
        advice=spec.advice,
        probes=spec.probes,
        tellings=spec.tellings,
        cancel=spec.cancel,
        progress_every=round(_top(spec.progress_s) * SECOND),
    )


def _one(scenario: Scenario, seed: int, place: int, day: Day, partner: Trouble | None) -> Trouble:
    """The trouble that the specification at this place gives."""
    spec, draw = scenario.troubles[place], _Draw(seed, "trouble", place)
    name = _kinds(spec)[draw.whole((0, len(_kinds(spec)) - 1))]
    kind = troubles.KINDS[name]
    at = draw.time(spec.at, day.length) if spec.at_s is None else draw.time(spec.at_s, SECOND)
    gap = draw.time(spec.gap_s, SECOND)
    at = at if partner is None else max(0, partner.at + gap)
    lasts, factor = max(MS, draw.time(spec.lasts_s, SECOND)), draw.real(spec.factor)
    counts = {troubles.BOXES: len(day.boxes), troubles.NODES: len(day.nodes), troubles.HALLS: len(day.halls)}
    places: dict[str, tuple[int, ...]] = {}
    share = draw.real(spec.share)
    if kind.concerns:
        most = 1 if name in ("cut", "oneway") else counts[kind.concerns]
        places[kind.concerns] = tuple(spec.these) or draw.some(counts[kind.concerns], share, 1)[:most]
    return Trouble(kind=name, at=at, until=at + lasts, factor=factor if kind.figured else 1.0, **places)


def _comes(spec: TroubleSpec, seed: int, place: int) -> bool:
    draw = _Draw(seed, "comes", place)
    return float(draw.random.random()) < draw.real(spec.probability)


def _troubles(scenario: Scenario, seed: int, day: Day) -> list[Trouble]:
    specs = scenario.troubles
    alone = [i for i, spec in enumerate(specs) if not spec.together_with]
    if scenario.trouble_count is None:
        picked = [i for i in alone if _comes(specs[i], seed, i)]
    else:
        draw = _Draw(seed, "troubles")
        odds = [draw.real(specs[i].probability) for i in alone]
        # The highest of so many keys u ** (1 / weight) is a fair choice by weight without putting back.
        keys = [float(draw.random.random()) ** (1 / o) if o else -1.0 for o in odds]
        order = sorted(range(len(alone)), key=lambda n: -keys[n])
        picked = [alone[n] for n in order[: draw.whole(scenario.trouble_count)] if keys[n] >= 0]
    found = [_one(scenario, seed, i, day, None) for i in sorted(picked)]
    for i, spec in enumerate(specs):
        partner = next((t for t in found if t.kind == spec.together_with), None)
        if partner and _comes(spec, seed, i):
            found.append(_one(scenario, seed, i, day, partner))
    return sorted((t for t in found if t.at < day.length), key=lambda t: (t.at, t.until, t.kind))


def draw(
    scenario: Scenario,
    seed: int,
    *,
    nodes: int | None = None,
    boxes: int | None = None,
    rate: float | None = None,
    length: int | None = None,
) -> Day:
    """One day.  Given counts of nodes and boxes take the place of the drawn ones, and traffic follows what
    the boxes can do unless `rate` (jobs a second) says otherwise; `length` is in microseconds.

    Each part has a random source of its own: another range in one leaves the others as they were."""
    shape = _Draw(seed, "shape")
    fleet, spec = scenario.fleet, scenario.load
    drawn = shape.time(scenario.length_s, SECOND), shape.whole(fleet.nodes), shape.whole(fleet.boxes)
    length, nodes, boxes = length or drawn[0], nodes or drawn[1], boxes or drawn[2]
    kinds, every = _boxes(scenario, seed, boxes, length)
    classes = _classes(scenario, seed)
    can = sum(b.cores * b.speed for b in every if not b.joins) * SECOND / clients.demand(classes)
    load = _Draw(seed, "load")
    asked, allowed = load.real(spec.load), load.real(spec.allowance)
    swing, period, uneven = load.real(spec.swing), load.time(spec.period_s, SECOND), load.real(spec.uneven)
    wait = 0 if load.random.random() < load.real(spec.at_once) else load.time(spec.backoff_ms, MS)
    load = _Draw(seed, "clients")
    day = Day(
        scenario=scenario.name,
        seed=seed,
        length=length,
        halls=fleet.halls,
        nodes=tuple(i % len(fleet.halls) for i in range(nodes)),
        kinds=tuple(kinds),
        boxes=tuple(every),
        classes=tuple(classes),
        tenants=tuple(_tenants(scenario, seed, allowed * can)),
        links=_links(scenario, seed),
        roster=_roster(scenario, seed),
        rules=_rules(scenario),
        load=LoadSpec(
            rate=asked * can if rate is None else rate,
            swing=swing,
            period=max(1, period),
            halls=tuple(_halls(seed, len(fleet.halls), nodes, uneven)),
            tries=load.whole(spec.tries),
            backoff=wait,
            heeds=load.real(spec.heeds),
            most_wait=load.time(spec.most_wait_s, SECOND),
            leaves=load.real(spec.leaves),
            hint_sigma=load.real(spec.hint_sigma),
            keys=load.whole(spec.keys),
            connections=load.whole(spec.connections),
            notice=load.time(spec.notice_s, SECOND),
            keeps=load.time(spec.keeps_s, SECOND),
            shuns=spec.shuns,
        ),
        over_share_worth=_top(scenario.over_share_worth),
        sockets=int(_top(fleet.sockets)),
    )
    day = msgspec.structs.replace(day, troubles=tuple(_troubles(scenario, seed, day)))
    troubles.check(day)
    return day


def _halls(seed: int, halls: int, nodes: int, uneven: float) -> list[float]:
    """Each hall's part of the traffic; a hall without a node has none."""
    weights = _Draw(seed, "traffic").weights(halls, uneven)
    weights = [w if hall < nodes else 0.0 for hall, w in enumerate(weights)]
    return [w / sum(weights) for w in weights]


def _low(value: Any) -> float:
    return float(value[0] if isinstance(value, tuple) else value)


def _top(value: Any) -> float:
    """Figures of the rules are the same on all days: a range's high end counts."""
    return float(value[1] if isinstance(value, tuple) else value)
