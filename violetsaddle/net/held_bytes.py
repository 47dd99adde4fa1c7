"""Counts bytes of many connections together, against one limit for all of them: those that they hold in
memory, and those that are passed over in a span of time."""

from __future__ import annotations


class ByteAccount:
    """The sum over all connections, in bytes."""

    __slots__ = ("limit", "total")

    def __init__(self, limit: int) -> None:
        """`limit`: bytes that all connections may hold together."""
        self.limit, self.total = limit, 0

    @property
    def room(self) -> int:
        """Bytes that may be added; 0 at the limit."""
        return max(0, self.limit - self.total)

    @property
    def exceeded(self) -> bool:
        """Whether the connections hold more than the limit."""
        return self.total > self.limit


class Share:
    """What one connection adds to an account."""

    __slots__ = ("size", "_account")

    def __init__(self, account: ByteAccount) -> None:
        """Starts with nothing."""
        self.size, self._account = 0, account

    def set(self, size: int) -> None:
        """Replaces what the connection adds by `size` bytes."""
        self._account.total += size - self.size
        self.size = size


class Allowance:
    """Bytes that all connections together may pass over quickly in each span of time."""

    __slots__ = ("_size", "_span", "_left", "_until")

    def __init__(self, size: int, span: int) -> None:
        """`size`: bytes in each span; `span`: microseconds."""
        self._size, self._span, self._left, self._until = size, span, 0, 0

    def left(self, now: int) -> int:
        """Bytes that may still be passed over at `now`, microseconds."""
        if now >= self._until:
            self._left, self._until = self._size, now + self._span
        return self._left

    def take(self, size: int) -> None:
        """Counts bytes that were passed over."""
        self._left = max(0, self._left - size)
