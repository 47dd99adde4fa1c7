"""`violetsaddle lab`: days of load and trouble, judged.

Ends with status 1 where a rule was broken, 2 where the command can't be used so, 3 where a run counts for
nothing, 130 where it was interrupted; what there is by then is given all the same."""

from __future__ import annotations

import shlex
import signal
import sys
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn, TypeVar, cast

import click
import msgspec
from click.core import ParameterSource
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from violetsaddle.lab import compare as comparing
from violetsaddle.lab import experiment, hunt, tables
from violetsaddle.lab import sweep as sweeping
from violetsaddle.lab.experiment import Case, CaseError
from violetsaddle.lab.pool import Pool, cores, run_many
from violetsaddle.lab.result import Played, Result, encode
from violetsaddle.lab.stage import Outcome
from violetsaddle.world.day import SECOND, Day
from violetsaddle.world.day import decode as read_day
from violetsaddle.world.day import encode as write_day

if TYPE_CHECKING:
    from violetsaddle.lab.capacity.sizes import Plan
    from violetsaddle.lab.capacity.world import Row

BROKEN, USAGE, VOID, INTERRUPTED = 1, 2, 3, 130
YARDSTICKS = ("random", "round-robin", "least", "two", "oracle")
Command = TypeVar("Command", bound=Callable[..., Any])

WIDE = 160  # columns, where there is no terminal that tells its own
console = Console(width=None if sys.stdout.isatty() else WIDE)
aside = Console(stderr=True)


class Unusable(click.ClickException):
    exit_code = USAGE

    def show(self, file: object = None) -> None:
        click.echo(f"violetsaddle lab: {self.format_message()}", err=True)


def _leave(results: Iterable[Result], interrupted: bool = False) -> NoReturn:
    every = list(results)
    if any(one.violations for one in every):
        sys.exit(BROKEN)
    if interrupted:
        sys.exit(INTERRUPTED)
    sys.exit(VOID if any(not one.valid for one in every) else 0)


@contextmanager
def _usable() -> Iterator[None]:
    try:
        yield
    except CaseError as error:
        raise Unusable(str(error)) from None


_SIZES: list[Any] = [
    click.option("--seconds", type=click.FloatRange(0.1), help="Length of a day."),
    click.option("--nodes", type=click.IntRange(1), help="How many nodes."),
    click.option("--boxes", type=click.IntRange(1), help="How many boxes; traffic follows what they can do."),
    click.option(
        "--load", type=click.FloatRange(0.01), help="Work asked for as a share of what boxes can do."
    ),
    click.option("--rate", type=click.FloatRange(0.1), help="Jobs a second; goes before --load."),
]
_SETS: list[Any] = [
    click.option(
        "--set",
        "sets",
        multiple=True,
        metavar="KEY=VALUE",
        help="Any key: settings.*, scenario.*, day.*, nodes, boxes, load, rate, seconds, decider, "
        "operator. May be repeated.",
    ),
]
_PLAY: list[Any] = [
    click.option(
        "--on",
        default="sim",
        show_default=True,
        metavar="STAGE",
        help="sim: virtual time in one process; live: node processes on loopback; or another "
        "stage as module:Class.",
    ),
    click.option(
        "--decider",
        default="module",
        show_default=True,
        metavar="NAME",
        help=f"Who chooses boxes: module, {', '.join(YARDSTICKS)} (not on live).",
    ),
    click.option(
        "--operator",
        type=click.Path(exists=True, dir_okay=False),
        help="The nodes' operator file (on sim its limits count, its log does not).",
    ),
    click.option(
        "--tree",
        type=click.Path(exists=True, file_okay=False),
        help="A checkout whose node is played by the lab of this one.",
    ),
]


def _with(command: Command, every: Sequence[Any]) -> Command:
    decorated: Any = command
    for option in reversed(every):
        decorated = option(decorated)
    return cast(Command, decorated)


def _drawing(command: Command) -> Command:
    """The options of every command that draws days."""
    return _with(command, [*_SIZES, *_SETS])


