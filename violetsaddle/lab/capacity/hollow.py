"""What hollow parties share: counts of what passes, and a connection that reads whole messages."""

from __future__ import annotations

import asyncio

import msgspec

from violetsaddle.lab import wire

HOST = "127.0.0.1"


class Traffic(msgspec.Struct):
    """What a node and the hollow parties have exchanged so far.  Bytes are payloads: TCP's stream, UDP's
    datagram.  `in`: towards the node, `out`: from it."""

    told: int = 0  # datagrams from the node
    told_bytes: int = 0
    heard: int = 0  # datagrams to it
    heard_bytes: int = 0
    watch_calls: int = 0
    watch_out_bytes: int = 0
    watch_in_bytes: int = 0
    probes: int = 0
    probe_out_bytes: int = 0
    probe_in_bytes: int = 0
    deletes: int = 0
    delete_bytes: int = 0  # both ways
    attempts: int = 0
    connections: int = 0  # from the node to executors
    calls: int = 0  # callbacks to the node
    served: int = 0
    refused: int = 0
    failed: int = 0  # requests with any other answer, or none

    def since(self, earlier: Traffic) -> Traffic:
        """What has passed since an earlier copy."""
        return Traffic(*(getattr(self, f) - getattr(earlier, f) for f in self.__struct_fields__))

    def copy(self) -> Traffic:
        """A copy that stays as it is."""
        return msgspec.structs.replace(self)

    @property
    def control_bytes(self) -> int:
        """All that is not a request's own: gossip, watch, probes, DELETEs."""
        gossip = self.told_bytes + self.heard_bytes
        watch = self.watch_in_bytes + self.watch_out_bytes
        return gossip + watch + self.probe_in_bytes + self.probe_out_bytes + self.delete_bytes


class HollowError(Exception):
    """A hollow party could not go on; the text says why."""


class Line(asyncio.Protocol):
    """One connection of a hollow party.  `size` is that of the message being handled, in bytes."""

    transport: asyncio.Transport

    def __init__(self, answers: bool) -> None:
        """`answers`: what comes are answers, else requests."""
        self._reader = wire.Reader(answers)
        self.size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the connection's transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Cuts what has come into messages."""
        self.size += len(data)
        for message in self._reader.feed(data):
            self.message(message)
            self.size = 0

    def message(self, message: wire.Message) -> None:
        """A whole message has come."""
        raise NotImplementedError


def watch_faults(loop: asyncio.AbstractEventLoop) -> asyncio.Future[None]:
    """Fails with `HollowError` once a callback of the loop has raised: it would only be logged."""
    failed: asyncio.Future[None] = loop.create_future()

    def handle(_: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        error = context.get("exception")
        if isinstance(error, (ConnectionError, TimeoutError)):
            return  # the other side has gone: nodes end at the end of each run
        if not failed.done():
            failed.set_exception(HollowError(f"{context.get('message')}: {error!r}"))

    loop.set_exception_handler(handle)
    return failed
