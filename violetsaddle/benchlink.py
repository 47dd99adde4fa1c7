"""Adapter between the simulator and balancers, over text lines on stdin and stdout.

Input lines become events of balancers, and their actions become output lines.  Input comes in batches:
`CLOCK` with the time, one line per event, then `FLUSH`.  The output for a batch is its actions, then `NEXT`.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import TextIO

from violetsaddle import interface as api
from violetsaddle.policy import Balancer
from violetsaddle.settings import parse as parse_settings

OUTCOMES = {
    "done": api.OK,
    "err": api.ERROR,
    "busy": api.FULL,
    "etimedout": api.TIMEOUT,
    "econnrefused": api.CONNECT_FAILED,
    "econnreset": api.RESET,
    "ecanceled": api.CANCELLED,
    "skipped": api.MOOT,
}
WORKER_STATES = {"active": api.ACTIVE, "leaving": api.DRAINING, "left": api.GONE}
LIST_KINDS = {"diff": api.DIFF, "snapshot": api.SNAPSHOT, "disk": api.DISK, "error": api.LIST_ERROR}
MAX_CACHED_ENTRIES = 20_000  # every instance of a batch gets the same list lines


class WireError(Exception):
    """The input does not follow the protocol."""


class Instance:
    """One balancer.  It writes its actions as lines to a list that all instances share."""

    def __init__(self, name: str, text: str, seed: int, now: int, output: list[str]) -> None:
        """Starts a balancer with the settings in `text`, which are JSON; raises `SettingsError`.

        `now`: time in microseconds.  `output`: gets the lines of actions, without line ends.
        """
        self.name, self.output = name, output
        self.report_names, parsed = parse_settings(text)
        self.balancer = Balancer(parsed, seed, now, self)

    # Actions; `violetsaddle.interface.Actions` describes them.

    def send(self, job: str, worker: int, until: int, by: int = 0) -> None:
        """Writes PLACE; the simulator has no equivalent of `by`."""
        self.output.append(f"PLACE {self.name} {job} {until} {worker}")

    def refuse(self, job: str, retry_after: int) -> None:
        """Writes REJECT."""
        self.output.append(f"REJECT {self.name} {job} {retry_after}")

    def fail(self, job: str) -> None:
        """Writes FINISH_ERROR."""
        self.output.append(f"FINISH_ERROR {self.name} {job}")

    def cancel(self, job: str, attempt: int) -> None:
        """Writes CANCEL."""
        self.output.append(f"CANCEL {self.name} {job} {attempt}")

    def probe(self, worker: int) -> None:
        """Writes HEALTH_CHECK."""
        self.output.append(f"HEALTH_CHECK {self.name} {worker}")

    def tell(self, data: bytes, to: int | None = None) -> None:
        """Writes PUBLISH; `*` addresses all schedulers, and `data` is written in hexadecimal."""
        self.output.append(f"PUBLISH {self.name} {'*' if to is None else to} {data.hex()}")

    def watch(self) -> None:
        """Writes FOLLOW."""
        self.output.append(f"FOLLOW {self.name} 1")

    def arm(self, time: int) -> None:
        """Writes ARM, with the token `t`."""
        self.output.append(f"ARM {self.name} {time} t")

    def parse_report(self, text: str) -> dict[str, float] | None:
        """Values by name from `name:value,...`; None for `-`, which means no report."""
        if text == "-":
            return None
        named = {}
        for pair in text.split(","):
            name, _, value = pair.partition(":")
            named[self.report_names.get(name, name)] = float(value)
        return named

    # Events.  `values` are the fields of the line, and the first is the message type.

    def on_request(self, now: int, values: list[str]) -> None:
        """INCOMING: a request has arrived."""
        self.balancer.request(
            now,
            values[2],
            int(values[12]),
            int(values[11]),
            0 if values[7] == "-" else int(values[7]),
            1.0 if values[6] == "-" else float(values[6]),
            None if values[5] == "-" else int(values[5]),
            0 if values[10] == "-" else int(values[10]),
        )

    def on_answer(self, now: int, values: list[str]) -> None:
        """ANSWER: an attempt has ended."""
        self.balancer.answer(
            now,
            values[2],
            int(values[3]),
            OUTCOMES[values[5]],
            int(values[6]),
            values[7] == "1",
            self.parse_report(values[9]),
        )

    def on_note(self, now: int, values: list[str]) -> None:
        """NOTE: an attempt has started or made progress."""
        self.balancer.note(
            now, values[2], int(values[3]), int(values[5]), 0.0 if values[6] == "-" else float(values[6])
        )

    def on_wake(self, now: int, values: list[str]) -> None:
        """WAKE: an armed time has come."""
        self.balancer.wake(now)

    def on_probed(self, now: int, values: list[str]) -> None:
        """SAMPLED: a probe has ended."""
        self.balancer.probed(now, int(values[2]), OUTCOMES[values[3]] == api.OK, self.parse_report(values[5]))

    def on_peer(self, now: int, values: list[str]) -> None:
        """FROM_PEER: another scheduler has sent a message."""
        self.balancer.heard(now, int(values[2]), bytes.fromhex(values[3].replace("-", "")))

    def on_stream_began(self, now: int, values: list[str]) -> None:
        """OPENED: the answer of an attempt has begun to stream."""
        self.balancer.stream_began(now, values[2], int(values[3]))

    def on_gone(self, now: int, values: list[str]) -> None:
        """DROPPED: a request's client has left."""
        self.balancer.gone(now, values[2])


