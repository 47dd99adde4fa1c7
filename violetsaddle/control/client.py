"""Blocking client of the control replicas for the operator's commands.  Each call opens a connection."""

from __future__ import annotations

import http.client
import json
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from violetsaddle.decide.document import MAX_DOCUMENT_BYTES, digest

READ_TIMEOUT = 2.0  # seconds
WRITE_TIMEOUT = 10.0  # seconds
POLL_INTERVAL = 0.1  # seconds between two requests for the status
RETRY_INTERVAL = 0.3  # seconds between two rounds of attempts to write
RETRYABLE_ERRORS = ("undecided", "behind", "starting", "recovering", "busy", "unreachable")
Clock = Callable[[], float]


class InputError(Exception):
    """Raised for unusable input.  The message is one line."""


class FailedError(Exception):
    """Raised if no version was written, or if that is unknown.  The message is one line."""


class UnreachableError(Exception):
    """Raised if a replica gives no valid answer."""


class Reply(NamedTuple):
    """A replica's answer.  `body` is its JSON object."""

    status: int
    body: dict[str, Any]

    @property
    def error(self) -> str:
        """The error's name, for programs."""
        return str(self.body.get("error", f"status {self.status}"))

    @property
    def text(self) -> str:
        """The error's text, for people."""
        return str(self.body.get("text", f"status {self.status}"))


@dataclass(frozen=True)
class Status:
    """The status of one replica.  `failure` says why it is not available, and is "" otherwise."""

    address: str
    replica: str = "?"
    state: str = "?"
    number: int = 0
    digest: str = ""
    peers: tuple[dict[str, Any], ...] = ()
    nodes: tuple[dict[str, Any], ...] = ()
    failure: str = ""


@dataclass(frozen=True)
class Rollout:
    """Which nodes run a version, according to all replicas.

    `running` holds the names of the nodes that run it or a later one.  `refused` holds the key that each node
    refused, and `waiting` the version that each of the other nodes runs.  `unavailable` holds the addresses
    of the replicas that gave no status."""

    number: int
    running: tuple[str, ...] = ()
    waiting: dict[str, int] = field(default_factory=dict)
    refused: dict[str, str] = field(default_factory=dict)
    unavailable: tuple[str, ...] = ()

    @property
    def in_force(self) -> bool:
        """Whether every known node runs it, and no replica is unavailable that may know other nodes."""
        return bool(self.running) and not (self.waiting or self.refused or self.unavailable)

    @property
    def settled(self) -> bool:
        """Whether further waiting can't change the result."""
        return bool(self.running or self.refused) and not (self.waiting or self.unavailable)


