"""The kinds of troubles: what each concerns, what its factor means, and how it reads."""

from __future__ import annotations

from dataclasses import dataclass

from violetsaddle.world.day import SECOND, Day, Trouble

BOXES, NODES, HALLS, ALL = "boxes", "nodes", "halls", ""


class TroubleError(ValueError):
    """A trouble that can't be on this day; one line."""


@dataclass(frozen=True)
class Kind:
    """`concerns`: the list of a `Trouble` that must not be empty; `least`, `most`: bounds of its factor
    (equal: it has none)."""

    concerns: str
    text: str  # may hold {who}, {factor:g} and {share:.0f} (the factor in percent)
    least: float = 1.0
    most: float = 1.0

    @property
    def figured(self) -> bool:
        """Whether its factor means something."""
        return self.least < self.most


KINDS: dict[str, Kind] = {
    "crash": Kind(BOXES, "crash of {who}, back cold"),
    "slow": Kind(BOXES, "{factor:g} times slower: {who}", 1.0, 100.0),
    "errors": Kind(BOXES, "{share:.0f} % of jobs end in an error at {who}", 0.0, 1.0),
    "silence": Kind(BOXES, "silence of {who}"),
    "flap": Kind(BOXES, "a crash or a return every {factor:g} s: {who}", 0.1, 60.0),
    "stale": Kind(BOXES, "reports {factor:g} s older from {who}", 0.0, 600.0),
    "frozen": Kind(BOXES, "reports that never change from {who}"),
    "lie": Kind(BOXES, "reports to be free, whatever is true, from {who}"),
    "reset": Kind(BOXES, "{share:.0f} % of kept connections reset when used, by {who}", 0.0, 1.0),
    "cold": Kind(BOXES, "drain and restart of {who}"),
    "drain": Kind(BOXES, "drain for good of {who}"),
    "burst": Kind(ALL, "traffic is {factor:g} times the usual", 0.0, 100.0),
    "rude": Kind(ALL, "{factor:g} bad clients come each second", 0.0, 1000.0),
    "cut": Kind(HALLS, "{who} cut off from the others, both ways"),
    "oneway": Kind(HALLS, "what leaves {who} for other halls is lost"),
    "loss": Kind(ALL, "{share:.0f} % of datagrams are lost", 0.0, 1.0),
    "twice": Kind(ALL, "{share:.0f} % of datagrams come twice", 0.0, 1.0),
    "roster_out": Kind(ALL, "the roster is down"),
    "roster_move": Kind(ALL, "the roster moves to another address"),
    "restart": Kind(NODES, "planned restart of {who}"),
    "kill": Kind(NODES, "kill of {who}"),
    "pause": Kind(NODES, "pause of {who}"),
    "clock": Kind(NODES, "clocks stand still at {who}"),
    "hall": Kind(HALLS, "loss of {who} with all that is in it"),
}


def _names(trouble: Trouble, day: Day) -> list[str]:
    if trouble.halls:
        return [f"hall {day.halls[h]}" for h in trouble.halls]
    if trouble.nodes:
        return [f"n{n}" for n in trouble.nodes]
    return [day.boxes[b].name for b in trouble.boxes]


def text(trouble: Trouble, day: Day) -> str:
    """One line for people; the trouble must have passed `check_one`."""
    names = _names(trouble, day)
    who = ", ".join(names[:4]) + (f" and {len(names) - 4} more" if len(names) > 4 else "")
    factor = trouble.factor
    what = KINDS[trouble.kind].text.format(who=who, factor=round(factor, 2), share=100 * factor)
    return f"{trouble.at / SECOND:.1f} to {trouble.until / SECOND:.1f} s: {what}"


def check_one(trouble: Trouble, day: Day) -> None:
    """Raises `TroubleError` if the trouble can't be on this day."""
    kind = KINDS.get(trouble.kind)
    if kind is None:
        raise TroubleError(f"{trouble.kind}: there is no such kind of trouble")
    if not 0 <= trouble.at < trouble.until:
        raise TroubleError(
            f"{trouble.kind}: must begin at 0 or later and end after that, "
            f"not from {trouble.at} to {trouble.until}"
        )
    counts = {BOXES: len(day.boxes), NODES: len(day.nodes), HALLS: len(day.halls)}
    for field, count in counts.items():
        named: tuple[int, ...] = getattr(trouble, field)
        if bool(named) != (field == kind.concerns):
            raise TroubleError(
                f"{trouble.kind}: concerns {kind.concerns or 'no place'}, "
                f"so that its {field} must {'' if field == kind.concerns else 'not '}be named"
            )
        if len(set(named)) < len(named) or not all(0 <= index < count for index in named):
            raise TroubleError(
                f"{trouble.kind}: {field} must be different numbers from 0 to {count - 1}, not {list(named)}"
            )
    if kind.figured and not kind.least <= trouble.factor <= kind.most:
        raise TroubleError(
            f"{trouble.kind}: factor must be from {kind.least:g} to {kind.most:g}, not {trouble.factor:g}"
        )
    if trouble.kind in ("cut", "oneway") and len(day.halls) < 2:
        raise TroubleError(f"{trouble.kind}: needs two halls")


def check(day: Day) -> None:
    """Raises `TroubleError` for the first trouble of the day that can't be."""
    for number, trouble in enumerate(day.troubles):
        try:
            check_one(trouble, day)
        except TroubleError as error:
            raise TroubleError(f"trouble {number}: {error}") from None
