"""Sizes of a sweep: read from TOML, refused where they can't be or don't fit the machine."""

from __future__ import annotations

import resource
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Annotated, Any, NoReturn

import msgspec
from msgspec import Meta

Count = Annotated[int, Meta(ge=1)]
Whole = Annotated[int, Meta(ge=0)]
Amount = Annotated[float, Meta(ge=0.0)]

MB = 1 << 20
NODE_BYTES = 26 * MB  # of a real node with 240 peers and 710 executors; reckoned for the check alone
PAIR_BYTES = 40  # for each pair of an executor and a peer
REQUEST_BYTES = 24 * 1024  # of a request in flight, at the node
HOLLOW_BYTES = 12 * 1024  # of a hollow executor, peer or client, in this process
MEMORY_SHARE = 0.5  # of the machine's memory that may be used
SPARE_DESCRIPTORS = 256
MOST_NODES = 240  # real ones
RUNNING, STARTS = 5_100, 180.0  # tasks and starts a second of the operators' tier
CALM_SECONDS = 5.0  # that a run takes beside its settling and its window


class PlanError(ValueError):
    """A plan can't be used; the text is one line that names key and value."""


class Sizes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One point.  What it leaves out is the operators' size, with an idle tier of 48 nodes."""

    executors: Count = 710
    nodes: Annotated[int, Meta(ge=2)] = 48  # dispatchers of the tier, the measured one included
    tenants: Count = 47
    zones: Annotated[int, Meta(ge=1, le=16)] = 12  # a datagram's first byte has four bits for its sender's
    slots: Count = 8  # of an executor
    in_flight: Whole = 0  # requests held at the measured node all the time
    starts: Amount = 0.0  # short requests a second at the measured node
    elsewhere: Amount = 0.0  # what the other nodes carry, as a share of the operators' 5,100 and 180 a second
    control: Annotated[int, Meta(ge=0, le=1)] = 1  # 0: no gossip, no probes: what requests alone cost


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is swept.  Times are seconds."""

    base: Sizes = Sizes()
    sweeps: dict[str, list[float]] = {}  # a field of `Sizes`, and its values
    runs: Count = 3  # of each point
    together: Annotated[int, Meta(ge=1, le=16)] = 3  # runs at a time, a real node each
    settle: Amount = 3.0  # from the first list and the last held request to the first reading
    seconds: Annotated[float, Meta(ge=0.5, le=600.0)] = 8.0  # between the two readings
    sockets: Annotated[int, Meta(ge=64)] = 8192  # the node's limit of descriptors
    change_share: Annotated[float, Meta(ge=0.0, le=1.0)] = 1 / 3  # executors that drain at once at the end
    run_seconds: Annotated[float, Meta(gt=0.0)] = 0.5  # how long a short request runs
    progress_seconds: Annotated[float, Meta(gt=0.0)] = 10.0  # between two tellings of a running request
    warm: Whole = 0  # short requests before the rest: a node probes more until it has seen reports
    named: dict[str, dict[str, float]] = {}  # points of their own: what differs from the base

    def points(self) -> Iterator[tuple[str, float, Sizes]]:
        """Each swept key, its value, and all sizes there; for a named point its name and 0."""
        for name, changes in self.named.items():
            sizes = self.base
            for key, value in changes.items():
                sizes = at(sizes, key, value, f"named.{name}")
            yield name, 0, sizes
        for key, values in self.sweeps.items():
            for value in values:
                yield key, value, at(self.base, key, value)


DEFAULT = Plan(
    sweeps={
        "executors": [50, 200, 710, 1024],
        "nodes": [3, 17, 48, 240, 1000],
        "tenants": [3, 47],
        "in_flight": [0, 21, 106, 212, 1062, 1700],
        "starts": [0, 0.75, 3.75, 7.5, 37.5, 180],
        "elsewhere": [0, 1, 2],
    }
)


def at(base: Sizes, key: str, value: float, table: str = "sweeps") -> Sizes:
    """The base with one size changed; raises `PlanError`."""
    whole = Sizes.__annotations__[key] not in ("Amount",)
    if whole and value != int(value):
        raise PlanError(f"{table}.{key}: {value:g} is no whole number")
    changed = {**msgspec.to_builtins(base), key: int(value) if whole else value}
    try:
        return msgspec.convert(changed, Sizes)
    except msgspec.ValidationError as error:
        raise PlanError(f"{table}.{key}: {value:g}: {_reason(error)}") from None


def load(path: str | Path) -> Plan:
    """A plan from a TOML file; raises `PlanError`."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise PlanError(f"{path}: {error}".replace("\n", " ")) from None
    try:
        return parse(text)
    except PlanError as error:
        raise PlanError(f"{path}: {error}") from None


