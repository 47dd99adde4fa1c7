"""Numbered slots.  A number holds a generation too, so that one kept too long never reaches the next
occupant of its slot."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")
INDEX_BITS = 20
INDEX_MASK = (1 << INDEX_BITS) - 1


class SlotTable(Generic[T]):
    """Items by number; a slot that was freed is used again under another number."""

    def __init__(self) -> None:
        """Empty; its numbers tell up to 2**20 slots apart."""
        self._items: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []
        self._held = 0

    def __len__(self) -> int:
        """How many slots are taken."""
        return self._held

    def __iter__(self) -> Iterator[T]:
        """Over a copy: items may be put and freed meanwhile."""
        return iter([item for item in self._items if item is not None])

    def put(self, item: T) -> int:
        """The number under which the item is found until it is freed."""
        if self._free:
            index = self._free.pop()
            self._items[index] = item
        else:
            index = len(self._items)
            self._items.append(item)
            self._generations.append(0)
        self._held += 1
        return self._generations[index] << INDEX_BITS | index

    def get(self, number: int) -> T | None:
        """The item, or None once it was freed."""
        index = number & INDEX_MASK
        if index >= len(self._items) or self._generations[index] != number >> INDEX_BITS:
            return None
        return self._items[index]

    def free(self, number: int) -> None:
        """Freeing a stale number does nothing."""
        if self.get(number) is not None:
            index = number & INDEX_MASK
            self._items[index] = None
            self._generations[index] += 1
            self._free.append(index)
            self._held -= 1
