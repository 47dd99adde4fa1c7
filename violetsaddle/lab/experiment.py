"""One case (a scenario, a seed, what is set beyond it) played, judged and counted.

Nothing of the node is imported before a day is played: a process of its own can be turned to another
checkout first (`adopt`)."""

from __future__ import annotations

import importlib
import json
import shlex
import sys
import time
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeAlias, TypeVar

import msgspec

from violetsaddle.lab.records import Record
from violetsaddle.lab.result import Broken, Cost, Played, Result, number_of, plain
from violetsaddle.lab.stage import Options, Outcome, Stage, merged
from violetsaddle.world.day import SECOND, Day

STAGES = {"sim": "violetsaddle.lab.sim.stage:SimStage", "live": "violetsaddle.lab.live.stage:LiveStage"}
OURS = ("violetsaddle.lab", "violetsaddle.world", "violetsaddle.cli")  # never taken from another checkout
MOST_BROKEN = 200  # violations kept of one day
MOST_STORIES = 10
DAY_FILE = "DAY.json"  # in a command, where the file has no name yet
Watch: TypeAlias = Callable[[Record], None]
Lines: TypeAlias = dict[str, tuple[Any, Any]]  # name: seconds, worth a second
Thing = TypeVar("Thing", bound=msgspec.Struct)


class CaseError(ValueError):
    """A case that can't be played as asked for; one line."""


class Case(msgspec.Struct, frozen=True):
    """What to play.  Zeros and empty texts mean: as the scenario says."""

    scenario: str = ""
    seed: int = 1
    stage: str = "sim"  # or live, or `module:Class` of another stage
    nodes: int = 0
    boxes: int = 0
    rate: float = 0.0  # jobs a second
    seconds: float = 0.0
    decider: str = "module"
    operator: str = ""  # a file
    tree: str = ""  # another checkout whose node is played
    settings: dict[str, Any] = {}  # merged over the nodes' settings
    scenario_keys: dict[str, Any] = {}  # dotted keys of the scenario
    day_keys: dict[str, Any] = {}  # dotted keys of the drawn day
    yardsticks: tuple[str, ...] = ()
    day: Day | None = None  # played as it is; scenario, seed and size are its own

    def setting(self) -> dict[str, Any]:
        """What a result tells of the case beyond scenario, seed and size."""
        told = {
            "settings": self.settings,
            "scenario": self.scenario_keys,
            "day": self.day_keys,
            "operator": self.operator,
            "tree": self.tree,
        }
        return {key: value for key, value in told.items() if value}


