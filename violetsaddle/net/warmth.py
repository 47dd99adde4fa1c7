"""Keeps what the node has learned: writes snapshots to a disk, and asks peers at the start.

Connects `decide.memory`, `decide.warmth` and `store.snapshots` to the node.  Imported only where the operator
file turns one of them on."""

from __future__ import annotations

from collections.abc import Callable

from violetsaddle import interface as api
from violetsaddle.decide import memory, warmth
from violetsaddle.decide.memory import Adopted, LearnedState
from violetsaddle.net.disk import BackgroundRunner, Disk, File, in_thread
from violetsaddle.net.limits import MS, SECOND
from violetsaddle.net.node import Node
from violetsaddle.net.peers import Peers
from violetsaddle.net.server_list import BadListError
from violetsaddle.operator import Restart
from violetsaddle.store import snapshots
from violetsaddle.store.files import DamagedError

FRESH_SNAPSHOT_AGE = 2 * SECOND  # peers are not asked if the snapshot is no older than this
FINAL_WRITE_ATTEMPTS = 8  # the program waits at most `Limits.farewell` for them before it ends
FINAL_WRITE_PAUSE = 100 * MS  # between two of them


def keeper(restart: Restart) -> Callable[[Node], Warmth]:
    """Returns the factory from which `Node` gets its keeper.

    `restart`: the section of that name in the operator file."""

    def make(node: Node) -> Warmth:
        return Warmth(
            node, restart, File(restart.snapshot) if restart.snapshot else None, in_thread(node.reactor)
        )

    return make