def _playing(command: Command) -> Command:
    """The options of every command that plays days."""
    return _with(command, [*_SIZES, *_PLAY, *_SETS])


def _check(case: Case) -> None:
    """Raises `CaseError` for what would only show once a day is played."""
    if case.decider != "module" and case.decider not in YARDSTICKS:
        raise CaseError(f"decider: expected module or one of {', '.join(YARDSTICKS)}, not {case.decider}")
    if case.decider != "module" and case.stage == "live":
        raise CaseError(f"decider: expected module, as {case.decider} plays on sim only")
    if case.operator and not case.tree:  # another checkout may know other keys
        from violetsaddle import operator

        try:
            operator.load(case.operator)
        except operator.OperatorError as error:
            raise CaseError(str(error)) from None
    experiment.drawn(case)


def _can_write(*paths: str | None) -> None:
    """A day is not played in vain for a file that can't be made."""
    for path in paths:
        if path and path != "-" and not Path(path).parent.is_dir():
            raise Unusable(f"{path}: there is no such folder")


def _case(
    scenario: str,
    on: str = "sim",
    seconds: float | None = None,
    nodes: int | None = None,
    boxes: int | None = None,
    load: float | None = None,
    rate: float | None = None,
    decider: str = "module",
    operator: str | None = None,
    tree: str | None = None,
    sets: Sequence[str] = (),
    day: Day | None = None,
) -> Case:
    case = Case(
        scenario,
        stage=on,
        nodes=nodes or 0,
        boxes=boxes or 0,
        rate=rate or 0.0,
        seconds=seconds or 0.0,
        decider=decider,
        day=day,
        operator=str(Path(operator).resolve()) if operator else "",
    )
    with _usable():
        if load:
            case = experiment.change(case, "load", str(load))
        if tree:
            case = comparing.side(case, tree)
        case = comparing.changed(case, sets)
        experiment.check_stage(on)
        _check(case)
    return case


def _bar() -> Progress:
    """Long runs' progress, beside the results."""
    return Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
        console=aside,
        transient=True,
        disable=not aside.is_terminal,
    )


def _put(path: str | None, data: bytes) -> None:
    """Into the file; `-` is standard output."""
    if path == "-":
        sys.stdout.buffer.write(data)
        sys.stdout.buffer.flush()
    elif path:
        try:
            Path(path).write_bytes(data)
        except OSError as error:
            raise Unusable(f"{path}: {error.strerror}") from None


def _tell(text: str) -> None:
    aside.print(text, markup=False, highlight=False, soft_wrap=True)


@click.group(short_help="Run experiments: days of load and trouble, judged.")
def command() -> None:
    """Plays days of load and trouble against real nodes, judges and compares.

    Status: 1 a rule was broken, 2 the command can't be used so, 3 a run counts for nothing,
    130 interrupted."""


# run


def _file_day(path: str) -> Day:
    try:
        return read_day(Path(path).read_bytes())
    except OSError as error:
        raise Unusable(f"{path}: {error.strerror}") from None
    except msgspec.DecodeError as error:
        raise Unusable(f"{path}: expected a day as JSON: {error}") from None


def _whole_day(sets: Sequence[str]) -> None:
    """A day from a file is played as it is: tells which options mean nothing then."""
    ctx = click.get_current_context()
    given = [
        f"--{name}"
        for name in ("seed", "seconds", "nodes", "boxes", "load", "rate")
        if ctx.get_parameter_source(name) is ParameterSource.COMMANDLINE
    ]
    given += [text for text in sets if not text.startswith(("settings.", "day.", "decider", "operator"))]
    if given:
        _tell(f"run: beside --day these mean nothing: {', '.join(given)}; --set day.KEY=VALUE changes a day")


