"""Runs the replication's core on a disk, a clock and the ways to the other replicas.

Events are taken in one after the other.  A step that must last is written before anything of it is seen
outside; where writing fails the step has not happened.  All methods belong to the reactor's thread."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from random import Random
from typing import Any, Protocol

import msgspec

from violetsaddle.control.node_registry import Node
from violetsaddle.control.server import Answer, Done, Newest, Write, refusal
from violetsaddle.control.store import StoreError, VersionRow
from violetsaddle.decide import document as documents
from violetsaddle.decide import replication_messages as messages
from violetsaddle.decide.replication import ReplicaState, step
from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Clock, Deadlines
from violetsaddle.net.limits import MS, SECOND

TICK = 500 * MS
ROUND = 600 * MS  # for a majority to answer
BACKOFF = 25 * MS  # doubles with each attempt, up to
MOST_BACKOFF = 800 * MS
DISK_PAUSE = 500 * MS  # until a timer is told again whose step could not be written
WRITE = 8 * SECOND  # a write is answered by then, whatever becomes of it
WAITING = 256  # events, beyond which what may be lost is
LOST_AFTER = 3 * SECOND  # without a message a replica counts as lost


class Envelope(msgspec.Struct, frozen=True):
    """What goes over the wire; `from` is a word of the language."""

    sender: str = msgspec.field(name="from")
    message: messages.Message


class Disk(Protocol):
    """What outlives the process; see `Store`, whose errors its methods raise."""

    def write(self, state: bytes, version: VersionRow | None = None) -> None:
        """Durable as it returns, all or nothing."""

    def version(self, number: int) -> VersionRow | None:
        """A committed version; None: it is not held."""


class Link(Protocol):
    """The way to one other replica."""

    def send(self, body: bytes) -> None:
        """Takes a message; it may be lost without a word."""


Written = Callable[[Exception | None], None]


class Seen:
    """What is known of another replica."""

    __slots__ = ("number", "at", "lost")

    def __init__(self) -> None:
        """`at`: of its last message, -1: nothing heard yet; `lost`: nothing for `LOST_AFTER`."""
        self.number, self.at, self.lost = 0, -1, False


class Driver:
    """One replica at work."""

    def __init__(
        self,
        state: ReplicaState,
        disk: Disk,
        links: Mapping[str, Link],
        deadlines: Deadlines,
        clock: Clock,
        counters: Counters,
        baseline: dict[str, Any],
        chance: Random,
        aside: Callable[[Callable[[], None], Written], None],
    ) -> None:
        """`baseline`: version 0's settings; `aside`: does work that takes a while, and tells of its end in a
        later turn."""
        self._state, self._disk, self._links, self._deadlines = state, disk, links, deadlines
        self._clock, self._counters, self._baseline, self._chance = clock, counters, baseline, chance
        self._aside = aside
        self._events: deque[messages.Event] = deque()
        self._running = self._writing = self._ended = False
        self._writes: dict[int, tuple[Done, int]] = {}  # by token, with the failures of the disk as it began
        self._token = 0
        self.trouble = ""  # why the disk could not be written last
        self._failures = 0  # of writing
        self._begun = deadlines.now()
        self._seen = {name: Seen() for name in links}
        self._encoder = msgspec.json.Encoder()
        self._decoder = msgspec.json.Decoder(Envelope)
        self.on_commit: Callable[[], None] = lambda: None
        self._newest = self._whole(state.durable.committed)

    # What the server asks for.

    def newest(self) -> Newest:
        """The newest committed version."""
        return self._newest

    def write(self, write: Write, done: Done) -> None:
        """Calls `done` once, now or later."""
        if documents.digest(write.document) != write.digest:
            done(refusal(400, "digest", "the digest does not fit the document: it was changed on its way"))
            return
        try:
            documents.check(self._baseline, write.document)
        except documents.DocumentError as error:
            self._counters.add("documents_refused")
            done(refusal(422, "document", f"expected {error.expected}", key=error.key))
            return
        token = self._token = self._token + 1
        self._writes[token] = done, self._failures
        self._deadlines.after(WRITE, lambda: self._unsure(token))
        now = self._clock.unix() // 1000
        self._give(messages.Propose(token, write.base, write.digest, write.author, now, write.document))

    def message(self, body: bytes) -> bool:
        """Takes in another replica's message; False: it is none."""
        try:
            told = self._decoder.decode(body)
        except (msgspec.DecodeError, ValueError, RecursionError):
            self._counters.add("bad_messages")
            return False
        seen = self._seen.get(told.sender)
        version = getattr(told.message, "version", None)
        vote = getattr(told.message, "accepted", None)
        carried = [version] if version is not None else [vote.version] if vote is not None else []
        if seen is None or any(documents.digest(v.document) != v.digest for v in carried):
            self._counters.add("bad_messages")
            return False
        self._counters.add("messages_heard")
        self._heard(told.sender, seen, told.message)
        self._give(messages.Received(told.sender, told.message))
        return True

    def status(self, nodes: list[Node]) -> bytes:
        """What this replica knows, as JSON."""
        now = self._deadlines.now()
        return self._encoder.encode(
            {
                "replica": self._state.name,
                "state": self._state.status.value,
                "number": self._newest.number,
                "digest": self._newest.digest,
                "peers": [
                    {
                        "name": name,
                        "number": seen.number,
                        "seconds_ago": None if seen.at < 0 else round((now - seen.at) / SECOND, 3),
                    }
                    for name, seen in sorted(self._seen.items())
                ],
                "nodes": [node._asdict() for node in nodes],
            }
        )

    @property
    def state(self) -> str:
        """`starting`, `recovering` or `voting`."""
        return str(self._state.status.value)

    # Its life.

    def start(self) -> None:
        """Says hello to the others, and goes on from there."""
        self._give(messages.Started())
        self._deadlines.after(TICK, self._tick)

    def end(self) -> None:
        """Nothing is taken in any more."""
        self._ended = True
        self._events.clear()

    def _tick(self) -> None:
        if self._ended:
            return
        self._deadlines.after(TICK, self._tick)
        now = self._deadlines.now()
        for name, seen in self._seen.items():
            if not seen.lost and now - max(seen.at, self._begun) > LOST_AFTER:
                seen.lost = True
                self._counters.add("peers_lost")
                self._counters.say(f"replica {name} is lost: nothing heard for {LOST_AFTER // SECOND} s")
        self._give(messages.Tick())

    def _heard(self, name: str, seen: Seen, message: messages.Message) -> None:
        if seen.lost:
            seen.lost = False
            self._counters.say(f"replica {name} is back")
        seen.at = self._deadlines.now()
        if isinstance(message, messages.Heartbeat | messages.HelloReply):
            seen.number = message.number
        elif isinstance(message, messages.Commit | messages.Fetched):
            seen.number = max(seen.number, message.version.number)

    # Steps.

    def _give(self, event: messages.Event) -> None:
        if self._ended:
            return
        if len(self._events) >= WAITING and isinstance(event, messages.Received | messages.Tick):
            self._counters.add("events_lost")  # the disk holds them up
            return
        self._events.append(event)
        self._run()

    def _run(self) -> None:
        if self._running:
            return
        self._running = True
        try:
            while self._events and not self._writing:
                event = self._events.popleft()
                try:
                    self._step(event)
                except Exception as error:
                    self._counters.fault(f"a step failed: {type(event).__name__}", error)
                    self._lost(event)
        finally:
            self._running = False

    def _step(self, event: messages.Event) -> None:
        state, actions = step(self._state, event)
        if not actions or not isinstance(actions[0], messages.Persist):
            self._done(event, state, actions)
            return
        durable = actions[0].durable
        version = durable.committed
        fresh = version is not None and version.number > self._newest.number
        row = VersionRow(*msgspec.structs.astuple(version)) if fresh and version is not None else None
        data = self._encoder.encode(durable)
        self._writing = True

        def written(error: Exception | None) -> None:
            self._writing = False
            if self._ended:
                return
            if error is None:
                self._disk_works()
                self._done(event, state, actions[1:])
            else:
                self._disk_fails(error)
                self._lost(event)
            self._run()

        self._aside(lambda: self._disk.write(data, row), written)

    def _disk_works(self) -> None:
        self._counters.add("disk_writes")
        if self.trouble:
            self.trouble = ""
            self._counters.say("disk: written again")

    def _disk_fails(self, error: Exception) -> None:
        self._counters.add("disk_failures")
        self._failures += 1
        if not isinstance(error, StoreError):
            self._counters.fault("the disk's work failed", error)
        if not self.trouble:
            self._counters.say(f"disk: can't be written: {error}: nothing is accepted until it can")
        self.trouble = str(error) or type(error).__name__

    def _lost(self, event: messages.Event) -> None:
        """The event has not happened: who waits for it hears so, or it comes again."""
        if isinstance(event, messages.Propose):
            wait = self._writes.pop(event.token, None)
            if wait is not None:
                wait[0](refusal(503, "disk", f"replica {self._state.name}: {self._disk_text()}"))
        elif isinstance(event, messages.RoundTimeout):
            # The round goes on once the disk can be written; nobody waits for that.
            for token in list(self._writes):
                self._unsure(token)
            self._deadlines.after(DISK_PAUSE, lambda: self._give(event))

    def _unsure(self, token: int) -> None:
        """The writer hears that nobody knows yet; the core may go on with its write."""
        self._reply(messages.Reply(token, messages.Undecided()))

    def _disk_text(self) -> str:
        return f"its disk can't be written: {self.trouble}" if self.trouble else "a fault: see its log"

    def _done(self, event: messages.Event, state: ReplicaState, actions: tuple[messages.Action, ...]) -> None:
        before, self._state = self._state.status, state
        if state.status is not before:
            self._counters.say(f"{state.status.value}, version {state.durable.number}")
        for action in actions:
            try:
                self._act(action)
            except Exception as error:
                self._counters.fault(f"an action failed: {type(action).__name__}", error)

    def _act(self, action: messages.Action) -> None:
        if isinstance(action, messages.Send):
            self._send(action.to, action.message)
        elif isinstance(action, messages.SendVersion):
            self._send_version(action)
        elif isinstance(action, messages.Committed):
            version = action.version
            self._newest = self._whole(version)
            self._counters.most("version", version.number)
            self._counters.add("versions_committed")
            self._counters.say(
                f"version {version.number} committed: digest {version.digest}, by {version.author!a}"
            )
            self.on_commit()
        elif isinstance(action, messages.Reply):
            self._reply(action)
        elif isinstance(action, messages.StartTimer):
            wait = ROUND
            if action.backoff:
                most = min(MOST_BACKOFF, BACKOFF << min(10, action.attempt))
                wait = int(most * (0.5 + self._chance.random()))
            event = messages.RoundTimeout(action.round)
            self._deadlines.after(wait, lambda: self._give(event))

    def _send(self, to: str, message: messages.Message) -> None:
        self._links[to].send(self._encoder.encode(Envelope(self._state.name, message)))

    def _send_version(self, action: messages.SendVersion) -> None:
        committed = self._state.durable.committed
        if committed is not None and committed.number == action.number:
            version = committed
        else:
            try:
                row = self._disk.version(action.number)
            except StoreError as error:
                self._counters.say(f"disk: can't be read: {error}")
                return
            if row is None:
                self._counters.say(f"version {action.number} is asked for and not held")
                return
            version = messages.Version(*row)
        self._send(action.to, messages.Fetched(version, action.newest))

    def _reply(self, reply: messages.Reply) -> None:
        wait = self._writes.pop(reply.token, None)
        if wait is not None:
            done, failures = wait
            done(self._answer(reply.result, failures != self._failures))

    def _answer(self, result: messages.Result, disk_failed: bool) -> Answer:
        """`disk_failed`: while the write was under way."""
        name = self._state.name
        if isinstance(result, messages.Accepted):
            return Answer(200, self._encoder.encode({"number": result.number, "digest": result.digest}))
        if isinstance(result, messages.Conflict):
            text = f"version {result.number} is the newest: make the document from it and write again"
            return refusal(409, "conflict", text, number=result.number, digest=result.digest)
        if isinstance(result, messages.Joining):
            text = f"replica {name} does not vote yet: another one may, or try again"
            return refusal(503, result.status.value, text)
        if isinstance(result, messages.Behind):
            text = f"replica {name} holds version {result.number} and the base is newer: try again"
            return refusal(503, "behind", text)
        if isinstance(result, messages.Undecided):
            text = "no majority of replicas answered in time: it may still take effect; repeat it as it is"
            return refusal(503, "undecided", text + (f"; {self._disk_text()}" if disk_failed else ""))
        if disk_failed:
            return refusal(503, "disk", f"replica {name}: {self._disk_text()}")
        return refusal(503, "no_majority", "no majority of replicas answered: nothing was written")

    def _whole(self, version: messages.Version | None) -> Newest:
        if version is None:
            return Newest(0, "", b"")
        return Newest(version.number, version.digest, self._encoder.encode(version))
