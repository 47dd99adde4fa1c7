"""An epoll wrapper for the reactor that retries changes for which the kernel had no memory.

Twisted closes a connection when `epoll_ctl` fails on it, even if a response is still outstanding. Here the
change is queued and repeated before the next wait."""

from __future__ import annotations

import errno
from typing import Protocol

OUT_OF_MEMORY_ERRORS = (errno.ENOMEM, errno.ENOSPC)
RETRY_INTERVAL_S = 0.005  # longest wait while a change is pending


class Epoll(Protocol):
    """The part of `select.epoll` that `Poller` uses."""

    def fileno(self) -> int:
        """The file descriptor of epoll itself."""

    def close(self) -> None:
        """Closes that descriptor."""

    def register(self, fd: int, eventmask: int) -> None:
        """Starts watching a descriptor; raises `OSError`."""

    def modify(self, fd: int, eventmask: int) -> None:
        """Replaces the events of a watched descriptor; raises `OSError`."""

    def unregister(self, fd: int) -> None:
        """Stops watching a descriptor; raises `OSError`."""

    def poll(self, timeout: float, maxevents: int) -> list[tuple[int, int]]:
        """Waits up to `timeout` seconds; returns (descriptor, events) pairs."""


class Poller:
    """The methods of `select.epoll` that Twisted's reactor uses.

    `register` and `modify` raise `OSError`, except for a lack of memory: then the change is retried."""

    def __init__(self, epoll: Epoll) -> None:
        """`epoll`: the object to wrap."""
        self._epoll = epoll
        self._pending: dict[int, int] = {}  # descriptor -> events that are still to be set

    def fileno(self) -> int:
        """The file descriptor of epoll itself."""
        return self._epoll.fileno()

    def close(self) -> None:
        """Closes that descriptor."""
        self._epoll.close()

    def register(self, descriptor: int, events: int) -> None:
        """Starts watching a descriptor for `events`."""
        try:
            self._epoll.register(descriptor, events)
            self._pending.pop(descriptor, None)
        except OSError as error:
            self._queue_or_raise(descriptor, events, error)

    def modify(self, descriptor: int, events: int) -> None:
        """Replaces the events for which a descriptor is watched."""
        if descriptor in self._pending:
            self._pending[descriptor] = events  # it may not be registered yet
            return
        try:
            self._epoll.modify(descriptor, events)
        except OSError as error:
            self._queue_or_raise(descriptor, events, error)

    def unregister(self, descriptor: int) -> None:
        """Stops watching a descriptor."""
        if self._pending.pop(descriptor, None) is None:
            self._epoll.unregister(descriptor)
            return
        try:
            self._epoll.unregister(descriptor)
        except FileNotFoundError:
            pass  # it was never registered

    def poll(self, timeout: float, max_events: int) -> list[tuple[int, int]]:
        """Waits up to `timeout` seconds (-1: without limit); returns (descriptor, events) pairs."""
        if self._pending:
            self._apply_pending()
        if self._pending:
            timeout = RETRY_INTERVAL_S if timeout < 0 else min(timeout, RETRY_INTERVAL_S)
        return self._epoll.poll(timeout, max_events)

    def _queue_or_raise(self, descriptor: int, events: int, error: OSError) -> None:
        if error.errno not in OUT_OF_MEMORY_ERRORS:
            raise error
        self._pending[descriptor] = events

    def _apply_pending(self) -> None:
        pending, self._pending = self._pending, {}
        for descriptor, events in pending.items():
            try:
                self._epoll.modify(descriptor, events)
            except FileNotFoundError:
                self.register(descriptor, events)
            except OSError as error:
                if error.errno != errno.EBADF:  # EBADF: it was closed in the meantime
                    self._queue_or_raise(descriptor, events, error)