def value_of(text: str) -> Any:
    """A value from a command line: JSON where it is some, else the text."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def change(case: Case, key: str, text: str) -> Case:
    """The case with one key set: nodes, boxes, load (a share of what the boxes can do), rate (jobs a second),
    seconds, decider, operator, or a dotted key that begins with `settings.`, `scenario.` or `day.`.

    Raises `CaseError`."""
    value = value_of(text)
    first, dot, rest = key.partition(".")
    if dot and rest and first == "settings":
        return msgspec.structs.replace(case, settings=merged(case.settings, _nested(rest, value)))
    if dot and rest and first in ("scenario", "day"):
        field = f"{first}_keys"
        return msgspec.structs.replace(case, **{field: {**getattr(case, field), rest: value}})
    if key in ("decider", "operator"):
        return msgspec.structs.replace(case, **{key: text})
    if key in ("nodes", "boxes"):
        if isinstance(value, bool) or not isinstance(value, int) or value < 1:
            raise CaseError(f"{key}: expected a whole number above 0, not {text}")
        return msgspec.structs.replace(case, **{key: value})
    if key in ("load", "rate", "seconds"):
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < 1e6:
            raise CaseError(f"{key}: expected a number above 0, not {text}")
        if key == "load":
            return change(case, "scenario.load.load", text)
        return msgspec.structs.replace(case, **{key: float(value)})
    raise CaseError(
        f"{key}: unknown key, expected nodes, boxes, load, rate, seconds, decider, "
        "operator, settings.*, scenario.* or day.*"
    )


def _nested(path: str, value: Any) -> dict[str, Any]:
    for key in reversed(path.split(".")):
        value = {key: value}
    return dict(value)


def _replaced(thing: Thing, keys: dict[str, Any], what: str) -> Thing:
    """A struct with dotted keys of it set; list items go by position."""
    if not keys:
        return thing
    table = json.loads(msgspec.json.encode(thing))
    for path, value in keys.items():
        *above, last = path.split(".")
        place: Any = table
        for key in above:
            place = place[_index(place, key, f"{what}.{path}")]
        place[_index(place, last, f"{what}.{path}")] = value
    try:
        return msgspec.convert(table, type(thing))
    except msgspec.ValidationError as error:
        raise CaseError(f"{what}: {error}") from None


def _index(place: Any, key: str, path: str) -> Any:
    holds: list[Any] = list(place) if isinstance(place, dict) else []
    index: Any = key
    if isinstance(place, list):
        holds, index = list(range(len(place))), int(key) if key.isdigit() else key
    if index not in holds:
        known = ", ".join(map(str, holds)) or "nothing below"
        raise CaseError(f"{path}: unknown key {key}, expected {known}"[:300])
    return index


def drawn(case: Case) -> Day:
    """The day of a case.  Raises `CaseError`."""
    from violetsaddle.world import scenario, troubles

    try:
        day = case.day
        if day is None:
            source = _replaced(scenario.load(case.scenario), case.scenario_keys, "scenario")
            day = scenario.draw(
                source,
                case.seed,
                nodes=case.nodes or None,
                boxes=case.boxes or None,
                rate=case.rate or None,
                length=int(case.seconds * SECOND) or None,
            )
        day = _replaced(day, case.day_keys, "day")
        troubles.check(day)
    except (scenario.ScenarioError, troubles.TroubleError) as error:
        raise CaseError(" ".join(str(error).split())) from None
    return day


def fixed(case: Case) -> Case:
    """The same case as a day of its own, which can then be changed.  Raises `CaseError`."""
    return msgspec.structs.replace(case, day=drawn(case), day_keys={}, scenario_keys={})


def check_stage(name: str) -> None:
    """Raises `CaseError` for a name that no stage can have; imports none."""
    if name not in STAGES and ":" not in name:
        raise CaseError(f"stage: expected {', '.join(STAGES)} or module:Class, not {name}")


def stage_of(name: str) -> Stage:
    """A new stage by name.  Raises `CaseError`."""
    check_stage(name)
    module, _, attribute = STAGES.get(name, name).partition(":")
    try:
        stage: Stage = getattr(importlib.import_module(module), attribute)()
    except (ImportError, AttributeError) as error:
        raise CaseError(f"stage {name!r} can't be had: {error}") from None
    return stage


def options_of(case: Case) -> Options:
    return Options(
        decider=case.decider,
        settings=case.settings,
        operator=case.operator,
        tree=case.tree if case.stage == "live" else "",
    )


def judged(outcome: Outcome, command: str = "") -> tuple[tuple[Broken, ...], str]:
    """The broken rules of a day, and the judge's report where there are any; `command` repeats the day."""
    from violetsaddle.lab import judge

    verdict = judge.judge(outcome)
    broken = tuple(Broken(str(v.rule), v.at, v.txn, v.text) for v in verdict.violations[:MOST_BROKEN])
    return broken, judge.report(outcome, verdict, command) if broken else ""


def scored(outcome: Outcome) -> dict[str, Any]:
    from violetsaddle.lab import score

    return dict(plain(score.figures(outcome)))


