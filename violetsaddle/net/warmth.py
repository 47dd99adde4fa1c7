"""Keeps what the node has learned: snapshots on a disk, and words from peers at the start.

Wires `decide.memory`, `decide.warmth` and `store.snapshots` to the node; imported only where one of them is
switched on."""

from __future__ import annotations

from collections.abc import Callable

from violetsaddle import interface as api
from violetsaddle.decide import memory, warmth
from violetsaddle.decide.memory import Believed, Memory
from violetsaddle.net.discovery import BadListError
from violetsaddle.net.disk import Disk, Elsewhere, File, in_thread
from violetsaddle.net.limits import MS, SECOND
from violetsaddle.net.node import Node
from violetsaddle.net.peers import Peers
from violetsaddle.operator import Restart
from violetsaddle.store import snapshots
from violetsaddle.store.files import DamagedError

YOUNG = 2 * SECOND  # with a snapshot no older than this, peers are not asked
LAST_TRIES = 8  # of the last snapshot; the program's end waits `Limits.farewell` for it
LAST_PAUSE = 100 * MS  # between them


def keeper(told: Restart) -> Callable[[Node], Warmth]:
    """What `Node` makes its keeper with, for the section of an operator file."""

    def make(node: Node) -> Warmth:
        return Warmth(node, told, File(told.snapshot) if told.snapshot else None, in_thread(node.reactor))

    return make


