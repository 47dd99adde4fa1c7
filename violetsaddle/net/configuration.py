"""Applies newer settings while the node runs: polls the configuration replicas and gossips with other nodes.

Connects `decide.subscription` and `decide.document` to the node.  It is imported only if the operator file
has a section for it."""

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
from violetsaddle.operator import Configuration
from violetsaddle.store.files import DamagedError

MAX_ANSWER_BYTES = 512 * 1024  # a document of 64 KiB within JSON
IMMEDIATE_ANSWER_TIMEOUT = SECOND  # for a poll that the replica must not hold open
MAX_LOGGED_CHANGES = 5  # in one log line
MAX_LOG_LINE_LENGTH = 300  # characters
MAX_NAME_LENGTH = 128  # characters

T = TypeVar("T")


class BadAnswerError(Exception):
    """A replica's answer is not valid; the message says why, for the log."""


class Version(NamedTuple):
    """A version of the configuration; `digest` is the digest of `document`, in 32 hexadecimal digits."""

    number: int  # 0: the settings in the node's configuration file
    digest: str
    author: str
    document: str

    @property
    def log_name(self) -> str:
        """The version as log lines name it."""
        return f"configuration {self.number} by {self.author} ({self.digest[:8]})"


class Answer(NamedTuple):
    """A valid answer of a replica."""

    number: int
    version: Version | None  # None: the replica has no version newer than the one in the poll


class ValidatedVersion(NamedTuple):
    """A version that passed all checks of this node."""

    version: Version
    document_settings: Mapping[str, Any]  # for all nodes, as in the document
    node_settings: Settings  # for this node


def _read_field(table: Mapping[str, Any], name: str, kind: type[T]) -> T:
    value = table.get(name)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise BadAnswerError(f"{name} is missing or of another type")
    return value


def _read_version(table: Mapping[str, Any]) -> Version:
    number, digest = _read_field(table, "number", int), _read_field(table, "digest", str)
    author, text = _read_field(table, "author", str), _read_field(table, "document", str)
    if not 0 < number <= subscription.MAX_VERSION_NUMBER:
        raise BadAnswerError("its number is out of range")
    if document.digest(text) != digest:
        raise BadAnswerError("its digest is another")
    return Version(number, digest, author, text)


def parse_answer(status: int, body: bytes) -> Answer:
    """Returns the answer in a replica's response; raises `BadAnswerError` if it is not valid."""
    if status != 200:
        raise BadAnswerError(f"status {status}")
    try:
        table = json.loads(body)
    except (ValueError, RecursionError):
        raise BadAnswerError("the body is not JSON") from None
    if not isinstance(table, dict):
        raise BadAnswerError("the body is not a JSON object")
    if "document" not in table:
        number = _read_field(table, "number", int)
        if not 0 <= number <= subscription.MAX_VERSION_NUMBER:
            raise BadAnswerError("its number is out of range")
        return Answer(number, None)
    try:
        version = _read_version(table)
    except BadAnswerError as error:
        raise BadVersionError(f"configuration {table.get('number')!r}", str(error)) from None
    return Answer(version.number, version)


class BadVersionError(BadAnswerError):
    """An answer contains a damaged version."""

    def __init__(self, version_name: str, reason: str) -> None:
        """`version_name`: the version as log lines name it."""
        super().__init__(reason)
        self.version_name = version_name


def quote_name(text: str) -> str:
    """Returns a name in the form that replicas accept, quoted for a query string.

    It is cut to `MAX_NAME_LENGTH`; spaces and characters that can't be printed become underscores."""
    return quote("".join(c if c.isprintable() and c != " " else "_" for c in text[:MAX_NAME_LENGTH]), "")


def encode_snapshot(version: Version) -> bytes:
    """Returns the content of the snapshot file: a checksum in hexadecimal digits, a line feed, and JSON."""
    text = json.dumps(version._asdict())
    return f"{document.digest(text)}\n{text}".encode("utf-8", "surrogatepass")