def endpoint(text: str) -> tuple[str, int]:
    """Parses `host:port`.  Raises `InputError`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise InputError(f"{text}: expected host:port")
    return host, int(port)


def call(
    address: str, method: str, path: str, body: bytes | None = None, wait: float = READ_TIMEOUT
) -> Reply:
    """Sends one request with a timeout of `wait` seconds.  Raises `UnreachableError`."""
    host, port = endpoint(address)
    connection = http.client.HTTPConnection(host, port, timeout=wait)
    try:
        connection.request(method, path, body, {"Content-Type": "application/json"} if body else {})
        response = connection.getresponse()
        decoded = json.loads(response.read() or b"{}")
        if not isinstance(decoded, dict):
            raise ValueError("the answer is not a JSON object")
        return Reply(response.status, decoded)
    except (OSError, http.client.HTTPException, ValueError, RecursionError) as error:
        reason = getattr(error, "strerror", None) or str(error) or type(error).__name__
        raise UnreachableError(f"{address}: {' '.join(reason.split())[:200]}") from None
    finally:
        connection.close()


def _status(address: str) -> Status:
    try:
        reply = call(address, "GET", "/configuration/status")
        body = reply.body
        if reply.status != 200:
            return Status(address, failure=f"{address}: {reply.text}")
        return Status(
            address,
            str(body["replica"]),
            str(body["state"]),
            int(body["number"]),
            str(body["digest"]),
            tuple(dict(peer) for peer in body["peers"]),
            tuple(
                {**node, "number": int(node["number"]), "name": str(node["name"])} for node in body["nodes"]
            ),
        )
    except UnreachableError as error:
        return Status(address, failure=str(error))
    except (KeyError, TypeError, ValueError) as error:
        return Status(address, failure=f"{address}: invalid status: {error!r}"[:200])


def statuses(addresses: Sequence[str]) -> list[Status]:
    """Returns the status of each replica.  All are queried in parallel."""
    with ThreadPoolExecutor(max(1, len(addresses))) as pool:
        return list(pool.map(_status, addresses))


def rollout(replica_statuses: Sequence[Status], number: int) -> Rollout:
    """Returns which nodes run version `number` or a later one."""
    latest: dict[str, dict[str, Any]] = {}
    for node in (entry for status in replica_statuses for entry in status.nodes):
        known = latest.get(node["name"])
        # A node may have reported to several replicas: the newest report counts.
        if known is None or float(node["seconds_ago"]) < float(known["seconds_ago"]):
            latest[node["name"]] = node
    running, waiting, refused = [], {}, {}
    for name, node in sorted(latest.items()):
        if node["number"] >= number:
            running.append(name)
        elif int(node.get("refused") or 0) >= number:
            refused[name] = str(node.get("why") or "?")
        else:
            waiting[name] = int(node["number"])
    unavailable = tuple(status.address for status in replica_statuses if status.failure)
    return Rollout(number, tuple(running), waiting, refused, unavailable)


def _reject_constant(text: str) -> None:
    raise ValueError(f"{text} is not valid JSON")


def decode_document(data: bytes) -> str:
    """Decodes a document.  Raises `InputError` if it is not a JSON object or is too long."""
    if len(data) > MAX_DOCUMENT_BYTES:
        raise InputError(f"the document is longer than {MAX_DOCUMENT_BYTES} bytes: {len(data)}")
    try:
        text = data.decode("utf-8")
        decoded = json.loads(text, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise InputError(f"not JSON: {' '.join(str(error).split())[:200]}") from None
    if not isinstance(decoded, dict):
        raise InputError("expected a JSON object")
    return text


class Accepted(NamedTuple):
    """An accepted version, and the replica that accepted the write."""

    number: int
    digest: str
    replica: str


def write(
    addresses: Sequence[str], document: str, author: str, base: int | None, wait: float, clock: Clock
) -> Accepted:
    """Writes a document as the successor of version `base`, or of the newest if `base` is None.

    Tries each replica in turn, for up to `wait` seconds.  An attempt with an unknown outcome may be repeated,
    because the same author, document and base identify one write.  Raises `InputError` or `FailedError`."""
    replica_statuses = statuses(addresses)
    available = [status for status in replica_statuses if not status.failure]
    if not available:
        raise FailedError("no replica answers: " + "; ".join(status.failure for status in replica_statuses))
    if base is None:
        base = max(status.number for status in available)
    available.sort(key=lambda status: (status.state != "voting", -status.number))
    body = json.dumps(
        {"base": base, "author": author, "digest": digest(document), "document": document}, ensure_ascii=False
    ).encode()
    deadline, outcome_unknown, last_error = clock() + wait, False, ""
    while True:
        retryable = False
        for status in available:
            try:
                reply = call(status.address, "POST", "/configuration", body, WRITE_TIMEOUT)
                error, last_error = reply.error, f"{status.replica}: {reply.text}"
            except UnreachableError as unreachable:
                reply, error, last_error = Reply(503, {}), "unreachable", str(unreachable)
            if reply.status == 200:
                return Accepted(int(reply.body["number"]), str(reply.body["digest"]), status.replica)
            if reply.status == 409:
                note = "; an earlier attempt of this write may have taken effect" if outcome_unknown else ""
                raise FailedError(
                    f"conflict: version {reply.body.get('number')} is the newest, not {base}{note}"
                )
            if reply.status in (400, 413, 422):
                key = reply.body.get("key")
                raise InputError(f"refused: {f'{key}: ' if key else ''}{reply.text}")
            outcome_unknown = outcome_unknown or error in ("undecided", "unreachable")
            retryable = retryable or error in RETRYABLE_ERRORS
        if not retryable or clock() >= deadline:
            raise FailedError(
                last_error + ("; it may still take effect: see `config show`" if outcome_unknown else "")
            )
        time.sleep(RETRY_INTERVAL)


def wait_for_rollout(
    addresses: Sequence[str], number: int, wait: float, clock: Clock, since: float | None = None
) -> tuple[Rollout, float]:
    """Waits up to `wait` seconds until every node runs version `number`.

    Returns the last rollout and the seconds passed since the clock time `since`, or since the call."""
    started = clock() if since is None else since
    while True:
        current = rollout(statuses(addresses), number)
        elapsed = clock() - started
        if current.settled or elapsed >= wait:
            return current, elapsed
        time.sleep(POLL_INTERVAL)


def newest_version(addresses: Sequence[str]) -> dict[str, Any]:
    """Returns the newest version that any replica serves, with its document if it has one.

    Raises `FailedError`."""
    available = [status for status in statuses(addresses) if not status.failure]
    available.sort(key=lambda status: -status.number)
    last_error = "no replica answers"
    for status in available:
        try:
            reply = call(status.address, "GET", "/configuration?after=0")
        except UnreachableError as error:
            last_error = str(error)
            continue
        if reply.status == 200:
            return reply.body
        last_error = f"{status.replica}: {reply.text}"
    raise FailedError(last_error)
