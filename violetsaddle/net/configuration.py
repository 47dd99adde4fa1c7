"""Puts newer settings in force while the node works: asks the replicas that hold them, and tells other nodes.

Wires `decide.subscription` and `decide.document` to the node; imported only where an operator file asks for
it."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from random import Random
from typing import Any, NamedTuple, TypeVar
from urllib.parse import quote

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure as Reason

from violetsaddle import settings
from violetsaddle.decide import document, subscription
from violetsaddle.decide.subscription import MS, SECOND, EventType, Phase, Poll, State
from violetsaddle.interface import Settings, SettingsError
from violetsaddle.net import http
from violetsaddle.net.connections import BrokenError, NotConnectedError, ServerConnection, dial
from violetsaddle.net.deadlines import Deadline
from violetsaddle.net.disk import BackgroundRunner, Disk, File, in_thread
from violetsaddle.net.node import Node
from violetsaddle.net.peers import Peers
from violetsaddle.operator import Configuration as Told
from violetsaddle.store.files import DamagedError

MOST_ANSWER = 512 * 1024  # bytes: a document of 64 KiB within JSON
AT_ONCE = SECOND  # for an answer that the replica does not hold
MOST_SHOWN = 5  # changes in a log line
MOST_LINE = 300  # characters
MOST_NAME = 128

T = TypeVar("T")


class BadAnswerError(Exception):
    """What a replica gave is no answer; the text is for the log."""


class Version(NamedTuple):
    """A version; its `digest` is that of `document`, in 32 hexadecimal digits."""

    number: int  # 0: what the node's configuration file holds
    digest: str
    author: str
    document: str

    @property
    def shown(self) -> str:
        """As the log names it."""
        return f"configuration {self.number} by {self.author} ({self.digest[:8]})"


class Answer(NamedTuple):
    """A replica's answer, which is sound."""

    number: int
    version: Version | None  # None: the replica has none that is newer than what was asked after


class Fit(NamedTuple):
    """A version that this node can take."""

    version: Version
    table: Mapping[str, Any]  # its document's settings
    told: Settings


def _field(table: Mapping[str, Any], name: str, kind: type[T]) -> T:
    value = table.get(name)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise BadAnswerError(f"{name} is missing or of another type")
    return value


def _version(table: Mapping[str, Any]) -> Version:
    number, digest = _field(table, "number", int), _field(table, "digest", str)
    author, text = _field(table, "author", str), _field(table, "document", str)
    if not 0 < number <= subscription.MAX_VERSION_NUMBER:
        raise BadAnswerError("its number is out of range")
    if document.digest(text) != digest:
        raise BadAnswerError("its digest is another")
    return Version(number, digest, author, text)


def parsed(status: int, body: bytes) -> Answer:
    """A replica's answer; raises `BadAnswerError`."""
    if status != 200:
        raise BadAnswerError(f"status {status}")
    try:
        table = json.loads(body)
    except (ValueError, RecursionError):
        raise BadAnswerError("no JSON") from None
    if not isinstance(table, dict):
        raise BadAnswerError("no JSON object")
    if "document" not in table:
        number = _field(table, "number", int)
        if not 0 <= number <= subscription.MAX_VERSION_NUMBER:
            raise BadAnswerError("its number is out of range")
        return Answer(number, None)
    try:
        version = _version(table)
    except BadAnswerError as wrong:
        raise BadVersionError(f"configuration {table.get('number')!r}", str(wrong)) from None
    return Answer(version.number, version)


class BadVersionError(BadAnswerError):
    """An answer with a version that is damaged."""

    def __init__(self, which: str, why: str) -> None:
        """`which`: the version as the log names it."""
        super().__init__(why)
        self.which = which


def plain(text: str) -> str:
    """A name as replicas take it: without spaces and control characters, not long; quoted for a query."""
    return quote("".join(c if c.isprintable() and c != " " else "_" for c in text[:MOST_NAME]), "")


def packed(version: Version) -> bytes:
    """The snapshot file: a checksum in hexadecimal digits, a line's end, JSON."""
    text = json.dumps(version._asdict())
    return f"{document.digest(text)}\n{text}".encode("utf-8", "surrogatepass")


def unpacked(data: bytes) -> Version:
    """Raises `DamagedError`."""
    try:
        checksum, _, text = data.decode("utf-8").partition("\n")
        if document.digest(text) != checksum:
            raise DamagedError("its checksum is wrong")
        return _version(json.loads(text))
    except (ValueError, RecursionError, AttributeError, BadAnswerError) as wrong:
        raise DamagedError(f"it can't be read: {wrong}"[:200]) from None


def configurer(told: Told) -> Callable[[Node], Subscriber]:
    """What `Node` makes its configurer with, for the section of an operator file."""

    def make(node: Node) -> Subscriber:
        return Subscriber(node, told, File(told.snapshot) if told.snapshot else None, in_thread(node.reactor))

    return make