def decode_snapshot(data: bytes) -> Version:
    """Returns the version in a snapshot file; raises `DamagedError` if the file is damaged."""
    try:
        checksum, _, text = data.decode("utf-8").partition("\n")
        if document.digest(text) != checksum:
            raise DamagedError("its checksum is wrong")
        return _read_version(json.loads(text))
    except (ValueError, RecursionError, AttributeError, BadAnswerError) as error:
        raise DamagedError(f"it can't be read: {error}"[:200]) from None


def subscriber_factory(options: Configuration) -> Callable[[Node], Subscriber]:
    """Returns the function by which `Node` makes its `Subscriber`.

    `options`: the section of the operator file."""

    def make(node: Node) -> Subscriber:
        return Subscriber(
            node, options, File(options.snapshot) if options.snapshot else None, in_thread(node.reactor)
        )

    return make


class Subscriber:
    """Polls the replicas, applies newer versions and gossips about them.  Implements `node.Configurer`."""

    def __init__(
        self, node: Node, options: Configuration, disk: Disk | None, background: BackgroundRunner
    ) -> None:
        """`disk`: keeps the newest version, None: not kept; `background`: runs the writes to it."""
        self._node, self._options, self._disk, self._background = node, options, disk, background
        config = node.config
        self._baseline = document.baseline_of(config.settings)
        self._document_settings: Mapping[str, Any] = self._baseline  # of the applied version
        self.version = Version(0, "", "", "")  # the applied one
        self._random = Random()
        self._addresses = options.addresses
        self._rules = subscription.Rules(
            len(self._addresses), config.told.schedulers, options.watch_wait_ms * MS
        )
        self._state: State | None = None  # None: `begin` was not called yet
        self._wake_deadline: Deadline | None = None
        self._call_number = 0  # results of a cancelled call must not count for the current one
        self._running_call: Deferred[None] | None = None
        self._connection: ServerConnection | None = None
        self._connected_address: tuple[str, int] | None = None
        self._last_refused: tuple[int, str] | None = None  # version number, and the key at fault
        self._last_log_line = ""
        self._written_number = 0  # of the version on the disk
        self._write_running = self._write_failing = False
        self._peers: Peers | None = None
        node_count = min(config.told.schedulers, len(config.peers))
        self._neighbours = subscription.neighbours(config.told.me, node_count, options.gossip_peers)

    # Called by the node.

    def begin(self) -> None:
        """Applies the snapshot on the disk, before the node accepts connections."""
        node = self._node
        try:
            data = self._disk.read() if self._disk is not None else None
            if data is not None:
                self._apply(self._validate(decode_snapshot(data)))
                self._written_number = self.version.number
        except DamagedError as error:
            self._log_once(f"configuration: the snapshot is not used: {error}")
        except (document.DocumentError, SettingsError) as error:
            self._log_once(f"configuration: the snapshot is not used: it is for another site: {error}")
        except Exception as error:  # A bug here must not stop the start: the replicas have the version too.
            node.counters.fault("configuration: the snapshot is not used", error)
        now, me = node.deadlines.now(), node.config.told.me
        self._state = subscription.initial_state(self._rules, me, self.version.number, now)

    def follow(self) -> None:
        """Starts to poll the replicas and to gossip."""
        self._schedule_wake()
        interval = self._options.gossip_every_ms * MS
        self._node.deadlines.after(int(interval * self._random.random()), self._repeat)

    def meet(self, peers: Peers) -> None:
        """Takes the channel to the peers; its datagrams are offered to this object first."""
        previous = peers.datagram_handler
        self._peers = peers
        peers.datagram_handler = lambda origin, data: (
            self._receive_gossip(origin, data) or (previous is not None and previous(origin, data))
        )

    def stop(self) -> None:
        """Stops polling and gossip; called when the node ends."""
        self._step(EventType.STOP)

    # The state machine and its actions.

    def _step(self, event: EventType, number: int = 0, validated: ValidatedVersion | None = None) -> None:
        if self._state is None:
            return
        now, random = self._node.deadlines.now(), self._random.random()
        step = subscription.step(self._state, self._rules, event, now, random, number)
        self._state = step.state
        if step.cancel_poll:
            self._cancel_call()
        if step.apply and validated is not None:
            self._apply(validated)
            self._send_gossip()
            self._save()
        if step.poll is not None:
            self._start_call(step.poll)
        self._schedule_wake()

    def _schedule_wake(self) -> None:
        deadlines, state = self._node.deadlines, self._state
        deadlines.drop(self._wake_deadline)
        self._wake_deadline = (
            deadlines.add(state.due, self._on_wake) if state is not None and state.due else None
        )

    def _on_wake(self) -> None:
        self._step(EventType.WAKE)

    def _log_once(self, text: str) -> None:
        """Logs a line, unless it is the same as the last one."""
        line = "".join(c if c.isprintable() else ascii(c)[1:-1] for c in text[:MAX_LOG_LINE_LENGTH])
        if line != self._last_log_line:
            self._last_log_line = line
            self._node.counters.say(line)

    # Versions.

    def _validate(self, version: Version) -> ValidatedVersion:
        """Checks a version for this node; raises `DocumentError` or `SettingsError`."""
        config = self._node.config
        document_settings = document.check(self._baseline, version.document)
        node_document = document.for_node(version.document, config.told.me, config.told.zone)
        node_settings = settings.read(node_document)[1]
        config.told.check_change(node_settings)
        return ValidatedVersion(version, document_settings, node_settings)

    def _apply(self, validated: ValidatedVersion) -> None:
        node = self._node
        node.reconfigure(validated.node_settings)
        changes = document.changes(self._document_settings, validated.document_settings)
        self.version, self._document_settings = validated.version, validated.document_settings
        node.counters.most("configuration_number", validated.version.number)
        node.counters.add("configurations_applied")
        logged = changes[:MAX_LOGGED_CHANGES] or ["nothing else than before"]
        more = [f"and {len(changes) - MAX_LOGGED_CHANGES} more"] if len(changes) > MAX_LOGGED_CHANGES else []
        self._log_once(f"{validated.version.log_name} is in force: {', '.join(logged + more)}")

    # Calls.

    def _start_call(self, poll: Poll) -> None:
        self._call_number += 1
        self._running_call = Deferred.fromCoroutine(self._poll(poll, self._call_number))
        self._running_call.addErrback(self._call_raised, self._call_number)

    def _cancel_call(self) -> None:
        self._call_number += 1
        running, self._running_call = self._running_call, None
        if running is not None:
            running.cancel()
        self._close_connection()

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.transport.abortConnection()
            self._connection = None

    def _call_raised(self, reason: Reason, call_number: int) -> None:
        """Counts an exception that only a bug can raise as a failed call too."""
        self._node.counters.fault("the call for a configuration failed", reason.value)
        if call_number == self._call_number:
            self._call_failed()

    def _call_failed(self) -> None:
        self._node.counters.add("configuration_failed")
        self._close_connection()
        self._step(EventType.FAILED)

    async def _poll(self, poll: Poll, call_number: int) -> None:
        address = self._addresses[poll.replica]
        try:
            message = await self._exchange(poll, address)
            answer = parse_answer(message.status, bytes(message.body))
        except (NotConnectedError, BrokenError, CancelledError, BadAnswerError) as error:
            if call_number != self._call_number:
                return
            if isinstance(error, BadVersionError):
                self._node.counters.add("configurations_refused")
                self._log_once(f"{error.version_name} from {address[0]}:{address[1]}: {error}")
            self._call_failed()
            return
        if call_number == self._call_number:
            self._handle_answer(answer)

    async def _exchange(self, poll: Poll, address: tuple[str, int]) -> http.Message:
        node, options = self._node, self._options
        if self._connection is None or not self._connection.open or self._connected_address != address:
            self._close_connection()
            self._connection = await dial(
                node.reactor,
                node.deadlines,
                node.limits.dial << poll.doublings,
                *address,
                lambda: ServerConnection(node.limits, lambda _: None, MAX_ANSWER_BYTES),
            )
            self._connected_address = address
        wait = options.watch_wait_ms if poll.hold else 0
        target = f"/configuration?after={poll.after}&wait_ms={wait}&node={quote_name(node.config.name)}"
        if self._last_refused is not None and self._last_refused[0] > poll.after:
            target += f"&refused={self._last_refused[0]}&why={quote_name(self._last_refused[1])}"
        node.counters.add("configuration_calls")
        response = self._connection.exchange(
            [http.request("GET", target, f"{address[0]}:{address[1]}")], kept_body=MAX_ANSWER_BYTES
        )
        timeout = (wait + options.watch_grace_ms) * MS if poll.hold else IMMEDIATE_ANSWER_TIMEOUT
        deadline = node.deadlines.after(timeout << poll.doublings, response.cancel)
        try:
            return await response
        finally:
            node.deadlines.drop(deadline)

    def _handle_answer(self, answer: Answer) -> None:
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
                self._node.counters.add("configuration_failed")  # not an answer to this poll
            self._step(EventType.NO_VERSION if version is None else EventType.NEW_VERSION, answer.number)
            return
        try:
            validated = self._validate(version)
        except (document.DocumentError, SettingsError) as error:
            key = error.key if isinstance(error, document.DocumentError) else str(error)
            self._node.counters.add("configurations_refused")
            self._last_refused = version.number, key or "document"
            self._log_once(f"{version.log_name} refused: {error}")
            self._step(EventType.UNUSABLE_VERSION, version.number)
            return
        self._step(EventType.NEW_VERSION, version.number, validated)

    # The snapshot.

    def _save(self) -> None:
        """Writes the applied version, unless it is on the disk already.

        While the node is paused, another process serves for this node, and the file belongs to that."""
        disk, version, node = self._disk, self.version, self._node
        if disk is None or self._write_running or node.paused or self._written_number >= version.number:
            return
        self._write_running, data = True, encode_snapshot(version)
        self._background(lambda: disk.write(data), lambda error: self._save_finished(version.number, error))

    def _save_finished(self, number: int, error: Exception | None) -> None:
        self._write_running = False
        if error is not None:  # `_repeat` retries
            if not self._write_failing:
                reason = getattr(error, "strerror", None) or f"{type(error).__name__}: {error}"
                self._log_once(f"configuration: the snapshot can't be written: {reason}")
            self._write_failing = True
            return
        self._write_failing, self._written_number = False, number
        self._save()

    # Peers.

    def _repeat(self) -> None:
        """Repeats gossip and snapshot at an interval: datagrams may be lost, and a write may have failed."""
        if self._state is not None and self._state.phase is Phase.STOPPED:
            return
        self._node.deadlines.after(self._options.gossip_every_ms * MS, self._repeat)
        self._send_gossip()
        self._save()

    def _send_gossip(self) -> None:
        peers, version = self._peers, self.version
        if peers is None or not version.number or self._node.paused:
            return
        data = subscription.encode(version.number, version.digest)
        for number in self._neighbours:
            self._node.counters.add("configuration_told")
            peers.send(number, data)

    def _receive_gossip(self, origin: int, data: bytes) -> bool:
        """Handles a datagram from a peer; returns whether it is gossip about a configuration."""
        advertised = subscription.decode(data)
        if advertised is None:
            return False
        number, digest = advertised
        self._node.counters.add("configuration_heard")
        if number == self.version.number and number and digest != self.version.digest[:16]:
            self._log_once(f"configuration {number} is another one at node {origin}")
        self._step(EventType.ADVERTISED, number)
        return True
