"""A table of numbered slots.  A number contains the generation of its slot, so a stale number never reaches
the slot's next item."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")
INDEX_BITS = 20  # the low bits of a number are the index of its slot, the others the generation
INDEX_MASK = (1 << INDEX_BITS) - 1


class SlotTable(Generic[T]):
    """Items by number; a freed slot is reused under another number."""

    def __init__(self) -> None:
        """An empty table; numbers distinguish up to 2**20 slots."""
        self._items: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []
        self._count = 0

    def __len__(self) -> int:
        """The number of items."""
        return self._count

    def __iter__(self) -> Iterator[T]:
        """Iterates over a copy: items may be put and freed meanwhile."""
        return iter([item for item in self._items if item is not None])

    def put(self, item: T) -> int:
        """Stores an item and returns its number, which is valid until the item is freed."""
        if self._free:
            index = self._free.pop()
            self._items[index] = item
        else:
            index = len(self._items)
            self._items.append(item)
            self._generations.append(0)
        self._count += 1
        return self._generations[index] << INDEX_BITS | index

    def get(self, number: int) -> T | None:
        """The item with this number, or None if it was freed."""
        index = number & INDEX_MASK
        if index >= len(self._items) or self._generations[index] != number >> INDEX_BITS:
            return None
        return self._items[index]

    def free(self, number: int) -> None:
        """Frees the slot of an item; does nothing for a stale number."""
        if self.get(number) is not None:
            index = number & INDEX_MASK
            self._items[index] = None
            self._generations[index] += 1
            self._free.append(index)
            self._count -= 1