# Message types of events: the handler and the number of fields, with the type itself.
HANDLERS: dict[str, tuple[Callable[[Instance, int, list[str]], None], int]] = {
    "INCOMING": (Instance.on_request, 13),
    "ANSWER": (Instance.on_answer, 10),
    "NOTE": (Instance.on_note, 7),
    "WAKE": (Instance.on_wake, 3),
    "SAMPLED": (Instance.on_probed, 6),
    "FROM_PEER": (Instance.on_peer, 4),
    "OPENED": (Instance.on_stream_began, 6),
    "DROPPED": (Instance.on_gone, 3),
}


class Host:
    """The instances of this process and the loop that reads batches."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        """`source` and `sink`: the simulator's lines and the answers to them."""
        self.source, self.sink = source, sink
        self.instances: dict[str, Instance] = {}
        self.output: list[str] = []
        self.entries: dict[str, api.Entry] = {}

    def run(self) -> None:
        """Handles batches until the input ends; raises `WireError`, `SettingsError` or `ValueError`."""
        source = self.source
        while line := source.readline():
            fields = line.split()
            if not fields:
                continue
            if len(fields) != 2 or fields[0] != "CLOCK":
                raise WireError(f"a batch starts with CLOCK and a time, not {line[:80]!r}")
            self.batch(int(fields[1]))
            self.output.append("NEXT\n")
            self.sink.write("\n".join(self.output))
            self.sink.flush()
            self.output.clear()

    def batch(self, now: int) -> None:
        """Handles the lines of one batch, up to and including FLUSH."""
        source, instances = self.source, self.instances
        while True:
            line = source.readline()
            if not line.endswith("\n"):
                raise WireError("the input ends within a batch")
            values = line[:-1].split(" ")
            handler = HANDLERS.get(values[0])
            if handler is not None:
                if len(values) != handler[1]:
                    raise WireError(f"{values[0]} takes {handler[1] - 1} values, not {len(values) - 1}")
                instance = instances.get(values[1])
                if instance is None:
                    raise WireError(f"{values[0]} for {values[1]}, which is not running")
                try:
                    handler[0](instance, now, values)
                except (ValueError, KeyError) as error:
                    if isinstance(error, api.EventError):
                        self.report_error(values[1], error)
                    else:
                        self.handle_value_error(instance, values, error)
                except Exception as error:
                    self.report_error(values[1], error)
            elif values[0] == "FLUSH":
                return
            else:
                self.handle_control(now, line[:-1], values)

    def report_error(self, name: str, error: Exception) -> None:
        """Tells the simulator that the balancer of instance `name` raised an exception."""
        self.output.append(f"INTERNAL_ERROR {name} {type(error).__name__}: {error}".replace("\n", " "))

    def handle_value_error(self, instance: Instance, values: list[str], error: Exception) -> None:
        """Attributes an exception to the input or to the balancer, by where it was raised.

        Raises `WireError` if this module raised it while it converted a value; reports it otherwise.
        """
        tb = error.__traceback__
        while tb is not None and tb.tb_next is not None:
            tb = tb.tb_next
        if tb is not None and tb.tb_frame.f_code.co_filename == __file__:
            raise WireError(f"{values[0]}: {type(error).__name__}: {error}") from None
        self.report_error(instance.name, error)

    def handle_control(self, now: int, line: str, values: list[str]) -> None:
        """Handles a message that is not an event of a running instance, or raises `WireError`."""
        if values[0] == "TARGETS":
            self.on_list(now, values)
        elif values[0] == "NEW_INSTANCE":
            parts = line.split(" ", 3)
            if len(parts) != 4:
                raise WireError("NEW_INSTANCE takes 3 values")
            self.instances[parts[1]] = Instance(parts[1], parts[3], int(parts[2]), now, self.output)
        elif values[0] == "POWER_OFF" and len(values) == 2:
            self.instances.pop(values[1], None)
        else:
            raise WireError(f"unknown or malformed message {line[:80]!r}")

    def on_list(self, now: int, values: list[str]) -> None:
        """TARGETS: a list event; the ENTRY lines that belong to it follow."""
        if len(values) != 5 or values[2] not in LIST_KINDS:
            raise WireError(f"malformed TARGETS {' '.join(values)[:80]!r}")
        cached, entries = self.entries, []
        for _ in range(0 if values[4] == "-" else int(values[4])):
            line = self.source.readline()
            entry = cached.get(line)
            if entry is None:
                if len(cached) >= MAX_CACHED_ENTRIES:
                    cached.clear()
                entry = cached[line] = self.parse_entry(line)
            entries.append(entry)
        if values[1] not in self.instances:
            raise WireError(f"TARGETS for {values[1]}, which is not running")
        try:
            self.instances[values[1]].balancer.members(now, LIST_KINDS[values[2]], entries)
        except Exception as error:
            self.report_error(values[1], error)

    @staticmethod
    def parse_entry(line: str) -> api.Entry:
        """The worker of an ENTRY line; raises `WireError` or `ValueError`."""
        fields = ["0" if field == "-" else field for field in line.rstrip("\n").split(" ")]
        if (
            len(fields) != 8
            or fields[0] != "ENTRY"
            or fields[7] not in WORKER_STATES
            or not line.endswith("\n")
        ):
            raise WireError(f"malformed ENTRY {line[:80]!r}")
        return api.Entry(
            int(fields[4]),
            int(fields[3]),
            int(fields[1]),
            int(fields[5]),
            float(fields[2]),
            int(fields[6]),
            WORKER_STATES[fields[7]],
        )


def main() -> int:
    """Runs the adapter on stdin and stdout; returns the exit status, 2 after invalid input."""
    try:
        Host(sys.stdin, sys.stdout).run()
    except (WireError, api.SettingsError, ValueError) as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