class Subscriber:
    """Implements `node.Configurer`."""

    def __init__(self, node: Node, told: Told, disk: Disk | None, elsewhere: BackgroundRunner) -> None:
        """`disk`: where the newest version is kept, None for nowhere; `elsewhere`: what writes it."""
        self._node, self._told, self._disk, self._elsewhere = node, told, disk, elsewhere
        config = node.config
        self._baseline = document.baseline_of(config.settings)
        self._table: Mapping[str, Any] = self._baseline  # of the version in force
        self.version = Version(0, "", "", "")  # in force
        self._random = Random()
        self._addresses = told.addresses
        self._rules = subscription.Rules(
            len(self._addresses), config.told.schedulers, told.watch_wait_ms * MS
        )
        self._state: State | None = None  # None: it has not begun
        self._wake: Deadline | None = None
        self._round = 0  # a call that was abandoned must not speak for the present one
        self._running: Deferred[None] | None = None
        self._connection: ServerConnection | None = None
        self._connected: tuple[str, int] | None = None  # where
        self._refused: tuple[int, str] | None = None  # number and key of the last version that was not fit
        self._said = ""
        self._written = 0  # number on the disk
        self._writing = self._failing = False
        self._peers: Peers | None = None
        tier = min(config.told.schedulers, len(config.peers))
        self._neighbours = subscription.neighbours(config.told.me, tier, told.gossip_peers)

    # What the node calls.

    def begin(self) -> None:
        """Puts what the disk holds in force; nothing is accepted yet."""
        node = self._node
        try:
            data = self._disk.read() if self._disk is not None else None
            if data is not None:
                self._put(self._fit(unpacked(data)))
                self._written = self.version.number
        except DamagedError as error:
            self._say(f"configuration: the snapshot is not used: {error}")
        except (document.DocumentError, SettingsError) as error:
            self._say(f"configuration: the snapshot is not used: it is for another site: {error}")
        except Exception as error:  # guards against a fault of ours: the replicas have it too
            node.counters.fault("configuration: the snapshot is not used", error)
        now, me = node.deadlines.now(), node.config.told.me
        self._state = subscription.initial_state(self._rules, me, self.version.number, now)

    def follow(self) -> None:
        """Asks and tells from now on."""
        self._arm()
        every = self._told.gossip_every_ms * MS
        self._node.deadlines.after(int(every * self._random.random()), self._again)

    def meet(self, peers: Peers) -> None:
        """Peers can be heard and told."""
        before = peers.datagram_handler
        self._peers = peers
        peers.datagram_handler = lambda origin, data: (
            self._heard(origin, data) or (before is not None and before(origin, data))
        )

    def stop(self) -> None:
        """The node ends: nothing is asked or told any more."""
        self._step(EventType.STOP)

    # The state, and what it asks for.

    def _step(self, word: EventType, number: int = 0, fit: Fit | None = None) -> None:
        if self._state is None:
            return
        now, drawn = self._node.deadlines.now(), self._random.random()
        made = subscription.step(self._state, self._rules, word, now, drawn, number)
        self._state = made.state
        if made.cancel_poll:
            self._abandon()
        if made.apply and fit is not None:
            self._put(fit)
            self._tell()
            self._save()
        if made.poll is not None:
            self._call(made.poll)
        self._arm()

    def _arm(self) -> None:
        deadlines, state = self._node.deadlines, self._state
        deadlines.drop(self._wake)
        self._wake = deadlines.add(state.due, self._due) if state is not None and state.due else None

    def _due(self) -> None:
        self._step(EventType.WAKE)

    def _say(self, text: str) -> None:
        """A line, unless it was the last one."""
        shown = "".join(c if c.isprintable() else ascii(c)[1:-1] for c in text[:MOST_LINE])
        if shown != self._said:
            self._said = shown
            self._node.counters.say(shown)

    # Versions.

    def _fit(self, version: Version) -> Fit:
        """Raises `DocumentError` or `SettingsError`."""
        config = self._node.config
        table = document.check(self._baseline, version.document)
        own = document.for_node(version.document, config.told.me, config.told.zone)
        told = settings.read(own)[1]
        config.told.check_change(told)
        return Fit(version, table, told)

    def _put(self, fit: Fit) -> None:
        node = self._node
        node.reconfigure(fit.told)
        found = document.changes(self._table, fit.table)
        self.version, self._table = fit.version, fit.table
        node.counters.most("configuration_number", fit.version.number)
        node.counters.add("configurations_applied")
        shown = found[:MOST_SHOWN] or ["nothing else than before"]
        more = [f"and {len(found) - MOST_SHOWN} more"] if len(found) > MOST_SHOWN else []
        self._say(f"{fit.version.shown} is in force: {', '.join(shown + more)}")

    # Calls.

    def _call(self, ask: Poll) -> None:
        self._round += 1
        self._running = Deferred.fromCoroutine(self._ask(ask, self._round))
        self._running.addErrback(self._faulty, self._round)

    def _abandon(self) -> None:
        self._round += 1
        running, self._running = self._running, None
        if running is not None:
            running.cancel()
        self._hang_up()

    def _hang_up(self) -> None:
        if self._connection is not None:
            self._connection.transport.abortConnection()
            self._connection = None

    def _faulty(self, reason: Reason, round: int) -> None:
        """A fault of our own is a failed call too."""
        self._node.counters.fault("the call for a configuration failed", reason.value)
        if round == self._round:
            self._failed()

    def _failed(self) -> None:
        self._node.counters.add("configuration_failed")
        self._hang_up()
        self._step(EventType.FAILED)

    async def _ask(self, ask: Poll, round: int) -> None:
        at = self._addresses[ask.replica]
        try:
            message = await self._exchange(ask, at)
            answer = parsed(message.status, bytes(message.body))
        except (NotConnectedError, BrokenError, CancelledError, BadAnswerError) as error:
            if round != self._round:
                return
            if isinstance(error, BadVersionError):
                self._node.counters.add("configurations_refused")
                self._say(f"{error.which} from {at[0]}:{at[1]}: {error}")
            self._failed()
            return
        if round == self._round:
            self._take(answer)

    async def _exchange(self, ask: Poll, at: tuple[str, int]) -> http.Message:
        node, told = self._node, self._told
        if self._connection is None or not self._connection.open or self._connected != at:
            self._hang_up()
            self._connection = await dial(
                node.reactor,
                node.deadlines,
                node.limits.dial,
                *at,
                lambda: ServerConnection(node.limits, lambda _: None, MOST_ANSWER),
            )
            self._connected = at
        wait = told.watch_wait_ms if ask.hold else 0
        target = f"/configuration?after={ask.after}&wait_ms={wait}&node={plain(node.config.name)}"
        if self._refused is not None and self._refused[0] > ask.after:
            target += f"&refused={self._refused[0]}&why={plain(self._refused[1])}"
        node.counters.add("configuration_calls")
        calling = self._connection.exchange([http.request("GET", target, f"{at[0]}:{at[1]}")])
        limit = (wait + told.watch_grace_ms) * MS if ask.hold else AT_ONCE
        late = node.deadlines.after(limit, calling.cancel)
        try:
            return await calling
        finally:
            node.deadlines.drop(late)

    def _take(self, answer: Answer) -> None:
        state, version = self._state, answer.version
        if state is None:
            return
        if version is not None and state.number < version.number == state.seen:
            self._step(EventType.UNUSABLE_VERSION, version.number)  # refused before
            return
        if version is None or version.number <= state.seen:
            if answer.number < state.seen:
                self._node.counters.add("configuration_behind")
            elif version is not None or answer.number > state.seen:
                self._node.counters.add("configuration_failed")  # this is none to what was asked
            self._step(EventType.NO_VERSION if version is None else EventType.NEW_VERSION, answer.number)
            return
        try:
            fit = self._fit(version)
        except (document.DocumentError, SettingsError) as error:
            key = error.key if isinstance(error, document.DocumentError) else str(error)
            self._node.counters.add("configurations_refused")
            self._refused = version.number, key or "document"
            self._say(f"{version.shown} refused: {error}")
            self._step(EventType.UNUSABLE_VERSION, version.number)
            return
        self._step(EventType.NEW_VERSION, version.number, fit)

    # Snapshots.

    def _save(self) -> None:
        """Writes what is in force, unless it is on the disk or another process of this node serves, whose
        file it is."""
        disk, version, node = self._disk, self.version, self._node
        if disk is None or self._writing or node.paused or self._written >= version.number:
            return
        self._writing, data = True, packed(version)
        self._elsewhere(lambda: disk.write(data), lambda error: self._saved(version.number, error))

    def _saved(self, number: int, error: Exception | None) -> None:
        self._writing = False
        if error is not None:  # `_again` tries again
            if not self._failing:
                why = getattr(error, "strerror", None) or f"{type(error).__name__}: {error}"
                self._say(f"configuration: the snapshot can't be written: {why}")
            self._failing = True
            return
        self._failing, self._written = False, number
        self._save()

    # Peers.

    def _again(self) -> None:
        """What is repeated: words to the peers may be lost, and the disk may have failed."""
        if self._state is not None and self._state.phase is Phase.STOPPED:
            return
        self._node.deadlines.after(self._told.gossip_every_ms * MS, self._again)
        self._tell()
        self._save()

    def _tell(self) -> None:
        peers, version = self._peers, self.version
        if peers is None or not version.number or self._node.paused:
            return
        data = subscription.encode(version.number, version.digest)
        for number in self._neighbours:
            self._node.counters.add("configuration_told")
            peers.send(number, data)

    def _heard(self, origin: int, data: bytes) -> bool:
        """A datagram from a peer; whether it is one of these."""
        told = subscription.decode(data)
        if told is None:
            return False
        number, digest = told
        self._node.counters.add("configuration_heard")
        if number == self.version.number and number and digest != self.version.digest[:16]:
            self._say(f"configuration {number} is another one at node {origin}")
        self._step(EventType.ADVERTISED, number)
        return True
