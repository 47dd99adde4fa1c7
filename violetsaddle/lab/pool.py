"""Plays many cases in processes of their own.

Results come in the order of the cases, so that whoever reads them sees the same whatever the number of
processes.  A case whose process dies is a recorded error; the others go on."""

from __future__ import annotations

import multiprocessing
import os
import signal
import sys
from collections.abc import Iterable, Iterator
from multiprocessing.connection import Connection, wait
from types import TracebackType

from violetsaddle.lab.experiment import Case, adopt, failed, run_day
from violetsaddle.lab.result import Played

PATIENCE = 5.0  # seconds for a process to end by itself


def _leave(number: int, frame: object) -> None:
    raise SystemExit(128 + number)


def _serve(pipe: Connection, tree: str, path: list[str]) -> None:
    """The life of one process: cases in, what was played out."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # whoever started it decides what an interrupt means
    sys.path[:] = path
    if tree:
        adopt(tree)
    while True:
        try:
            ticket, case = pipe.recv()
        except EOFError:
            return
        if case.stage == "live":  # it has processes of its own to end
            signal.signal(signal.SIGTERM, _leave)
        try:
            pipe.send((ticket, run_day(case)))
        except (BrokenPipeError, ConnectionResetError):
            return


class _Worker:
    def __init__(self, tree: str) -> None:
        context = multiprocessing.get_context("spawn")  # nothing inherited: no reactor, no modules, no locks
        self.pipe, theirs = context.Pipe()
        self.tree, self.ticket = tree, -1
        self.process = context.Process(target=_serve, args=(theirs, tree, list(sys.path)))
        before = signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGINT})  # which the process takes over
        try:
            self.process.start()
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, before)
        theirs.close()

    def give(self, ticket: int, case: Case) -> None:
        self.ticket = ticket
        try:
            self.pipe.send((ticket, case))
        except OSError:  # it has died: whoever waits for the answer reads the end of its pipe
            pass

    def end(self, at_once: bool) -> int | None:
        """Ends the process; gives its exit status."""
        self.pipe.close()
        if at_once:
            self.process.terminate()
        self.process.join(PATIENCE)
        if self.process.is_alive():
            self.process.kill()
            self.process.join()
        return self.process.exitcode


class Pool:
    """`fresh`: a new process for each case, so that memory is the case's own."""

    def __init__(self, processes: int = 1, fresh: bool = False) -> None:
        self.processes, self.fresh = max(1, processes), fresh
        self._workers: list[_Worker] = []
        self._next = 0

    def __enter__(self) -> Pool:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        """Ends all processes, whatever they do."""
        workers, self._workers = self._workers, []
        for worker in workers:
            worker.end(at_once=True)

    def play(self, cases: Iterable[Case]) -> Iterator[Played]:
        """What each case gave, in their order.  Cases are taken as there is room for them; when the reader
        stops early, what still runs is thrown away."""
        if self.processes == 1 and not self.fresh:
            yield from self._in_turn(cases)
            return
        source = iter(cases)
        waiting: dict[int, Case] = {}
        done: dict[int, Played] = {}
        due, more = self._next, True
        try:
            while True:
                while more and len(waiting) < self.processes and len(done) < 4 * self.processes:
                    case = next(source, None)
                    if case is None:
                        more = False
                        break
                    ticket, self._next = self._next, self._next + 1
                    waiting[ticket] = case
                    self._worker(case.tree).give(ticket, case)
                if waiting and due not in done:
                    self._gather(waiting, done)
                while due in done:
                    yield done.pop(due)
                    due += 1
                if not waiting and not more:
                    return
        finally:
            self._drop(waiting)

    def _in_turn(self, cases: Iterable[Case]) -> Iterator[Played]:
        """Here in this process, but for cases of another checkout."""
        for case in cases:
            if not case.tree or case.stage != "sim":
                yield run_day(case)
                continue
            waiting, done = {0: case}, dict[int, Played]()
            try:
                self._worker(case.tree).give(0, case)
                self._gather(waiting, done)
            finally:
                self._drop(waiting)
            yield done[0]

    def _worker(self, tree: str) -> _Worker:
        """One that is idle; one of another tree makes room where all places are taken."""
        idle = [worker for worker in self._workers if worker.ticket < 0]
        for worker in idle:
            if worker.tree == tree:
                return worker
        if idle and len(self._workers) >= self.processes:
            self._workers.remove(idle[0])
            idle[0].end(at_once=True)
        worker = _Worker(tree)
        self._workers.append(worker)
        return worker

    def _gather(self, waiting: dict[int, Case], done: dict[int, Played]) -> None:
        """Waits until at least one case is done, or its process has died."""
        busy = {worker.pipe: worker for worker in self._workers if worker.ticket >= 0}
        for pipe in wait(list(busy)):
            worker = busy[pipe]  # type: ignore[index]
            ticket, worker.ticket = worker.ticket, -1
            try:
                ticket, done[ticket] = worker.pipe.recv()
                keep = not self.fresh
            except (EOFError, OSError):
                keep = False
            if not keep:
                self._workers.remove(worker)
                code = worker.end(at_once=False)
                if ticket not in done:
                    done[ticket] = failed(waiting[ticket], f"its process ended with status {code}")
            del waiting[ticket]

    def _drop(self, waiting: dict[int, Case]) -> None:
        """Ends the processes of cases whose results nobody wants any more."""
        for worker in [worker for worker in self._workers if worker.ticket in waiting]:
            self._workers.remove(worker)
            worker.end(at_once=True)
        waiting.clear()


def run_many(cases: Iterable[Case], processes: int = 1, fresh: bool = False) -> Iterator[Played]:
    """What each case gave, in their order; closing the iterator ends all processes."""
    with Pool(processes, fresh) as pool:
        yield from pool.play(cases)


def cores() -> int:
    """How many this process may use."""
    return len(os.sched_getaffinity(0)) if hasattr(os, "sched_getaffinity") else os.cpu_count() or 1
