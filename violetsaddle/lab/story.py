"""A request's whole story, readable by a person: what clients, nodes, boxes and roster did, in order."""

from __future__ import annotations

from collections.abc import Sequence

from violetsaddle.lab import records as rec
from violetsaddle.lab.book import Book
from violetsaddle.lab.records import Record
from violetsaddle.world.day import Day, Item


def _ms(time: int) -> str:
    return f"{time / 1000:.1f} ms"


def story(day: Day, records: Sequence[Record], txn: str, items: Sequence[Item] | None = None) -> list[str]:
    """All that happened to the item of a try, in order, with what its nodes were told of the boxes concerned,
    the lives of both, and the day's troubles; one line each, times in milliseconds of the day."""
    return telling(Book((day, records), items), txn)


def telling(book: Book, txn: str) -> list[str]:
    """`story` from a book that is there already."""
    day = book.day
    one = book.tries.get(txn)
    if one is None:
        return [f"nothing is known of {txn}"]
    tries = book.by_item[one.item] if one.item >= 0 else [one]
    runs = [run for each in tries for run in each.runs]
    lines = []
    item = book.items.get(one.item)
    if item is not None:
        spec = day.classes[item.cls]
        lines.append(
            f"item {item.number}: {spec.name} ({spec.effect}), {day.tenants[item.tenant].name}, "
            f"hall {day.halls[item.hall]}, work {_ms(item.work)}, wanted at {_ms(item.at)}"
        )
    return lines + _lines(
        book,
        {each.txn for each in tries},
        {run.number for run in runs},
        {each.node for each in tries if each.node >= 0},
        {run.box for run in runs},
    )


def around(book: Book, node: int, box: int, until: int) -> list[str]:
    """What a node and a box (-1: none) lived through and were told up to a time."""
    return _lines(book, set(), set(), {node} - {-1}, {box} - {-1}, until)


def fallen(book: Book, box: int, at: int) -> list[str]:
    """How a cold box fell: what its nodes were told, and all that they sent within the time that counts."""
    since = at - book.day.rules.fall_after
    runs = [run for run in book.runs.values() if run.box == box and since < run.at <= at]
    lines = _lines(book, set(), set(), {run.node for run in runs}, {box}, at)
    for run in runs:
        item = book.items.get(book.tries[run.txn].item)
        work = f", work {_ms(item.work)}" if item is not None else ""
        lines.append(f"{run.at / 1000:12.3f}  run {run.number} of {run.txn} from n{run.node}{work}")
    return lines


def _lines(
    book: Book, txns: set[str], runs: set[int], nodes: set[int], boxes: set[int], until: int = -1
) -> list[str]:
    own: list[Record] = []
    around: list[Record] = []
    told: dict[tuple[int, int], tuple[str, int]] = {}
    for r in book.records:
        if isinstance(r, (rec.Sent, rec.Unreached, rec.Answer, rec.Lost, rec.Gone, rec.GaveUp, rec.Came)):
            if r.txn in txns:
                own.append(r)
        elif isinstance(
            r, (rec.TurnedAway, rec.Took, rec.Began, rec.Effect, rec.Ended, rec.GivenUp, rec.Called)
        ):
            if r.run in runs:
                own.append(r)
        elif isinstance(r, rec.Told):
            # A list repeats what was told before: only news are part of a story.
            if r.node in nodes and r.box in boxes and told.get((r.node, r.box)) != (r.state, r.started):
                told[r.node, r.box] = (r.state, r.started)
                around.append(r)
        elif (
            (isinstance(r, rec.NodeLife) and r.node in nodes)
            or (isinstance(r, rec.BoxLife) and r.box in boxes)
            or isinstance(r, rec.Mark)
        ):
            around.append(r)
    last = own[-1].at if own else until
    kept = own + [r for r in around if r.at <= last]
    kept.sort(key=lambda r: r.at)  # stable: records of one time stay in their order
    return [f"{r.at / 1000:12.3f}  {_line(book.day, r)}" for r in kept]


def _line(day: Day, r: Record) -> str:
    text: str
    match r:
        case rec.Sent():
            text = f"client: try {r.tries} ({r.txn}) sent whole to n{r.node}, {_ms(r.remaining)} remain"
        case rec.Unreached():
            text = f"client: try {r.tries} ({r.txn}) found no way to n{r.node}"
        case rec.Answer():
            advice = f", retry after {r.retry_after:g} s" if r.retry_after >= 0 else ""
            text = f"client: {r.status} for {r.txn}{advice}" + (f", body {r.body[:60]!r}" if r.body else "")
        case rec.Lost():
            text = f"client: connection ended without an answer to {r.txn}: {r.why}"
        case rec.Gone():
            text = f"client: closes {r.txn}, " + ("its time is over" if r.overdue else "out of patience")
        case rec.GaveUp():
            text = f"n{r.node}: the module says {r.how} for {r.txn}"
        case rec.Came():
            text = (
                f"box {day.boxes[r.box].name} (life {r.life}): run {r.run} of {r.txn} from n{r.node} "
                f"is whole, its first byte came at {r.first_at / 1000:.3f}"
                + ("" if r.body_same else ", ALTERED")
            )
        case rec.Told():
            told = "counts as told" if r.counted else "is told"
            text = (
                f"roster: n{r.node} (life {r.node_life}) {told} that {day.boxes[r.box].name} is "
                f"{r.state}, started {r.started / 1000:.3f}"
            )
        case rec.NodeLife():
            text = f"n{r.node} (life {r.life}): {r.what}" + (f", status {r.code}" if r.code else "")
        case rec.BoxLife():
            by = ", ".join(f"n{node} {work / 1000:.1f} ms" for node, work in r.by)
            text = f"box {day.boxes[r.box].name} (life {r.life}): {r.what}" + (
                f", work by {by}" if by else ""
            )
        case rec.Mark():
            text = f"trouble until {r.until / 1000:.3f}: {r.text or r.kind}"
        case _:
            text = _run_line(r)
    return text


def _run_line(r: Record) -> str:
    match r:
        case rec.Took():
            text = "202"
        case rec.TurnedAway():
            text = f"turned away, {r.status}" if r.status else "handed back unstarted"
        case rec.Began():
            text = "begins"
        case rec.Effect():
            text = "dropped as a repeat" if r.dropped else f"its effect happens, {_ms(r.work)} of work"
        case rec.Ended():
            text = f"ends: {r.how}" + (f", result {r.result[:60]!r}" if r.result else "")
        case rec.GivenUp():
            text = f"given up ({r.how})"
        case rec.Called():
            text = f"callback {r.state} " + (f"answered {r.status}" if r.status else "never answered")
            text += f" at try {r.tries}" if r.tries > 1 else ""
        case _:
            return type(r).__name__
    return f"run {r.run}: {text}"
