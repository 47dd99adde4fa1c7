"""Connects the replication state machine to the disk, the clock and the other replicas.

Events are processed one at a time.  The durable state of a step is written before the step's other actions
are executed.  If writing fails, the step is discarded.  All methods run on the reactor's thread."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from random import Random
from typing import Any, Protocol

import msgspec

from violetsaddle.control.node_registry import Node
from violetsaddle.control.server import Answer, AnswerCallback, Newest, WriteRequest, error_answer
from violetsaddle.control.store import StoreError, VersionRow
from violetsaddle.decide import document as documents
from violetsaddle.decide import replication_messages as messages
from violetsaddle.decide.replication import ReplicaState, step
from violetsaddle.net.counters import Counters
from violetsaddle.net.deadlines import Clock, Deadlines
from violetsaddle.net.limits import MS, SECOND

TICK_INTERVAL = 500 * MS
ROUND_TIMEOUT = 600 * MS  # how long a majority has to answer
INITIAL_BACKOFF = 25 * MS  # doubles with each attempt
MAX_BACKOFF = 800 * MS
DISK_RETRY_DELAY = 500 * MS  # before a timer event is repeated whose step could not be written
WRITE_TIMEOUT = 8 * SECOND  # a write is answered by then, even if its outcome is unknown
MAX_QUEUED_EVENTS = 256  # beyond it, messages and ticks are dropped
PEER_TIMEOUT = 3 * SECOND  # without a message for this long, a replica counts as lost


class Envelope(msgspec.Struct, frozen=True):
    """A message on the wire.  Its field `from` is a Python keyword, hence `sender`."""

    sender: str = msgspec.field(name="from")
    message: messages.Message


class Disk(Protocol):
    """Durable storage, see `Store`.  Its methods raise `StoreError`."""

    def write(self, state: bytes, version: VersionRow | None = None) -> None:
        """Writes the state and the version atomically.  They are durable when it returns."""

    def version(self, number: int) -> VersionRow | None:
        """Returns a committed version, or None if it is not stored."""


class Link(Protocol):
    """The connection to one other replica."""

    def send(self, body: bytes) -> None:
        """Sends a message.  It may be lost without an error."""


WorkCallback = Callable[[Exception | None], None]


class PeerStatus:
    """What is known about another replica."""

    __slots__ = ("number", "heard_at", "lost")

    def __init__(self) -> None:
        """`heard_at` is the time of the last message, -1 if there was none.

        `lost` is set after `PEER_TIMEOUT` without a message."""
        self.number, self.heard_at, self.lost = 0, -1, False


class Driver:
    """Runs one replica."""

    def __init__(
        self,
        state: ReplicaState,
        disk: Disk,
        links: Mapping[str, Link],
        deadlines: Deadlines,
        clock: Clock,
        counters: Counters,
        baseline: dict[str, Any],
        random: Random,
        run_in_background: Callable[[Callable[[], None], WorkCallback], None],
    ) -> None:
        """`baseline` holds the settings of version 0.

        `run_in_background` runs blocking work.  It calls the callback in a later turn of the reactor, with
        None or the exception that the work raised."""
        self._state, self._disk, self._links, self._deadlines = state, disk, links, deadlines
        self._clock, self._counters, self._baseline, self._random = clock, counters, baseline, random
        self._run_in_background = run_in_background
        self._events: deque[messages.Event] = deque()
        self._processing = self._persisting = self._stopped = False
        # By token: the callback, and the number of disk failures before the write.
        self._pending_writes: dict[int, tuple[AnswerCallback, int]] = {}
        self._token = 0
        self.disk_error = ""  # of the last write to the disk; "" if it succeeded
        self._disk_failures = 0  # failed writes since the start
        self._started_at = deadlines.now()
        self._peers = {name: PeerStatus() for name in links}
        self._encoder = msgspec.json.Encoder()
        self._decoder = msgspec.json.Decoder(Envelope)
        self.on_commit: Callable[[], None] = lambda: None
        self._newest = self._encode_newest(state.durable.committed)

    # Requests from the server.

    def newest(self) -> Newest:
        """Returns the newest committed version."""
        return self._newest

    def write(self, write: WriteRequest, done: AnswerCallback) -> None:
        """Proposes a version.  Calls `done` exactly once, before or after the return."""
        if documents.digest(write.document) != write.digest:
            done(
                error_answer(400, "digest", "the digest does not fit the document: it was changed on its way")
            )
            return
        try:
            documents.check(self._baseline, write.document)
        except documents.DocumentError as error:
            self._counters.add("documents_refused")
            done(error_answer(422, "document", f"expected {error.expected}", key=error.key))
            return
        token = self._token = self._token + 1
        self._pending_writes[token] = done, self._disk_failures
        self._deadlines.after(WRITE_TIMEOUT, lambda: self._reply_undecided(token))
        now = self._clock.unix() // 1000
        self._enqueue(messages.Propose(token, write.base, write.digest, write.author, now, write.document))

    def receive(self, body: bytes) -> bool:
        """Processes a message of another replica.  Returns False if the message is invalid."""
        try:
            envelope = self._decoder.decode(body)
        except (msgspec.DecodeError, ValueError, RecursionError):
            self._counters.add("bad_messages")
            return False
        peer = self._peers.get(envelope.sender)
        version = getattr(envelope.message, "version", None)
        vote = getattr(envelope.message, "accepted", None)
        versions = [version] if version is not None else [vote.version] if vote is not None else []
        if peer is None or any(documents.digest(v.document) != v.digest for v in versions):
            self._counters.add("bad_messages")
            return False
        self._counters.add("messages_heard")
        self._update_peer(envelope.sender, peer, envelope.message)
        self._enqueue(messages.Received(envelope.sender, envelope.message))
        return True

    def status(self, nodes: list[Node]) -> bytes:
        """Returns the status of this replica, its peers and `nodes` as JSON."""
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
                        "number": peer.number,
                        "seconds_ago": None
                        if peer.heard_at < 0
                        else round((now - peer.heard_at) / SECOND, 3),
                    }
                    for name, peer in sorted(self._peers.items())
                ],
                "nodes": [node._asdict() for node in nodes],
            }
        )

    @property
    def state(self) -> str:
        """The replica's state: `starting`, `recovering` or `voting`."""
        return str(self._state.status.value)

    # Start and stop.

    def start(self) -> None:
        """Starts the replica, which first greets the others."""
        self._enqueue(messages.Started())
        self._deadlines.after(TICK_INTERVAL, self._tick)

    def stop(self) -> None:
        """Stops processing events."""
        self._stopped = True
        self._events.clear()

    def _tick(self) -> None:
        if self._stopped:
            return
        self._deadlines.after(TICK_INTERVAL, self._tick)
        now = self._deadlines.now()
        for name, peer in self._peers.items():
            if not peer.lost and now - max(peer.heard_at, self._started_at) > PEER_TIMEOUT:
                peer.lost = True
                self._counters.add("peers_lost")
                self._counters.say(f"replica {name} is lost: nothing heard for {PEER_TIMEOUT // SECOND} s")
        self._enqueue(messages.Tick())

    def _update_peer(self, name: str, peer: PeerStatus, message: messages.Message) -> None:
        if peer.lost:
            peer.lost = False
            self._counters.say(f"replica {name} is back")
        peer.heard_at = self._deadlines.now()
        if isinstance(message, messages.Heartbeat | messages.HelloReply):
            peer.number = message.number
        elif isinstance(message, messages.Commit | messages.Fetched):
            peer.number = max(peer.number, message.version.number)

    # Processing of events.

    def _enqueue(self, event: messages.Event) -> None:
        if self._stopped:
            return
        if len(self._events) >= MAX_QUEUED_EVENTS and isinstance(event, messages.Received | messages.Tick):
            self._counters.add("events_lost")  # events queue up while a write to the disk is slow
            return
        self._events.append(event)
        self._process_events()

    def _process_events(self) -> None:
        if self._processing:
            return
        self._processing = True
        try:
            while self._events and not self._persisting:
                event = self._events.popleft()
                try:
                    self._process(event)
                except Exception as error:
                    self._counters.fault(f"a step failed: {type(event).__name__}", error)
                    self._fail_event(event)
        finally:
            self._processing = False

    def _process(self, event: messages.Event) -> None:
        state, actions = step(self._state, event)
        if not actions or not isinstance(actions[0], messages.Persist):
            self._complete(event, state, actions)
            return
        durable = actions[0].durable
        version = durable.committed
        is_new = version is not None and version.number > self._newest.number
        row = VersionRow(*msgspec.structs.astuple(version)) if is_new and version is not None else None
        data = self._encoder.encode(durable)
        self._persisting = True

        def persisted(error: Exception | None) -> None:
            self._persisting = False
            if self._stopped:
                return
            if error is None:
                self._on_disk_write()
                self._complete(event, state, actions[1:])
            else:
                self._on_disk_failure(error)
                self._fail_event(event)
            self._process_events()

        self._run_in_background(lambda: self._disk.write(data, row), persisted)

    def _on_disk_write(self) -> None:
        self._counters.add("disk_writes")
        if self.disk_error:
            self.disk_error = ""
            self._counters.say("disk: written again")

    def _on_disk_failure(self, error: Exception) -> None:
        self._counters.add("disk_failures")
        self._disk_failures += 1
        if not isinstance(error, StoreError):
            self._counters.fault("writing to the disk failed", error)
        if not self.disk_error:
            self._counters.say(f"disk: can't be written: {error}: nothing is accepted until it can")
        self.disk_error = str(error) or type(error).__name__

    def _fail_event(self, event: messages.Event) -> None:
        """Discards an event whose step failed.  A proposal is answered, and a timer event repeated later."""
        if isinstance(event, messages.Propose):
            pending = self._pending_writes.pop(event.token, None)
            if pending is not None:
                pending[0](
                    error_answer(503, "disk", f"replica {self._state.name}: {self._disk_error_text()}")
                )
        elif isinstance(event, messages.RoundTimeout):
            # The round continues when the disk works again.  Its writers are not kept waiting until then.
            for token in list(self._pending_writes):
                self._reply_undecided(token)
            self._deadlines.after(DISK_RETRY_DELAY, lambda: self._enqueue(event))

    def _reply_undecided(self, token: int) -> None:
        """Tells a writer that the outcome is unknown.  The replicas may still commit the write."""
        self._reply(messages.Reply(token, messages.Undecided()))

    def _disk_error_text(self) -> str:
        return f"its disk can't be written: {self.disk_error}" if self.disk_error else "a fault: see its log"

    def _complete(
        self, event: messages.Event, state: ReplicaState, actions: tuple[messages.Action, ...]
    ) -> None:
        before, self._state = self._state.status, state
        if state.status is not before:
            self._counters.say(f"{state.status.value}, version {state.durable.number}")
        for action in actions:
            try:
                self._execute(action)
            except Exception as error:
                self._counters.fault(f"an action failed: {type(action).__name__}", error)

    def _execute(self, action: messages.Action) -> None:
        if isinstance(action, messages.Send):
            self._send(action.to, action.message)
        elif isinstance(action, messages.SendVersion):
            self._send_version(action)
        elif isinstance(action, messages.Committed):
            version = action.version
            self._newest = self._encode_newest(version)
            self._counters.most("version", version.number)
            self._counters.add("versions_committed")
            self._counters.say(
                f"version {version.number} committed: digest {version.digest}, by {version.author!a}"
            )
            self.on_commit()
        elif isinstance(action, messages.Reply):
            self._reply(action)
        elif isinstance(action, messages.StartTimer):
            wait = ROUND_TIMEOUT
            if action.backoff:
                backoff = min(MAX_BACKOFF, INITIAL_BACKOFF << min(10, action.attempt))
                wait = int(backoff * (0.5 + self._random.random()))
            event = messages.RoundTimeout(action.round)
            self._deadlines.after(wait, lambda: self._enqueue(event))

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
                self._counters.say(f"version {action.number} was requested and is not stored")
                return
            version = messages.Version(*row)
        self._send(action.to, messages.Fetched(version, action.newest))

    def _reply(self, reply: messages.Reply) -> None:
        pending = self._pending_writes.pop(reply.token, None)
        if pending is not None:
            done, failures = pending
            done(self._build_answer(reply.result, failures != self._disk_failures))

    def _build_answer(self, result: messages.Result, disk_failed: bool) -> Answer:
        """Returns the answer to a write.  `disk_failed`: the disk failed since the write began."""
        name = self._state.name
        if isinstance(result, messages.Accepted):
            return Answer(200, self._encoder.encode({"number": result.number, "digest": result.digest}))
        if isinstance(result, messages.Conflict):
            text = f"version {result.number} is the newest: make the document from it and write again"
            return error_answer(409, "conflict", text, number=result.number, digest=result.digest)
        if isinstance(result, messages.Joining):
            text = f"replica {name} does not vote yet: another one may, or try again"
            return error_answer(503, result.status.value, text)
        if isinstance(result, messages.Behind):
            text = f"replica {name} holds version {result.number} and the base is newer: try again"
            return error_answer(503, "behind", text)
        if isinstance(result, messages.Undecided):
            text = "no majority of replicas answered in time: it may still take effect; repeat it as it is"
            return error_answer(
                503, "undecided", text + (f"; {self._disk_error_text()}" if disk_failed else "")
            )
        if disk_failed:
            return error_answer(503, "disk", f"replica {name}: {self._disk_error_text()}")
        return error_answer(503, "no_majority", "no majority of replicas answered: nothing was written")

    def _encode_newest(self, version: messages.Version | None) -> Newest:
        if version is None:
            return Newest(0, "", b"")
        return Newest(version.number, version.digest, self._encoder.encode(version))