def parse(text: str) -> Plan:
    """A plan from TOML; what the text leaves out is the default's."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise PlanError(f"no TOML: {error}".replace("\n", " ")) from None
    _known(table, Plan.__struct_fields__, "")
    _known(_table(table, "base"), Sizes.__struct_fields__, "base.")
    _known(_table(table, "sweeps"), Sizes.__struct_fields__, "sweeps.")
    for name, changes in _table(table, "named").items():
        if name in Sizes.__struct_fields__:
            raise PlanError(f"named.{name}: a point can't have the name of a size")
        _known(_table({f"named.{name}": changes}, f"named.{name}"), Sizes.__struct_fields__, f"named.{name}.")
    try:
        plan = msgspec.convert(table, Plan)
    except msgspec.ValidationError as error:
        _refuse(table, error)
    if "sweeps" not in table and "named" not in table:
        plan = msgspec.structs.replace(plan, sweeps=DEFAULT.sweeps)
    for key, values in plan.sweeps.items():
        if not values:
            raise PlanError(f"sweeps.{key}: [] holds no value")
    for _ in plan.points():  # raises where a value is none
        pass
    return plan


def _table(table: Mapping[str, Any], key: str) -> Mapping[str, Any]:
    found = table.get(key, {})
    if not isinstance(found, dict):
        raise PlanError(f"{key}: must be a table, not {found!r}")
    return found


def _known(table: Mapping[str, Any], fields: tuple[str, ...], path: str) -> None:
    for key, value in table.items():
        if key not in fields:
            raise PlanError(f"{path}{key} = {value!r}: unknown key, expected one of {', '.join(fields)}")


def _reason(error: msgspec.ValidationError) -> str:
    return str(error).partition(" - at ")[0]


def _refuse(table: Mapping[str, Any], error: msgspec.ValidationError) -> NoReturn:
    """Names key and value of what msgspec could not take."""
    path = str(error).partition(" - at `$.")[2].rstrip("`")
    value: Any = table
    for word in path.replace("[...]", "").split("."):
        value = value.get(word) if isinstance(value, dict) else value
    raise PlanError(f"{path}: {value!r}: {_reason(error)}") from None


# Whether it fits.


class Machine(msgspec.Struct, frozen=True):
    """What there is: bytes of memory and descriptors of this process."""

    memory: int
    descriptors: int

    @classmethod
    def here(cls) -> Machine:
        """What this machine and process have."""
        with open("/proc/meminfo") as file:
            kilobytes = next(int(line.split()[1]) for line in file if line.startswith("MemTotal:"))
        return cls(kilobytes * 1024, resource.getrlimit(resource.RLIMIT_NOFILE)[1])


def check(plan: Plan, machine: Machine) -> None:
    """Raises `PlanError` for the first size that does not fit the machine."""
    if plan.sockets > machine.descriptors:
        raise PlanError(f"sockets: {plan.sockets} does not fit: a process may hold {machine.descriptors}")
    _fits("base", plan.base, plan, machine, 1)
    for key, value, sizes in plan.points():
        what = f"named.{key}" if key in plan.named else f"sweeps.{key}: {value:g}"
        _fits(what, sizes, plan, machine, 1)


def check_real(nodes: int, plan: Plan, machine: Machine) -> None:
    """The same for a tier of so many real nodes; raises `PlanError`."""
    if not 2 <= nodes <= MOST_NODES:
        raise PlanError(f"--real-nodes: {nodes} does not fit: from 2 to {MOST_NODES} nodes can be started")
    load = plan.base.elsewhere or 1.0
    sizes = msgspec.structs.replace(plan.base, nodes=nodes, in_flight=int(load * RUNNING / nodes))
    alone = msgspec.structs.replace(plan, together=1)
    _fits(f"--real-nodes: {nodes}", sizes, alone, machine, nodes)
    # Each executor keeps a connection for its calls to each node that had its jobs, and takes the nodes' own.
    seconds = CALM_SECONDS + plan.settle + plan.seconds
    pairs = min(plan.base.executors * nodes, int(load * (RUNNING + seconds * STARTS)))
    descriptors = plan.base.executors + 2 * pairs + int(load * RUNNING) + SPARE_DESCRIPTORS
    if descriptors > machine.descriptors:
        raise PlanError(
            f"--real-nodes: {nodes} at base.elsewhere {load:g} does not fit: "
            f"about {descriptors} descriptors, where a process may hold {machine.descriptors}"
        )


def _fits(what: str, sizes: Sizes, plan: Plan, machine: Machine, real: int) -> None:
    node = NODE_BYTES + sizes.executors * sizes.nodes * PAIR_BYTES + sizes.in_flight * REQUEST_BYTES
    parties = sizes.executors + sizes.nodes - real + sizes.in_flight * real
    memory = plan.together * (real * node + parties * HOLLOW_BYTES)
    most = int(machine.memory * MEMORY_SHARE)
    if memory > most:
        raise PlanError(
            f"{what} does not fit: about {memory // MB} MB where half of this machine is {most // MB} MB"
        )
    # A listener and a call's connection for each executor, a socket for each peer, a connection for each
    # request, and both ends of what the node keeps to executors are this process's.
    descriptors = plan.together * (3 * sizes.executors + parties) + SPARE_DESCRIPTORS
    if descriptors > machine.descriptors:
        raise PlanError(
            f"{what} does not fit: about {descriptors} descriptors, "
            f"where a process may hold {machine.descriptors}"
        )