def measured(case: Case, outcome: Outcome, lines: Lines | None = None, judge: bool = True) -> Played:
    """Judges and counts what happened; yardsticks are played on `sim`, whatever the case's own stage.

    `lines` gets worth served a second over time, of the day and of its floor and top."""
    from violetsaddle.lab import score

    began = time.perf_counter()
    day = outcome.day
    violations, report = judged(outcome, repeat(case)) if judge else ((), "")
    figures = scored(outcome)
    judging = time.perf_counter() - began
    beside: dict[str, dict[str, Any]] = {}
    outcomes: dict[str, Outcome] = {}
    for name in case.yardsticks:
        stage = stage_of(case.stage if case.stage != "live" else "sim")
        other = stage.play(day, Options(decider=name, settings=case.settings))
        beside[name] = scored(other)
        if lines is not None:
            outcomes[name] = other
    if lines is not None:
        _draw_lines(lines, case.decider, outcome, outcomes, beside)
    result = Result(
        day.scenario,
        day.seed,
        case.stage,
        case.decider,
        day.length,
        len(day.nodes),
        len(day.boxes),
        day.load.rate,
        plain(case.setting()),
        figures,
        beside,
        dict(plain(score.against(figures, beside))),
        violations,
        tuple(dict(counters) for counters in outcome.counters),
        len(outcome.records),
        outcome.events,
        outcome.void,
    )
    return Played(result, Cost(outcome.wall, outcome.peak, judging), report)


def _draw_lines(
    lines: Lines,
    decider: str,
    outcome: Outcome,
    outcomes: dict[str, Outcome],
    figures: dict[str, dict[str, Any]],
) -> None:
    from violetsaddle.lab import score

    line = score.timeline(outcome)
    lines["asked"] = line.times, line.asked
    lines[decider] = line.times, line.worth[score.SERVED]
    if outcomes:
        top = max(outcomes, key=lambda name: float(figures[name]["goodput"]))
        floor = (
            score.FLOOR
            if score.FLOOR in outcomes
            else min(outcomes, key=lambda name: float(figures[name]["goodput"]))
        )
        for kind, name in (("floor", floor), ("top", top)):
            line = score.timeline(outcomes[name])
            lines[f"{kind}: {name}"] = line.times, line.worth[score.SERVED]


def play(case: Case, watch: Watch | None = None) -> Outcome:
    """Plays a case in this process; `watch` sees each record as it is made.  Raises `CaseError`, and what the
    stage raises."""
    day, stage = drawn(case), stage_of(case.stage)
    if watch is None:
        return stage.play(day, options_of(case))
    return stage.play(day, options_of(case), watch)  # type: ignore[call-arg]


def run_day(case: Case) -> Played:
    """Plays, judges and counts; an exception is a recorded error."""
    try:
        return measured(case, play(case))
    except CaseError as error:
        return failed(case, str(error))
    except Exception as error:
        return failed(case, f"{type(error).__name__}: {error}"[:500], traceback.format_exc())


def failed(case: Case, why: str, trace: str = "") -> Played:
    """The result of a case that could not be played to its end."""
    day = case.day
    name, seed = (case.scenario, case.seed) if day is None else (day.scenario, day.seed)
    length = int(case.seconds * SECOND) if day is None else day.length
    return Played(
        Result(
            name,
            seed,
            case.stage,
            case.decider,
            length,
            case.nodes,
            case.boxes,
            case.rate,
            plain(case.setting()),
            error=" ".join(why.split()),
        ),
        report=trace or why,
    )


