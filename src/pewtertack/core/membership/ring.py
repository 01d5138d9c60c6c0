"""Consistent hashing of member names, used to select members without coordination.

Nodes whose member tables differ in a few entries still select mostly the same members.
"""

from __future__ import annotations

import bisect
import hashlib
from random import Random

SCORE_BYTES = 8


def hash_score(key: str) -> int:
    """Return the hash of ``key`` that determines its position on the ring."""
    digest = hashlib.blake2b(key.encode(), digest_size=SCORE_BYTES).digest()
    return int.from_bytes(digest, "big")


class HashRing:
    """A set of names sorted by hash score; adding or removing one takes a binary search."""

    def __init__(self) -> None:
        self._entries: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, name: str) -> None:
        """Add ``name`` unless it is already present."""
        entry = (hash_score(name), name)
        index = bisect.bisect_left(self._entries, entry)
        if index == len(self._entries) or self._entries[index] != entry:
            self._entries.insert(index, entry)

    def remove(self, name: str) -> None:
        """Remove ``name`` if it is present."""
        entry = (hash_score(name), name)
        index = bisect.bisect_left(self._entries, entry)
        if index < len(self._entries) and self._entries[index] == entry:
            del self._entries[index]

    def first(self, count: int) -> list[str]:
        """Return the ``count`` names with the lowest scores."""
        return [name for _, name in self._entries[:count]]

    def count_below(self, score: int) -> int:
        """Return the number of names with a score lower than ``score``."""
        return bisect.bisect_left(self._entries, (score, ""))

    def successors(self, key: str, start: int, count: int) -> list[str]:
        """Return up to ``count`` names after the position of ``key``, skipping ``start`` names."""
        size = len(self._entries)
        if not size:
            return []
        origin = bisect.bisect_left(self._entries, (hash_score(key), "")) + start
        return [self._entries[(origin + step) % size][1] for step in range(min(count, size))]

    def sample(self, random: Random, count: int) -> list[str]:
        """Return up to ``count`` distinct names, chosen at random."""
        if count >= len(self._entries):
            return [name for _, name in self._entries]
        return [name for _, name in random.sample(self._entries, count)]