def _watched(case: Case) -> Outcome:
    """Plays here, with progress; on an interrupt what there is of the day."""
    day = experiment.drawn(case)
    with _bar() as progress:
        task = progress.add_task(f"seed {day.seed}", total=day.length // SECOND or 1)
        shown = 0

        def onward(record: Any) -> None:
            nonlocal shown
            if record.at - shown >= SECOND:
                shown = record.at
                progress.update(task, completed=min(shown, day.length) // SECOND)

        seen = experiment.Seen(onward)

        def stop(number: int, frame: object) -> None:
            seen.stop = True
            signal.signal(signal.SIGINT, signal.default_int_handler)  # a second one ends it whatever it does

        before = signal.getsignal(signal.SIGINT)
        if case.stage != "live":  # that one takes a KeyboardInterrupt and ends its processes
            signal.signal(signal.SIGINT, stop)
        try:
            return experiment.play(case, seen)
        except (experiment.Interrupted, KeyboardInterrupt):
            return experiment.part(day, seen)
        finally:
            signal.signal(signal.SIGINT, before)


@command.command()
@click.argument("scenario", required=False)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Which day is drawn.")
@_playing
@click.option(
    "--day",
    "day_file",
    type=click.Path(exists=True, dir_okay=False),
    help="A day as JSON, as `hunt` and `show` write it, in place of a scenario.",
)
@click.option("--yardsticks", is_flag=True, help="Play the yardsticks on the same day, always on sim.")
@click.option("--json", "json_file", metavar="FILE", help="Write the result as JSON; - for standard output.")
@click.option("--report", metavar="DIR", help="Write a page with plots.")
@click.option("--keep", metavar="FILE", help="Write all records, for `judge`.")
def run(
    scenario: str | None,
    seed: int,
    day_file: str | None,
    yardsticks: bool,
    json_file: str | None,
    report: str | None,
    keep: str | None,
    **playing: Any,
) -> None:
    """Play one day of SCENARIO (a name or a TOML file) and judge it.

    On sim, --tree goes without --keep and --report."""
    if (scenario is None) == (day_file is None):
        raise Unusable("run: expected a scenario or --day FILE")
    if day_file:
        _whole_day(playing["sets"])
    _can_write(json_file, keep)
    case = _case(scenario or "", **playing, day=_file_day(day_file) if day_file else None)
    case = msgspec.structs.replace(case, seed=seed, yardsticks=YARDSTICKS if yardsticks else ())
    if case.tree and case.stage == "sim":
        if keep or report:
            raise Unusable(
                "run: --keep and --report can't go with --tree on sim: its node runs in another process"
            )
        played = _named(next(iter(run_many([case]))), day_file)
        _show(played, json_file)
        _leave([played.result])
    try:
        outcome = _watched(case)
    except CaseError as error:
        raise Unusable(str(error)) from None
    except Exception as error:
        aside.print_exception()
        _leave([experiment.failed(case, f"{type(error).__name__}: {error}").result])
    interrupted = outcome.void.startswith("interrupted")
    case = msgspec.structs.replace(case, yardsticks=() if interrupted else case.yardsticks)
    lines: dict[str, Any] = {}
    played = experiment.measured(case, outcome, lines, judge=not interrupted)
    if keep:
        _put(keep, experiment.pack(outcome))
    _show(_named(played, day_file), json_file)
    if report:
        _page(report, outcome, played.result, lines, experiment.repeat(case, day_file or ""))
    _leave([played.result], interrupted)


def _named(played: Played, day_file: str | None) -> Played:
    """With the day's file in the command that repeats it."""
    if not day_file:
        return played
    told = played.report.replace(experiment.DAY_FILE, shlex.quote(day_file))
    return msgspec.structs.replace(played, report=told)


def _page(directory: str, outcome: Outcome, result: Result, lines: dict[str, Any], again: str) -> None:
    from violetsaddle.lab import report  # brings matplotlib

    html = report.page(outcome, result, lines, experiment.stories(outcome, result), again)
    try:
        _tell(f"report: {report.write(directory, html)}")
    except OSError as error:
        raise Unusable(f"{directory}: {error.strerror}") from None


def _show(played: Played, json_file: str | None) -> None:
    """A result on the terminal, unless its JSON goes there."""
    _put(json_file, encode([played.result]))
    out = aside if json_file == "-" else console
    for table in tables.result(played):
        out.print(table)
        out.print()
    if played.report:
        out.print(played.report, markup=False, highlight=False, soft_wrap=True)
    one = played.result
    if not one.valid:
        out.print(f"counts for nothing: {one.void or one.error}", markup=False)
    elif not one.violations:
        out.print("no rule broken")
    if played.cost.wall:
        _tell(tables.cost(played))


# judge, list, show


@command.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--request", metavar="TXN", help="Tell one request's whole story.")
@click.option("--json", "json_file", metavar="FILE", help="Write the result as JSON; - for standard output.")
@click.option("--report", metavar="DIR", help="Write a page with plots.")
def judge(file: str, request: str | None, json_file: str | None, report: str | None) -> None:
    """Judge the records of a day again (FILE: from `run --keep`)."""
    try:
        outcome = experiment.unpack(Path(file).read_bytes())
    except msgspec.DecodeError as error:
        raise Unusable(f"{file}: expected records that `run --keep` has written: {error}") from None
    if request:
        click.echo("\n".join(experiment.story(outcome, request)))
        return
    lines: dict[str, Any] = {}
    case = Case(day=outcome.day, stage="sim" if outcome.events else "live")  # only sim counts them
    played = experiment.measured(case, outcome, lines)
    told = played.report.replace(experiment.repeat(case), f"violetsaddle lab judge {shlex.quote(file)}")
    _show(msgspec.structs.replace(played, report=told), json_file)
    if report:
        _page(report, outcome, played.result, lines, "")
    _leave([played.result])


@command.command("list")
def list_() -> None:
    """List the scenarios that come with the program."""
    from violetsaddle.world import scenario

    names = scenario.names()
    wide = max(map(len, names), default=0)
    for name in names:
        click.echo(f"{name:<{wide}}  {scenario.load(name).text}")


@command.command()
@click.argument("scenario")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Which day is drawn.")
@click.option("--json", "json_file", metavar="FILE", help="Write the day as JSON; - for standard output.")
@_drawing
def show(scenario: str, seed: int, json_file: str | None, **drawing: Any) -> None:
    """Tell what a drawn day holds, in words."""
    from violetsaddle.world import troubles

    case = msgspec.structs.replace(_case(scenario, **drawing), seed=seed)
    with _usable():
        day = experiment.drawn(case)
    _put(json_file, write_day(day))
    if json_file == "-":
        return
    click.echo(
        f"{day.scenario}, seed {day.seed}: {day.length / SECOND:.1f} s, {len(day.nodes)} nodes and "
        f"{len(day.boxes)} boxes in {len(day.halls)} halls, {day.load.rate:.1f} jobs a second"
    )
    for one in day.classes:
        click.echo(
            f"  class {one.name}: {one.effect}, {one.share:.0%} of jobs, "
            f"{one.mean_work / 1000:.0f} ms of work on average, "
            f"aim {one.aim / 1000:.0f} ms + {one.stretch:g} times its running time, "
            f"deadline {one.deadline / SECOND:g} s"
        )
    for trouble in day.troubles:
        click.echo(f"  {troubles.text(trouble, day)}")


# compare, sweep


def _gather(many: Iterable[Any], total: int, text: str) -> tuple[list[Any], bool]:
    """All of them with progress, or those there are when interrupted."""
    found: list[Any] = []
    with _bar() as progress:
        task = progress.add_task(text, total=total)
        try:
            for one in many:
                found.append(one)
                progress.advance(task)
        except KeyboardInterrupt:
            return found, True
        finally:
            close = getattr(many, "close", None)
            if close:
                close()
    return found, False


def _warn(results: Iterable[Result]) -> None:
    for one in results:
        why = one.error or one.void or ", ".join(one.rules)
        if why:
            _tell(f"{one.scenario} seed {one.seed} {one.setting or ''}: {why}")


_seeds = click.option("--seeds", type=click.IntRange(1), default=10, show_default=True, help="How many days.")
_first = click.option(
    "--first-seed",
    type=click.IntRange(0),
    default=1,
    show_default=True,
    help="The first day's seed; the others follow one by one.",
)
_processes = click.option(
    "--processes",
    type=click.IntRange(1),
    default=max(1, cores() - 1),
    show_default=True,
    help="Days played at the same time; on live always one.",
)
_figures = click.option(
    "--figure",
    "patterns",
    multiple=True,
    metavar="PATTERN",
    help="Figures to show, such as 'latency.*.p99_ms' or '*'. May be repeated.",
)


@command.command()
@click.argument("a")
@click.argument("b")
@click.option("--scenario", default="city", show_default=True)
@_seeds
@_first
@_processes
@click.option("--set-a", "sets_a", multiple=True, metavar="KEY=VALUE", help="On side A only.")
@click.option("--set-b", "sets_b", multiple=True, metavar="KEY=VALUE", help="On side B only.")
@click.option("--yardsticks", is_flag=True, help="Also compare what is lost against the yardsticks.")
@click.option("--json", "json_file", metavar="FILE", help="Write results, A and B in turn, a line each.")
@_figures
@_playing
def compare(
    a: str,
    b: str,
    scenario: str,
    seeds: int,
    first_seed: int,
    processes: int,
    sets_a: tuple[str, ...],
    sets_b: tuple[str, ...],
    yardsticks: bool,
    json_file: str | None,
    patterns: tuple[str, ...],
    **playing: Any,
) -> None:
    """Play A and B on the same days and tell the difference.

    Each side is `this`, a checkout (a directory: its node is played by the lab of this one), an operator file
    (.toml) or key=value[,key=value] as for --set (a value with a comma in it needs --set-a or --set-b). The
    interval is a bootstrap over days."""
    case = msgspec.structs.replace(_case(scenario, **playing), yardsticks=YARDSTICKS if yardsticks else ())
    with _usable():
        sides = [comparing.side(case, a, sets_a), comparing.side(case, b, sets_b)]
        for one in sides:
            _check(one)
    _can_write(json_file)
    if case.stage == "live":
        processes = 1  # days of real time would take each other's cores
    pairs, interrupted = _gather(
        comparing.pairs(sides[0], sides[1], range(first_seed, first_seed + seeds), processes),
        seeds,
        "pairs of days",
    )
    results = [played.result for pair in pairs for played in pair]
    _put(json_file, encode(results))
    _warn(results)
    found = comparing.differences([(one.result, other.result) for one, other in pairs])
    (aside if json_file == "-" else console).print(tables.differences(found, patterns))
    _leave(results, interrupted)


@command.command()
@click.argument("scenario")
@click.option(
    "--over",
    "axes",
    multiple=True,
    required=True,
    metavar="KEY=V1,V2,...",
    help="Values of a key as for --set; keys that go together: nodes:boxes=4:12,16:100. May be "
    "repeated: every combination is played.",
)
@click.option(
    "--seeds", type=click.IntRange(1), default=3, show_default=True, help="How many days for each value."
)
@_first
@_processes
@click.option("--yardsticks", is_flag=True, help="Also play the yardsticks.")
@click.option(
    "--json", "json_file", metavar="FILE", help="Write results, a line each; - for standard output."
)
@_figures
@_playing
def sweep(
    scenario: str,
    axes: tuple[str, ...],
    seeds: int,
    first_seed: int,
    processes: int,
    yardsticks: bool,
    json_file: str | None,
    patterns: tuple[str, ...],
    **playing: Any,
) -> None:
    """Play SCENARIO over values of keys, in parallel."""
    case = msgspec.structs.replace(_case(scenario, **playing), yardsticks=YARDSTICKS if yardsticks else ())
    with _usable():
        places = sweeping.points(case, axes)
        for place in places:
            _check(place.case)
    _can_write(json_file)
    if case.stage == "live":
        processes = 1
    found, interrupted = _gather(
        sweeping.sweep(places, range(first_seed, first_seed + seeds), processes), len(places) * seeds, "days"
    )
    results = [played.result for _, played in found]
    _put(json_file, encode(results))
    _warn(results)
    for table in tables.sweep(found, patterns):
        (aside if json_file == "-" else console).print(table)
    _leave(results, interrupted)


# hunt


@command.command("hunt")
@click.argument("scenario")
@click.option("--days", type=click.IntRange(1), default=200, show_default=True, help="At most so many.")
@_first
@_processes
@click.option("--worst", is_flag=True, help="Keep the day that loses most against the oracle instead.")
@click.option("--rule", default="", metavar="RULE", help="Look for this rule only.")
@click.option("--shrink/--no-shrink", default=True, show_default=True, help="Make the found day smaller.")
@click.option(
    "--most", type=click.IntRange(1), default=200, show_default=True, help="Days played for shrinking."
)
@click.option(
    "--out", metavar="FILE", default="found-day.json", show_default=True, help="Where the day goes."
)
@click.option("--json", "json_file", metavar="FILE", help="Write the result of the found day as JSON.")
@_playing
def hunt_(
    scenario: str,
    days: int,
    first_seed: int,
    processes: int,
    worst: bool,
    rule: str,
    shrink: bool,
    most: int,
    out: str,
    json_file: str | None,
    **playing: Any,
) -> None:
    """Draw days of SCENARIO until one breaks a rule, then make it as small as it can be.

    Days last 10 s unless --seconds says otherwise. Prints the broken rule with its request's story, and the
    command that repeats the day."""
    from violetsaddle.lab.judge import Rule

    if rule and worst:
        raise Unusable("hunt: --rule can't go with --worst")
    if rule and rule not in [str(one) for one in Rule]:
        raise Unusable(f"hunt: --rule: expected one of {', '.join(Rule)}, not {rule}")
    _can_write(out, json_file)
    playing["seconds"] = playing["seconds"] or 10.0
    case = _case(scenario, **playing)
    if worst:
        case = msgspec.structs.replace(case, yardsticks=("oracle",))
    if case.stage == "live":
        processes = 1
    errors: list[Result] = []
    with Pool(processes) as pool:
        found, interrupted = _draw_days(pool, case, first_seed, days, worst, rule, errors)
        _warn(errors)
        if found is None:
            _tell(f"no day found among {days if not interrupted else 'those played'}")
            _leave(errors, interrupted)
        case = msgspec.structs.replace(case, seed=found.result.seed)
        rule = rule or (found.result.violations[0].rule if found.result.violations else "")
        wanted = hunt.loses(hunt.lost(found) * hunt.KEEPS) if worst else hunt.breaks(rule)
        _tell(f"seed {found.result.seed}: {', '.join(found.result.rules) or f'loses {hunt.lost(found):.1%}'}")
        small = hunt.Shrinker(pool, case, wanted, most)
        if shrink and not interrupted:
            interrupted = _shrink(small)
    played = small.best or found
    _put(out, write_day(small.day))
    _put(json_file, encode([played.result]))
    if json_file != "-":
        told = _named(played, out).report or tables.result(played)[0]
        console.print(told, markup=False, highlight=False, soft_wrap=True)
    if small.taken:
        _tell(f"{len(small.taken)} steps smaller: {', '.join(small.taken)}")
    _tell(f"the day: {out}; again: {experiment.repeat(small.case, out)}")
    _leave([played.result], interrupted)


def _draw_days(
    pool: Pool, case: Case, first: int, days: int, worst: bool, rule: str, errors: list[Result]
) -> tuple[Played | None, bool]:
    best: list[Played] = []

    def see(played: Played) -> None:
        progress.advance(task)
        if not played.result.valid:
            errors.append(played.result)
        if hunt.lost(played) > (hunt.lost(best[-1]) if best else 0.0):
            best.append(played)

    with _bar() as progress:
        task = progress.add_task("days", total=days)
        playing = pool.play(hunt.cases(case, first, days))
        try:
            return hunt.worst(playing, see) if worst else hunt.first_broken(playing, see, rule), False
        except KeyboardInterrupt:
            return (best[-1] if worst and best else None), True


def _shrink(small: hunt.Shrinker) -> bool:
    """Whether it was interrupted; the smallest day so far is there in any case."""
    with _bar() as progress:
        task = progress.add_task("shrinking", total=None)

        def see(name: str, kept: bool) -> None:
            progress.update(task, advance=1, description=f"shrinking: {len(small.taken)} steps")

        try:
            small.run(see)
        except KeyboardInterrupt:
            return True
    return False


# capacity


@command.command()
@click.argument("plan_file", metavar="[PLAN]", required=False, type=click.Path(dir_okay=False))
@click.option("--sweep", "keys", multiple=True, metavar="KEY", help="Sweep this size only. May be repeated.")
@click.option(
    "--json", "json_file", metavar="FILE", help="Write rows and slopes as JSON; - for standard output."
)
@click.option("--svg", "folder", metavar="DIR", help="Write a picture of each slope with its budget line.")
@click.option(
    "--real-nodes",
    type=int,
    metavar="N",
    help="One run of a tier of N real nodes (2 to 240) with the operators' load spread over them, no sweep.",
)
@click.option(
    "--tree",
    type=click.Path(exists=True, file_okay=False),
    help="A checkout whose node is measured by the lab of this one.",
)
def capacity(
    plan_file: str | None,
    keys: tuple[str, ...],
    json_file: str | None,
    folder: str | None,
    real_nodes: int | None,
    tree: str | None,
) -> None:
    """Measure what a node costs by the size of its fleet.

    A real node stands among hollow executors, discovery, clients and peers. PLAN is a TOML file with the
    tables base and sweeps (docs/lab.md); without one the whole default is swept, in about six minutes. Ends
    with status 1 where the node's own counts differ from what was seen outside it."""
    from violetsaddle.lab.capacity import report, sizes

    _can_write(json_file)
    try:
        plan = sizes.load(plan_file) if plan_file else sizes.DEFAULT
        plan = _only(plan, keys)
        if real_nodes is not None:
            sizes.check_real(real_nodes, plan, sizes.Machine.here())
        else:
            sizes.check(plan, sizes.Machine.here())
    except sizes.PlanError as error:
        raise Unusable(f"capacity: {error}") from None
    out = aside if json_file == "-" else console
    rows = _capacity_rows(plan, real_nodes, tree or "")
    found = report.result(plan, rows)
    _put(json_file, report.encode(found))
    if real_nodes is not None:
        out.print(report.real_table(rows))
        return
    for table in report.tables(found):
        out.print(table)
    if folder:
        try:
            report.pictures(found, folder)
        except OSError as error:
            raise Unusable(f"{folder}: {error.strerror}") from None
    odd = report.strange(found)
    for line in odd:
        _tell(f"counts differ: {line}")
    sys.exit(BROKEN if odd else 0)


def _only(plan: Plan, keys: Sequence[str]) -> Plan:
    """The plan with these sweeps alone; raises `PlanError`."""
    from violetsaddle.lab.capacity.sizes import PlanError

    for key in keys:
        if key not in plan.sweeps:
            raise PlanError(f"--sweep: {key} is not swept, expected one of {', '.join(plan.sweeps)}")
    if not keys:
        return plan
    return msgspec.structs.replace(plan, sweeps={k: plan.sweeps[k] for k in keys}, named={})


def _capacity_rows(plan: Plan, real_nodes: int | None, tree: str) -> list[Row]:
    """Plays with progress; ends the command where a child died or it was interrupted."""
    from violetsaddle.lab.capacity import sweep as points
    from violetsaddle.lab.capacity.hollow import HollowError
    from violetsaddle.lab.capacity.process import NodeDiedError

    total = sum(map(len, points.batches(plan)))
    with _bar() as progress:
        task = progress.add_task("capacity", total=None if real_nodes else total)

        def see(key: str, value: float, done: int) -> None:
            progress.update(task, completed=done, description=f"{key} {value:g}")

        try:
            if real_nodes is not None:
                return points.real_tier(plan, real_nodes, tree)
            return points.sweep(plan, tree, see)
        except KeyboardInterrupt:
            sys.exit(INTERRUPTED)
        except (NodeDiedError, HollowError, TimeoutError, OSError) as error:
            _tell(f"violetsaddle lab: capacity: {type(error).__name__}: {error}")
            sys.exit(VOID)