def adopt(tree: str) -> None:
    """Turns this process to the node, flows and decisions of another checkout, while world and lab stay this
    one's.  To be called before anything of the node is used.  Raises `CaseError`."""
    import violetsaddle

    theirs = Path(tree).resolve() / "violetsaddle"
    if not (theirs / "policy.py").is_file():
        raise CaseError(f"{tree}: is no checkout: it has no violetsaddle/policy.py")
    for name in OURS:
        importlib.import_module(name)  # their paths are set from here on
    early = [
        name
        for name in sys.modules
        if name.startswith("violetsaddle.")
        and not any(name == ours or name.startswith(f"{ours}.") for ours in OURS)
    ]
    for name in early:
        del sys.modules[name]
    violetsaddle.__path__ = [str(theirs)]
    importlib.invalidate_caches()
    policy = importlib.import_module("violetsaddle.policy")
    interface = importlib.import_module("violetsaddle.interface")
    for name in violetsaddle.__all__:
        setattr(violetsaddle, name, getattr(interface, name, None) or getattr(policy, name))


def repeat(case: Case, day_file: str = "") -> str:
    """The command that plays a case again; one with a day of its own from that day's file."""
    words = ["violetsaddle", "lab", "run"]
    if case.day is not None:
        words += ["--day", day_file or DAY_FILE]
    else:
        words += [case.scenario, "--seed", str(case.seed)]
        for flag, size in (
            ("--nodes", case.nodes),
            ("--boxes", case.boxes),
            ("--rate", case.rate),
            ("--seconds", case.seconds),
        ):
            if size:
                words += [flag, f"{size:g}" if isinstance(size, float) else str(size)]
    for flag, told, usual in (
        ("--on", case.stage, "sim"),
        ("--decider", case.decider, "module"),
        ("--operator", case.operator, ""),
        ("--tree", case.tree, ""),
    ):
        if told != usual:
            words += [flag, told]
    keys = {f"settings.{key}": value for key, value in flat(case.settings).items()}
    keys |= {f"scenario.{key}": value for key, value in case.scenario_keys.items()}
    keys |= {f"day.{key}": value for key, value in case.day_keys.items()}
    for key, value in sorted(keys.items()):
        words += ["--set", f"{key}={json.dumps(value)}"]
    return shlex.join(words)


def flat(table: dict[str, Any], path: str = "") -> dict[str, Any]:
    """Nested tables as dotted keys."""
    found: dict[str, Any] = {}
    for key, value in table.items():
        if isinstance(value, dict) and value:
            found.update(flat(value, f"{path}{key}."))
        else:
            found[path + key] = value
    return found


class Interrupted(KeyboardInterrupt):
    """Somebody wants the run to end now; no handler of a day's exceptions may swallow it."""


class Seen:
    """Keeps the records of a day that is being played, so that a run that is stopped gives what it has."""

    def __init__(self, onward: Watch = lambda record: None) -> None:
        self.records: list[Record] = []
        self.stop = False
        self._onward = onward

    def __call__(self, record: Record) -> None:
        self.records.append(record)
        self._onward(record)
        if self.stop:  # raised again at each record: a handler of the program's may have swallowed it
            raise Interrupted


def part(day: Day, seen: Seen) -> Outcome:
    """What there is of a day that was stopped: shorter, void, and not to be judged."""
    at = max((record.at for record in seen.records), default=0)
    day = msgspec.structs.replace(day, length=max(1, min(at, day.length)))
    return Outcome(day, seen.records, (), (), 0.0, 0, 0.0, void=f"interrupted at {at / SECOND:.1f} s")


def pack(outcome: Outcome) -> bytes:
    """Everything that happened, for `unpack`."""
    return msgspec.msgpack.encode(outcome, enc_hook=number_of)


def unpack(data: bytes) -> Outcome:
    """Raises `msgspec.DecodeError`."""
    return msgspec.msgpack.decode(data, type=Outcome)


def story(outcome: Outcome, txn: str) -> list[str]:
    """All that happened to the request of a try, a line each."""
    from violetsaddle.lab.story import story as tell

    return tell(outcome.day, outcome.records, txn)


def stories(outcome: Outcome, result: Result) -> list[str]:
    """The stories of the first violations, in their order; "" where no request is concerned."""
    return [
        "\n".join(story(outcome, broken.txn)) if broken.txn else ""
        for broken in result.violations[:MOST_STORIES]
    ]