class Warmth:
    """Implements `node.Keeper`."""

    def __init__(self, node: Node, told: Restart, disk: Disk | None, elsewhere: Elsewhere) -> None:
        """`disk`: None where no snapshot is kept; `elsewhere`: runs the writing of one."""
        self._node, self._told, self._disk, self._elsewhere = node, told, disk, elsewhere
        config = node.config
        self._digest = snapshots.digest(
            (config.told, config.classes, config.tenants, config.zones, config.kinds, config.fields)
        )
        self._most_age = int(told.believe_s * SECOND)
        self._listing = memory.Listing()
        node.discovery.seen.append(self._listing.take)
        self._began = node.deadlines.now()
        self._slots = 0.0  # of the fleet's estimate as the node began with it
        self._believed: Believed | None = None
        self._writing = self._failing = self._closed = self._final = False
        self._tries_left = LAST_TRIES
        self._done: Callable[[], None] | None = None  # waits for the last write
        self._peers: Peers | None = None
        self._asking: warmth.Asking | None = None
        self._answering: warmth.Answering | None = None

    # Snapshots.

    def snapshot(self) -> bytes:
        """What is known now, as bytes that `recall` takes."""
        node, listing = self._node, self._listing
        unix = node.clock.unix()
        made = node.requests.with_balancer(
            lambda balancer, now: memory.learned(
                balancer, now, unix, node.requests.known_ids(), listing.whole()
            )
        )
        made.source = listing.source
        return snapshots.encode(made, self._digest, self._told.snapshot_most_kb << 10)

    def recall(self, data: bytes | None = None) -> None:
        """Begins with what the disk holds, or with `data`."""
        node = self._node
        try:
            if data is None and self._disk is not None:
                data = self._disk.read()
            if data is not None:
                self._recall(snapshots.decode(data, self._digest))
            elif self._disk is not None:
                node.counters.say("snapshot: there is none yet")
        except DamagedError as error:
            node.counters.add("snapshot_damaged")
            node.counters.say(f"snapshot: not used: {error}"[:300])
        except Exception as error:  # guards against a fault of ours: a fresh start does no harm
            node.counters.fault("snapshot: not used", error)
        self._slots = node.requests.with_balancer(lambda balancer, _: float(balancer.fleet.slots))
        if self._disk is not None:
            self._later()

    def _recall(self, old: Memory) -> None:
        node, unix = self._node, self._node.clock.unix()
        # Facts: they hold however old they are and whatever the clocks say.
        node.requests.remember_ids(old.ids)
        age = memory.age_of(old, node.deadlines.now(), unix)
        host, port = node.config.discovery
        listing = memory.newer(old, node.config.known, f"{host}:{port}", age, self._most_age)
        if listing is not None:
            try:
                node.discovery.take(listing, api.DISK)
            except BadListError as error:
                listing = None
                node.counters.say(f"snapshot: its list is none: {error}"[:300])
        found = self._believed = node.requests.with_balancer(
            lambda balancer, now: memory.believe(balancer, old, now, unix, self._most_age)
        )
        ids = f"{len(old.ids)} ids" + (f", list {listing['version']}" if listing is not None else "")
        if found.why:
            node.counters.add("snapshot_too_old")
            node.counters.say(f"snapshot: {found.why}: not believed but for {ids}")
            return
        node.counters.add("snapshot_believed")
        node.counters.say(
            f"snapshot: {found.age / SECOND:.1f} s old, believed in {found.values} values, for "
            f"{found.boxes} servers ({found.passed} passed over), {ids}"
        )

    def _later(self) -> None:
        self._node.deadlines.after(int(self._told.snapshot_every_s * SECOND), self._due)

    def _due(self) -> None:
        if self._closed:
            return
        self._later()
        if self._writing:
            self._node.counters.add("snapshots_slow")  # the disk still has the last one
        else:
            self._write()

    def _write(self) -> None:
        disk = self._disk
        if disk is None or self._node.paused:
            return  # paused: the file is the other process's, which knows more
        try:
            data = self.snapshot()
        except Exception as error:
            self._node.counters.fault("snapshot: can't be made", error)
            return
        self._writing = True
        self._elsewhere(lambda: disk.write(data), self._written)

    def _written(self, error: Exception | None) -> None:
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
                    f"snapshot: can't be written: {why} (tried again each {self._told.snapshot_every_s:g} s)"[
                        :300
                    ]
                )
        self._failing = error is not None
        if not self._closed:
            return
        if self._failing and self._final and self._tries_left > 1:
            # Guards against ids that are forgotten because the disk failed for a moment.
            self._tries_left -= 1
            self._node.deadlines.after(LAST_PAUSE, self._write_again)
        else:
            self._finish()

    def _write_again(self) -> None:
        self._write()
        if not self._writing:
            self._finish()

    def leave(self) -> None:
        """A successor goes on with what is known: from now on the file is its own."""
        self._closed = self._final = True

    def close(self, done: Callable[[], None]) -> None:
        """Writes the last one, once the one that is being written is through."""
        self._closed, self._done = True, done
        if self._asking is not None:
            self._asking.over = True
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
        """Peers can be heard: answers their questions and, unless a young snapshot was found, asks them.
        Does nothing where the operator file does not want warm starts."""
        if not self._told.warm_from_peers:
            return
        node, told = self._node, self._node.config.told
        now = node.deadlines.now()
        self._peers, peers.aside = peers, self._aside
        self._answering = warmth.Answering(told.me, now)
        believed = self._believed
        if believed is not None and not believed.why and believed.age <= YOUNG:
            return
        tier = min(told.schedulers, len(node.config.peers))
        self._asking = warmth.Asking(told.me, tier, node.config.seed, now)
        self._pump()

    def _pump(self) -> None:
        asking, peers, node = self._asking, self._peers, self._node
        if asking is None or peers is None or asking.over:
            return
        now = node.deadlines.now()
        if asking.ready(now) or asking.late(now):
            self._believe(asking)
        elif now >= asking.next:
            for number, data in asking.due(now):
                node.counters.add("warm_questions")
                peers.say(number, data)
            node.deadlines.add(asking.next, self._pump)

    def _believe(self, asking: warmth.Asking) -> None:
        node = self._node
        found: Believed = node.requests.with_balancer(
            lambda balancer, now: warmth.believe(
                balancer, asking.take(now), now, self._began, balancer.fleet.slots != self._slots
            )
        )
        if found.why:
            node.counters.add("warm_unanswered")
            node.counters.say(f"warm start: {found.why}")
            return
        node.counters.add("warm_believed")
        node.counters.say(
            f"warm start: {asking.answered} peers, {found.age / SECOND:.1f} s old, believed in "
            f"{found.values} values, for {found.boxes} servers"
        )

    def _aside(self, origin: int, data: bytes) -> bool:
        """A datagram from a peer; whether it is one of these."""
        if not warmth.shaped(data):
            return False
        node, answering, peers = self._node, self._answering, self._peers
        if answering is None or peers is None:
            return True
        if data[1] == warmth.QUESTION:
            answers: list[bytes] = node.requests.with_balancer(
                lambda balancer, now: answering.answer(balancer, now, origin, data)
            )
            for answer in answers:
                node.counters.add("warm_answers")
                peers.say(origin, answer)
            return True
        if self._asking is not None and not self._asking.over:
            node.counters.add("warm_heard")
            self._asking.hear(node.deadlines.now(), origin, data)
            self._pump()
        return True