class Warmth:
    """A `node.Keeper` that writes snapshots and takes part in warm starts from peers."""

    def __init__(
        self, node: Node, restart: Restart, disk: Disk | None, run_in_background: BackgroundRunner
    ) -> None:
        """`disk`: None where no snapshot is kept; `run_in_background`: runs the writing of a snapshot."""
        self._node, self._restart = node, restart
        self._disk, self._run_in_background = disk, run_in_background
        config = node.config
        self._digest = snapshots.digest(
            (config.told, config.classes, config.tenants, config.zones, config.kinds, config.fields)
        )
        self._max_age = int(restart.believe_s * SECOND)
        self._server_list = memory.ServerList()
        node.discovery.observers.append(self._server_list.apply)
        self._started_at = node.deadlines.now()
        self._initial_slots = 0.0  # of the estimate of the fleet, with which the node started
        self._adopted: Adopted | None = None
        self._writing = False
        self._failing = False  # the last write failed
        self._closed = False
        self._final = False  # the final write has begun, or is left to a successor
        self._attempts_left = FINAL_WRITE_ATTEMPTS
        self._done: Callable[[], None] | None = None  # to be called after the final write
        self._peers: Peers | None = None
        self._query: warmth.WarmStartQuery | None = None
        self._responder: warmth.WarmStartResponder | None = None

    # Snapshots.

    def snapshot(self) -> bytes:
        """Returns what the node has learned so far, as bytes that `recall` takes."""
        node, server_list = self._node, self._server_list
        unix = node.clock.unix()
        state = node.requests.with_balancer(
            lambda balancer, now: memory.collect(
                balancer, now, unix, node.requests.known_ids(), server_list.full_answer()
            )
        )
        state.source = server_list.source
        return snapshots.encode(state, self._digest, self._restart.snapshot_most_kb << 10)

    def recall(self, data: bytes | None = None) -> None:
        """Adopts the snapshot in `data`, or else the one on the disk.

        A snapshot that can't be used is reported and ignored."""
        node = self._node
        try:
            if data is None and self._disk is not None:
                data = self._disk.read()
            if data is not None:
                self._adopt_snapshot(snapshots.decode(data, self._digest))
            elif self._disk is not None:
                node.counters.say("snapshot: there is none yet")
        except DamagedError as error:
            node.counters.add("snapshot_damaged")
            node.counters.say(f"snapshot: not used: {error}"[:300])
        except Exception as error:  # a fault of the program must not keep the node from starting
            node.counters.fault("snapshot: not used", error)
        self._initial_slots = node.requests.with_balancer(lambda balancer, _: float(balancer.fleet.slots))
        if self._disk is not None:
            self._schedule_write()

    def _adopt_snapshot(self, state: LearnedState) -> None:
        node, unix = self._node, self._node.clock.unix()
        # Ids are facts, not estimates: they hold at any age and whatever the clocks say.
        node.requests.remember_ids(state.ids)
        age = memory.age_of(state, node.deadlines.now(), unix)
        host, port = node.config.discovery
        listing = memory.newer_listing(state, node.config.known, f"{host}:{port}", age, self._max_age)
        if listing is not None:
            try:
                node.discovery.take(listing, api.DISK)
            except BadListError as error:
                listing = None
                node.counters.say(f"snapshot: its server list is not valid: {error}"[:300])
        adopted = self._adopted = node.requests.with_balancer(
            lambda balancer, now: memory.adopt(balancer, state, now, unix, self._max_age)
        )
        ids = f"{len(state.ids)} ids" + (f", list {listing['version']}" if listing is not None else "")
        if adopted.reason:
            node.counters.add("snapshot_too_old")
            node.counters.say(f"snapshot: {adopted.reason}: nothing adopted except {ids}")
            return
        node.counters.add("snapshot_believed")
        node.counters.say(
            f"snapshot: {adopted.age / SECOND:.1f} s old, adopted {adopted.values} values and the state of "
            f"{adopted.boxes} servers ({adopted.skipped} skipped), {ids}"
        )

    def _schedule_write(self) -> None:
        self._node.deadlines.after(int(self._restart.snapshot_every_s * SECOND), self._write_due)

    def _write_due(self) -> None:
        if self._closed:
            return
        self._schedule_write()
        if self._writing:
            self._node.counters.add("snapshots_slow")  # the previous write is not over yet
        else:
            self._write()

    def _write(self) -> None:
        disk = self._disk
        if disk is None or self._node.paused:
            return  # while paused, the file belongs to the other process, which has learned more
        try:
            data = self.snapshot()
        except Exception as error:
            self._node.counters.fault("snapshot: can't be made", error)
            return
        self._writing = True
        self._run_in_background(lambda: disk.write(data), self._write_finished)

    def _write_finished(self, error: Exception | None) -> None:
        self._writing = False
        counters = self._node.counters
        if error is None:
            counters.add("snapshots_written")
            if self._failing:
                counters.say("snapshot: written again")
        else:
            counters.add("snapshots_failed")
            if not self._failing:
                why = getattr(error, "strerror", None) or f"{type(error).__name__}: {error}"
                counters.say(
                    f"snapshot: can't be written: {why} (retry every {self._restart.snapshot_every_s:g} s)"[
                        :300
                    ]
                )
        self._failing = error is not None
        if not self._closed:
            return
        if self._failing and self._final and self._attempts_left > 1:
            # Without the retry a short failure of the disk would lose the ids of jobs that ran.
            self._attempts_left -= 1
            self._node.deadlines.after(FINAL_WRITE_PAUSE, self._write_again)
        else:
            self._finish()

    def _write_again(self) -> None:
        self._write()
        if not self._writing:
            self._finish()

    def leave(self) -> None:
        """Leaves the snapshot file to a successor process, which has taken over what was learned."""
        self._closed = self._final = True

    def close(self, done: Callable[[], None]) -> None:
        """Writes a final snapshot after the current write, if any, and then calls `done`."""
        self._closed, self._done = True, done
        if self._query is not None:
            self._query.finished = True
        if not self._writing:
            self._finish()

    def _finish(self) -> None:
        if not self._final:
            self._final = True
            self._write()
        done = self._done
        if not self._writing and done is not None:
            self._done = None
            done()

    # Peers.

    def meet(self, peers: Peers) -> None:
        """Starts to answer the questions of peers and, unless a fresh snapshot was adopted, asks them.

        Does nothing where the operator file does not turn warm starts on."""
        if not self._restart.warm_from_peers:
            return
        node, settings = self._node, self._node.config.told
        now = node.deadlines.now()
        self._peers, peers.datagram_handler = peers, self._handle_datagram
        self._responder = warmth.WarmStartResponder(settings.me, now)
        adopted = self._adopted
        if adopted is not None and not adopted.reason and adopted.age <= FRESH_SNAPSHOT_AGE:
            return
        schedulers = min(settings.schedulers, len(node.config.peers))
        self._query = warmth.WarmStartQuery(settings.me, schedulers, node.config.seed, now)
        self._advance_query()

    def _advance_query(self) -> None:
        """Adopts the answers if they are complete or the time is up; else asks again when that is due."""
        query, peers, node = self._query, self._peers, self._node
        if query is None or peers is None or query.finished:
            return
        now = node.deadlines.now()
        if query.ready(now) or query.timed_out(now):
            self._adopt_answers(query)
        elif now >= query.next_at:
            for number, data in query.next_round(now):
                node.counters.add("warm_questions")
                peers.send(number, data)
            node.deadlines.add(query.next_at, self._advance_query)

    def _adopt_answers(self, query: warmth.WarmStartQuery) -> None:
        node = self._node
        adopted: Adopted = node.requests.with_balancer(
            lambda balancer, now: warmth.adopt(
                balancer,
                query.finish(now),
                now,
                self._started_at,
                balancer.fleet.slots != self._initial_slots,
            )
        )
        if adopted.reason:
            node.counters.add("warm_unanswered")
            node.counters.say(f"warm start: {adopted.reason}")
            return
        node.counters.add("warm_believed")
        node.counters.say(
            f"warm start: {query.answer_count} peers answered, {adopted.age / SECOND:.1f} s old, "
            f"adopted {adopted.values} values and the state of {adopted.boxes} servers"
        )

    def _handle_datagram(self, origin: int, data: bytes) -> bool:
        """Handles a datagram from a peer.  Returns False if it does not belong to the warm start."""
        if not warmth.is_warm_start_datagram(data):
            return False
        node, responder, peers = self._node, self._responder, self._peers
        if responder is None or peers is None:
            return True
        if data[1] == warmth.QUESTION:
            answers: list[bytes] = node.requests.with_balancer(
                lambda balancer, now: responder.answer(balancer, now, origin, data)
            )
            for answer in answers:
                node.counters.add("warm_answers")
                peers.send(origin, answer)
            return True
        if self._query is not None and not self._query.finished:
            node.counters.add("warm_heard")
            self._query.receive(node.deadlines.now(), origin, data)
            self._advance_query()
        return True
