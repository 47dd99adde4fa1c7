"""Counts what a program does for each request, by a profile of all its calls, Python's and C's alike.

    python -m benchmarks.counting OUT MODULE ARGUMENTS...

runs a module; SIGRTMIN begins to count, a second one ends it and writes `Counts` to OUT.  System calls are
counted as calls of the methods of sockets and of epoll that make one each (`strace` is the check of that).
Time goes to the part of the program in whose file it passed, that of C code to whoever called it, that of
waiting to nobody.  Profiling slows Python's calls more than C's: shares are a hint, counts are exact."""

from __future__ import annotations

import cProfile
import gc
import os
import runpy
import signal
import sys
from collections import Counter
from collections.abc import Mapping
from types import CodeType
from typing import Any

import msgspec

SYSTEM = {
    f"<method '{name}' of '_socket.socket' objects>": name
    for name in (
        "recv",
        "recv_into",
        "recvfrom",
        "send",
        "sendmsg",
        "sendto",
        "accept",
        "_accept",
        "connect",
        "connect_ex",
        "close",
        "shutdown",
        "bind",
        "setblocking",
        "settimeout",
        "setsockopt",
        "getsockopt",
        "getsockname",
        "getpeername",
    )
}
SYSTEM |= {
    f"<method '{name}' of 'select.epoll' objects>": "epoll_" + name
    for name in ("poll", "register", "modify", "unregister")
}
NAMES = {
    "epoll_poll": "epoll_wait",
    "epoll_register": "epoll_ctl",
    "epoll_modify": "epoll_ctl",
    "epoll_unregister": "epoll_ctl",
    "_accept": "accept",
    "connect_ex": "connect",
    "setblocking": "ioctl",
    "settimeout": "ioctl",
}
# What a file's calls are for; the first that fits.
PARTS = (
    ("violetsaddle/net/http.py", "parsing"),
    ("violetsaddle/net/body.py", "parsing"),
    ("violetsaddle/net/edge", "edge"),
    ("violetsaddle/net/http_order.py", "edge"),
    ("violetsaddle/net/held_bytes.py", "edge"),
    ("violetsaddle/net/requests.py", "requests"),
    ("violetsaddle/policy", "module"),
    ("violetsaddle/interface", "module"),
    ("violetsaddle/state", "module"),
    ("violetsaddle/gossip_codec", "module"),
    ("violetsaddle/net/reactor.py", "reactor"),
    ("violetsaddle/net/servers.py", "servers"),
    ("violetsaddle/net/connections.py", "servers"),
    ("violetsaddle/net/deadlines.py", "deadlines"),
    ("sortedcontainers", "deadlines"),
    ("violetsaddle/net/counters.py", "counters"),
    ("violetsaddle/net/slots.py", "slots"),
    ("violetsaddle", "other of the node"),
    ("twisted/python/log", "Twisted's log context"),
    ("twisted/python/context", "Twisted's log context"),
    ("twisted/logger", "Twisted's log context"),
    ("twisted/internet/defer", "Deferreds"),
    ("twisted", "reactor"),
    ("asyncio", "reactor"),
    ("selectors.py", "reactor"),
    ("json/", "JSON"),
    ("urllib", "edge"),
    ("benchmarks/forwarder", "forwarder"),
)
# Functions that are counted by name: file, function and what they stand for.
MARKS = (
    ("reactor.py", "doPoll", "reactor turns"),
    ("epollreactor.py", "doPoll", "reactor turns"),
    ("posixbase.py", "_doReadOrWrite", "reactor events"),
    ("selectors.py", "select", "reactor turns"),
    ("events.py", "_run", "reactor events"),
    ("tcp.py", "doRead", "doRead"),
    ("transports.py", "doRead", "doRead"),
    ("abstract.py", "doWrite", "doWrite"),
    ("base.py", "callLater", "callLater"),
    ("deadlines.py", "add", "deadlines added"),
    ("deadlines.py", "__lt__", "deadline compares"),
    ("log.py", "callWithLogger", "callWithLogger"),
    ("defer.py", "_runCallbacks", "Deferreds run"),
    ("http.py", "_read_header_line", "head fields parsed"),
    ("policy.py", "draw", "draws"),
)


class Counts(msgspec.Struct):
    """Of the whole time counted; `parts` is seconds under the profiler."""

    system: dict[str, int]
    marks: dict[str, int]
    python_calls: int
    c_calls: int
    parts: dict[str, float]
    functions: list[tuple[str, int, float]] = []  # the dearest: name, calls, seconds of its own
    blocks_left: int = 0  # allocated and not freed meanwhile
    objects_left: int = 0  # of those that the collector tracks


def part(name: str) -> str:
    """The part of the program that a file belongs to."""
    return next((to for piece, to in PARTS if piece in name), "rest of Python")


def counts(stats: list[Any]) -> Counts:
    system: Counter[str] = Counter()
    marks: Counter[str] = Counter()
    parts: Counter[str] = Counter()
    functions = []
    python = c = 0
    for entry in stats:
        if isinstance(entry.code, CodeType):
            python += entry.callcount
            of = part(entry.code.co_filename)
            parts[of] += entry.inlinetime
            for called in entry.calls or ():
                if called.code in SYSTEM:
                    name = SYSTEM[called.code]
                    if name != "epoll_poll":  # it waits: that costs nothing
                        parts["system calls"] += called.inlinetime
                elif not isinstance(called.code, CodeType):
                    parts[of] += called.inlinetime
            base, name = os.path.basename(entry.code.co_filename), entry.code.co_name
            for file, function, mark in MARKS:
                if (base, name) == (file, function):
                    marks[mark] += entry.callcount
            functions.append(
                (
                    f"{base}:{entry.code.co_firstlineno} {entry.code.co_qualname}",
                    entry.callcount,
                    round(entry.inlinetime, 6),
                )
            )
        else:
            c += entry.callcount
            if entry.code in SYSTEM:
                name = SYSTEM[entry.code]
                system[NAMES.get(name, name)] += entry.callcount
            functions.append((entry.code, entry.callcount, round(entry.inlinetime, 6)))
    functions.sort(key=lambda f: -f[2])
    return Counts(
        dict(sorted(system.items())),
        dict(sorted(marks.items())),
        python,
        c,
        {name: round(took, 6) for name, took in parts.most_common()},
        functions[:40],
    )


def per(found: Mapping[str, float], requests: int) -> dict[str, float]:
    return {name: round(count / requests, 3) for name, count in found.items()}


def main() -> None:
    path, module = sys.argv[1:3]
    sys.argv = sys.argv[2:]
    profile = cProfile.Profile()
    began: list[int] = []

    def mark(*_: object) -> None:
        if not began:
            gc.collect()
            gc.disable()
            began[:] = sys.getallocatedblocks(), len(gc.get_objects())
            profile.enable()
            return
        profile.disable()
        stats = profile.getstats()
        profile.clear()
        found = counts(stats)
        del stats
        found.objects_left = len(gc.get_objects()) - began[1]
        found.blocks_left = sys.getallocatedblocks() - began[0]
        began.clear()
        with open(path + "+", "wb") as file:
            file.write(msgspec.json.encode(found))
        os.replace(path + "+", path)
        gc.enable()

    signal.signal(signal.SIGRTMIN, mark)
    sys.path.insert(0, os.environ.get("COUNTED_TREE") or os.getcwd())
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
