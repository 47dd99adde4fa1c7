"""What operators' commands ask of the replicas: blocking, one short connection a call."""

from __future__ import annotations

import http.client
import json
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from violetsaddle.decide.document import MAX_DOCUMENT_BYTES, digest

ASK = 2.0  # seconds for an answer at once
WRITE = 10.0  # seconds for a write's
LOOK_EVERY = 0.1  # seconds between two looks at who runs what
PAUSE = 0.3  # seconds between two rounds of tries to write
AGAIN = ("undecided", "behind", "starting", "recovering", "busy", "unreachable")  # worth another try
Clock = Callable[[], float]


class InputError(Exception):
    """What was given can't be used; one line says why."""


class FailedError(Exception):
    """No version was written, or not surely; one line says why."""


class UnreachableError(Exception):
    """No answer that can be read."""


class Reply(NamedTuple):
    """A replica's answer; `body`: its JSON object."""

    status: int
    body: dict[str, Any]

    @property
    def error(self) -> str:
        """The error's name, which programs go by."""
        return str(self.body.get("error", f"status {self.status}"))

    @property
    def text(self) -> str:
        """The error's text, for people."""
        return str(self.body.get("text", f"status {self.status}"))


@dataclass(frozen=True)
class Status:
    """What one replica says; `wrong`: why it says nothing."""

    address: str
    replica: str = "?"
    state: str = "?"
    number: int = 0
    digest: str = ""
    peers: tuple[dict[str, Any], ...] = ()
    nodes: tuple[dict[str, Any], ...] = ()
    wrong: str = ""


@dataclass(frozen=True)
class Rollout:
    """Who runs a version, by all replicas together.  `refused`: the key, by node; `silent`: addresses."""

    number: int
    running: tuple[str, ...] = ()
    waiting: dict[str, int] = field(default_factory=dict)  # the number that each runs
    refused: dict[str, str] = field(default_factory=dict)
    silent: tuple[str, ...] = ()

    @property
    def in_force(self) -> bool:
        """Every node that is heard runs it, and nobody is left who might hear others."""
        return bool(self.running) and not (self.waiting or self.refused or self.silent)

    @property
    def settled(self) -> bool:
        """Nothing more is to be waited for."""
        return bool(self.running or self.refused) and not (self.waiting or self.silent)


def endpoint(text: str) -> tuple[str, int]:
    """`host:port`; raises `InputError`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise InputError(f"{text}: expected host:port")
    return host, int(port)


def call(address: str, method: str, path: str, body: bytes | None = None, wait: float = ASK) -> Reply:
    """One request; raises `UnreachableError`."""
    host, port = endpoint(address)
    line = http.client.HTTPConnection(host, port, timeout=wait)
    try:
        line.request(method, path, body, {"Content-Type": "application/json"} if body else {})
        answer = line.getresponse()
        read = json.loads(answer.read() or b"{}")
        if not isinstance(read, dict):
            raise ValueError("the answer is no object")
        return Reply(answer.status, read)
    except (OSError, http.client.HTTPException, ValueError, RecursionError) as error:
        why = getattr(error, "strerror", None) or str(error) or type(error).__name__
        raise UnreachableError(f"{address}: {' '.join(why.split())[:200]}") from None
    finally:
        line.close()


def _status(address: str) -> Status:
    try:
        reply = call(address, "GET", "/configuration/status")
        told = reply.body
        if reply.status != 200:
            return Status(address, wrong=f"{address}: {reply.text}")
        return Status(
            address,
            str(told["replica"]),
            str(told["state"]),
            int(told["number"]),
            str(told["digest"]),
            tuple(dict(p) for p in told["peers"]),
            tuple({**n, "number": int(n["number"]), "name": str(n["name"])} for n in told["nodes"]),
        )
    except UnreachableError as error:
        return Status(address, wrong=str(error))
    except (KeyError, TypeError, ValueError) as error:
        return Status(address, wrong=f"{address}: its status can't be read: {error!r}"[:200])


def statuses(addresses: Sequence[str]) -> list[Status]:
    """Of all replicas, asked at once."""
    with ThreadPoolExecutor(max(1, len(addresses))) as pool:
        return list(pool.map(_status, addresses))


def rollout(told: Sequence[Status], number: int) -> Rollout:
    """Who runs version `number` or a later one."""
    newest: dict[str, dict[str, Any]] = {}
    for node in (n for status in told for n in status.nodes):
        held = newest.get(node["name"])
        # Several replicas may have heard it: its last word counts.
        if held is None or float(node["seconds_ago"]) < float(held["seconds_ago"]):
            newest[node["name"]] = node
    running, waiting, refused = [], {}, {}
    for name, node in sorted(newest.items()):
        if node["number"] >= number:
            running.append(name)
        elif int(node.get("refused") or 0) >= number:
            refused[name] = str(node.get("why") or "?")
        else:
            waiting[name] = int(node["number"])
    silent = tuple(status.address for status in told if status.wrong)
    return Rollout(number, tuple(running), waiting, refused, silent)


def _constant(text: str) -> None:
    raise ValueError(f"{text} is no JSON")


def checked(data: bytes) -> str:
    """A document's text; raises `InputError` where it is no JSON object or too long."""
    if len(data) > MAX_DOCUMENT_BYTES:
        raise InputError(f"the document is longer than {MAX_DOCUMENT_BYTES} bytes: {len(data)}")
    try:
        text = data.decode("utf-8")
        read = json.loads(text, parse_constant=_constant)
    except (ValueError, RecursionError) as error:
        raise InputError(f"not JSON: {' '.join(str(error).split())[:200]}") from None
    if not isinstance(read, dict):
        raise InputError("expected a JSON object")
    return text


