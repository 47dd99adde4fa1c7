"""The reactor's epoll, whose changes are made again where the kernel had no memory for them.

Twisted closes a connection when `epoll_ctl` fails on it, whatever the connection still owes.  Here the change
is kept, and made before the next wait."""

from __future__ import annotations

import errno
from typing import Protocol

NO_MEMORY = (errno.ENOMEM, errno.ENOSPC)
AGAIN = 0.005  # seconds for which to wait at most while a change is still to be made


class Epoll(Protocol):
    """What is used of `select.epoll`."""

    def fileno(self) -> int:
        """Its descriptor."""

    def close(self) -> None:
        """Closes it."""

    def register(self, fd: int, eventmask: int) -> None:
        """Raises `OSError`."""

    def modify(self, fd: int, eventmask: int) -> None:
        """Raises `OSError`."""

    def unregister(self, fd: int) -> None:
        """Raises `OSError`."""

    def poll(self, timeout: float, maxevents: int) -> list[tuple[int, int]]:
        """(descriptor, events) pairs."""


class Poller:
    """What Twisted's reactor uses of `select.epoll`.  `register` and `modify` raise `OSError`, but not for a
    lack of memory."""

    def __init__(self, epoll: Epoll) -> None:
        """`epoll`: what it stands in front of."""
        self._epoll = epoll
        self._late: dict[int, int] = {}  # events by descriptor, as they are still to be set

    def fileno(self) -> int:
        """The descriptor of epoll itself."""
        return self._epoll.fileno()

    def close(self) -> None:
        """Closes that descriptor."""
        self._epoll.close()

    def register(self, descriptor: int, events: int) -> None:
        """Watches a descriptor for these events."""
        try:
            self._epoll.register(descriptor, events)
            self._late.pop(descriptor, None)
        except OSError as error:
            self._keep(descriptor, events, error)

    def modify(self, descriptor: int, events: int) -> None:
        """Watches it for these events in place of those before."""
        if descriptor in self._late:
            self._late[descriptor] = events  # it may not be registered yet
            return
        try:
            self._epoll.modify(descriptor, events)
        except OSError as error:
            self._keep(descriptor, events, error)

    def unregister(self, descriptor: int) -> None:
        """Watches it no more."""
        if self._late.pop(descriptor, None) is None:
            self._epoll.unregister(descriptor)
            return
        try:
            self._epoll.unregister(descriptor)
        except FileNotFoundError:
            pass  # it never was

    def poll(self, timeout: float, most: int) -> list[tuple[int, int]]:
        """Waits for so many seconds at most (-1: without end) and gives (descriptor, events) pairs."""
        if self._late:
            self._make_changes()
        if self._late:
            timeout = AGAIN if timeout < 0 else min(timeout, AGAIN)
        return self._epoll.poll(timeout, most)

    def _keep(self, descriptor: int, events: int, error: OSError) -> None:
        if error.errno not in NO_MEMORY:
            raise error
        self._late[descriptor] = events

    def _make_changes(self) -> None:
        late, self._late = self._late, {}
        for descriptor, events in late.items():
            try:
                self._epoll.modify(descriptor, events)
            except FileNotFoundError:
                self.register(descriptor, events)
            except OSError as error:
                if error.errno != errno.EBADF:  # else it was closed meanwhile
                    self._keep(descriptor, events, error)
