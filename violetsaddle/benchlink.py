"""Adapter: hosts balancers on the simulator's wire.  It turns lines into events and actions into
lines, and decides nothing."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import TextIO

from violetsaddle import interface as api
from violetsaddle.policy import Balancer
from violetsaddle.settings import settings as settings

OUTCOME = {
    "done": api.OK,
    "err": api.ERROR,
    "busy": api.FULL,
    "etimedout": api.TIMEOUT,
    "econnrefused": api.CONNECT_FAILED,
    "econnreset": api.RESET,
    "ecanceled": api.CANCELLED,
    "skipped": api.MOOT,
}
STATE = {"active": api.ACTIVE, "leaving": api.DRAINING, "left": api.GONE}
LIST_KIND = {"diff": api.DIFF, "snapshot": api.SNAPSHOT, "disk": api.DISK, "error": api.LIST_ERROR}
MOST_CACHED = 20_000  # entries; the same list lines go to every instance of a batch


class WireError(Exception):
    """What came in does not follow the wire."""


class Instance:
    """One balancer and the lines of its actions."""

    def __init__(self, name: str, text: str, seed: int, now: int, out: list[str]) -> None:
        self.name, self.out = name, out
        self.fields, told = settings(text)
        self.balancer = Balancer(told, seed, now, self)

    def send(self, job: str, worker: int, until: int, by: int = 0) -> None:
        self.out.append(f"PLACE {self.name} {job} {until} {worker}")

    def refuse(self, job: str, retry_after: int) -> None:
        self.out.append(f"REJECT {self.name} {job} {retry_after}")

    def fail(self, job: str) -> None:
        self.out.append(f"FINISH_ERROR {self.name} {job}")

    def cancel(self, job: str, attempt: int) -> None:
        self.out.append(f"CANCEL {self.name} {job} {attempt}")

    def probe(self, worker: int) -> None:
        self.out.append(f"HEALTH_CHECK {self.name} {worker}")

    def tell(self, data: bytes, to: int | None = None) -> None:
        self.out.append(f"PUBLISH {self.name} {'*' if to is None else to} {data.hex()}")

    def watch(self) -> None:
        self.out.append(f"FOLLOW {self.name} 1")

    def arm(self, time: int) -> None:
        self.out.append(f"ARM {self.name} {time} t")

    def report(self, text: str) -> dict[str, float] | None:
        if text == "-":
            return None
        named = {}
        for pair in text.split(","):
            name, _, value = pair.partition(":")
            named[self.fields.get(name, name)] = float(value)
        return named

    # Events: the values of a line, in the order of the wire.

    def on_request(self, now: int, v: list[str]) -> None:
        self.balancer.request(
            now,
            v[2],
            int(v[12]),
            int(v[11]),
            0 if v[7] == "-" else int(v[7]),
            1.0 if v[6] == "-" else float(v[6]),
            None if v[5] == "-" else int(v[5]),
            0 if v[10] == "-" else int(v[10]),
        )

    def on_answer(self, now: int, v: list[str]) -> None:
        self.balancer.answer(now, v[2], int(v[3]), OUTCOME[v[5]], int(v[6]), v[7] == "1", self.report(v[9]))

    def on_note(self, now: int, v: list[str]) -> None:
        self.balancer.note(now, v[2], int(v[3]), int(v[5]), 0.0 if v[6] == "-" else float(v[6]))

    def on_wake(self, now: int, v: list[str]) -> None:
        self.balancer.wake(now)

    def on_probed(self, now: int, v: list[str]) -> None:
        self.balancer.probed(now, int(v[2]), OUTCOME[v[3]] == api.OK, self.report(v[5]))

    def on_peer(self, now: int, v: list[str]) -> None:
        self.balancer.heard(now, int(v[2]), bytes.fromhex(v[3].replace("-", "")))

    def on_first(self, now: int, v: list[str]) -> None:
        self.balancer.stream_began(now, v[2], int(v[3]))

    def on_gone(self, now: int, v: list[str]) -> None:
        self.balancer.gone(now, v[2])


HANDLERS: dict[str, tuple[Callable[[Instance, int, list[str]], None], int]] = {
    "INCOMING": (Instance.on_request, 13),
    "ANSWER": (Instance.on_answer, 10),
    "NOTE": (Instance.on_note, 7),
    "WAKE": (Instance.on_wake, 3),
    "SAMPLED": (Instance.on_probed, 6),
    "FROM_PEER": (Instance.on_peer, 4),
    "OPENED": (Instance.on_first, 6),
    "DROPPED": (Instance.on_gone, 3),
}


class Host:
    """All instances of this process, and the loop over batches."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source, self.sink = source, sink
        self.instances: dict[str, Instance] = {}
        self.out: list[str] = []
        self.entries: dict[str, api.Entry] = {}

    def run(self) -> None:
        source = self.source
        while line := source.readline():
            head = line.split()
            if not head:
                continue
            if len(head) != 2 or head[0] != "CLOCK":
                raise WireError(f"a batch opens with CLOCK and a time, not {line[:80]!r}")
            self.batch(int(head[1]))
            self.out.append("NEXT\n")
            self.sink.write("\n".join(self.out))
            self.sink.flush()
            self.out.clear()

    def batch(self, now: int) -> None:
        source, instances = self.source, self.instances
        while True:
            line = source.readline()
            if not line.endswith("\n"):
                raise WireError("the input ends within a batch")
            v = line[:-1].split(" ")
            found = HANDLERS.get(v[0])
            if found is not None:
                if len(v) != found[1]:
                    raise WireError(f"{v[0]} takes {found[1] - 1} values, not {len(v) - 1}")
                instance = instances.get(v[1])
                if instance is None:
                    raise WireError(f"{v[0]} for {v[1]}, which does not run")
                try:
                    found[0](instance, now, v)
                except (ValueError, KeyError) as error:
                    if isinstance(error, api.EventError):
                        self.fault(v[1], error)
                    else:
                        self.malformed(instance, v, error)
                except Exception as error:
                    self.fault(v[1], error)
            elif v[0] == "FLUSH":
                return
            else:
                self.rare(now, line[:-1], v)

    def fault(self, name: str, error: Exception) -> None:
        self.out.append(f"INTERNAL_ERROR {name} {type(error).__name__}: {error}".replace("\n", " "))

    def malformed(self, instance: Instance, v: list[str], error: Exception) -> None:
        """A value that cannot be read is the wire's fault; what the policy raised is its own."""
        tb = error.__traceback__
        while tb is not None and tb.tb_next is not None:
            tb = tb.tb_next
        if tb is not None and tb.tb_frame.f_code.co_filename == __file__:
            raise WireError(f"{v[0]}: {type(error).__name__}: {error}") from None
        self.fault(instance.name, error)

    def rare(self, now: int, line: str, v: list[str]) -> None:
        if v[0] == "TARGETS":
            self.on_list(now, v)
        elif v[0] == "NEW_INSTANCE":
            parts = line.split(" ", 3)
            if len(parts) != 4:
                raise WireError("NEW_INSTANCE takes 3 values")
            self.instances[parts[1]] = Instance(parts[1], parts[3], int(parts[2]), now, self.out)
        elif v[0] == "POWER_OFF" and len(v) == 2:
            self.instances.pop(v[1], None)
        else:
            raise WireError(f"unknown or malformed message {line[:80]!r}")

    def on_list(self, now: int, v: list[str]) -> None:
        if len(v) != 5 or v[2] not in LIST_KIND:
            raise WireError(f"malformed TARGETS {' '.join(v)[:80]!r}")
        cached, entries = self.entries, []
        for _ in range(0 if v[4] == "-" else int(v[4])):
            line = self.source.readline()
            entry = cached.get(line)
            if entry is None:
                if len(cached) >= MOST_CACHED:
                    cached.clear()
                entry = cached[line] = self.entry(line)
            entries.append(entry)
        if v[1] not in self.instances:
            raise WireError(f"TARGETS for {v[1]}, which does not run")
        try:
            self.instances[v[1]].balancer.members(now, LIST_KIND[v[2]], entries)
        except Exception as error:
            self.fault(v[1], error)

    @staticmethod
    def entry(line: str) -> api.Entry:
        e = ["0" if x == "-" else x for x in line.rstrip("\n").split(" ")]
        if len(e) != 8 or e[0] != "ENTRY" or e[7] not in STATE or not line.endswith("\n"):
            raise WireError(f"malformed ENTRY {line[:80]!r}")
        return api.Entry(int(e[4]), int(e[3]), int(e[1]), int(e[5]), float(e[2]), int(e[6]), STATE[e[7]])


def main() -> int:
    try:
        Host(sys.stdin, sys.stdout).run()
    except (WireError, api.SettingsError, ValueError) as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