class Accepted(NamedTuple):
    """A version that was accepted, and by which replica it was told."""

    number: int
    digest: str
    replica: str


def write(
    addresses: Sequence[str], document: str, author: str, base: int | None, wait: float, clock: Clock
) -> Accepted:
    """Has a document follow version `base`, or the newest; tried at each replica in turn, for up to `wait`
    seconds.  A try whose end is not known may be repeated: the same author's same document after the same
    base is one write.  Raises `InputError` or `FailedError`."""
    told = statuses(addresses)
    good = [status for status in told if not status.wrong]
    if not good:
        raise FailedError("no replica answers: " + "; ".join(status.wrong for status in told))
    if base is None:
        base = max(status.number for status in good)
    good.sort(key=lambda status: (status.state != "voting", -status.number))
    body = json.dumps(
        {"base": base, "author": author, "digest": digest(document), "document": document}, ensure_ascii=False
    ).encode()
    until, unsure, said = clock() + wait, False, ""
    while True:
        again = False
        for status in good:
            try:
                reply = call(status.address, "POST", "/configuration", body, WRITE)
                error, said = reply.error, f"{status.replica}: {reply.text}"
            except UnreachableError as broken:
                reply, error, said = Reply(503, {}), "unreachable", str(broken)
            if reply.status == 200:
                return Accepted(int(reply.body["number"]), str(reply.body["digest"]), status.replica)
            if reply.status == 409:
                more = "; an earlier try of this write may have taken effect before" if unsure else ""
                raise FailedError(
                    f"conflict: version {reply.body.get('number')} is the newest, not {base}{more}"
                )
            if reply.status in (400, 413, 422):
                key = reply.body.get("key")
                raise InputError(f"refused: {f'{key}: ' if key else ''}{reply.text}")
            unsure = unsure or error in ("undecided", "unreachable")
            again = again or error in AGAIN
        if not again or clock() >= until:
            raise FailedError(said + ("; it may still take effect: see `config show`" if unsure else ""))
        time.sleep(PAUSE)


def follow(
    addresses: Sequence[str], number: int, wait: float, clock: Clock, since: float | None = None
) -> tuple[Rollout, float]:
    """Waits until every node runs a version, for up to `wait` seconds; who does, and how long that took."""
    begun = clock() if since is None else since
    while True:
        found = rollout(statuses(addresses), number)
        spent = clock() - begun
        if found.settled or spent >= wait:
            return found, spent
        time.sleep(LOOK_EVERY)


def newest(addresses: Sequence[str]) -> dict[str, Any]:
    """The newest version that any replica serves, with its document if any.  Raises `FailedError`."""
    good = [status for status in statuses(addresses) if not status.wrong]
    good.sort(key=lambda status: -status.number)
    wrong = "no replica answers"
    for status in good:
        try:
            reply = call(status.address, "GET", "/configuration?after=0")
        except UnreachableError as error:
            wrong = str(error)
            continue
        if reply.status == 200:
            return reply.body
        wrong = f"{status.replica}: {reply.text}"
    raise FailedError(wrong)
