"""Counts the bytes that many connections hold in memory together, against one limit for all of them."""

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
