"""Members in the order of a hash of their names, for choices without agreement.

Nodes whose views differ in a few members still choose mostly the same ones.
"""

from __future__ import annotations

import bisect
import hashlib
from random import Random

SCORE_BYTES = 8


def hash_score(key: str) -> int:
    """Return the position of ``key`` on the ring."""
    digest = hashlib.blake2b(key.encode(), digest_size=SCORE_BYTES).digest()
    return int.from_bytes(digest, "big")


class HashRing:
    """A set of names, sorted by score; additions and removals cost O(log n) searches."""

    def __init__(self) -> None:
        self._entries: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, name: str) -> None:
        """Add ``name`` unless it is there."""
        entry = (hash_score(name), name)
        index = bisect.bisect_left(self._entries, entry)
        if index == len(self._entries) or self._entries[index] != entry:
            self._entries.insert(index, entry)

    def remove(self, name: str) -> None:
        """Remove ``name`` if it is there."""
        entry = (hash_score(name), name)
        index = bisect.bisect_left(self._entries, entry)
        if index < len(self._entries) and self._entries[index] == entry:
            del self._entries[index]

    def first(self, count: int) -> list[str]:
        """Return the ``count`` names with the lowest scores."""
        return [name for _, name in self._entries[:count]]

    def count_below(self, score: int) -> int:
        """Return how many names score lower."""
        return bisect.bisect_left(self._entries, (score, ""))

    def successors(self, key: str, start: int, count: int) -> list[str]:
        """Return ``count`` names after the position of ``key``, skipping ``start`` first."""
        size = len(self._entries)
        if not size:
            return []
        origin = bisect.bisect_left(self._entries, (hash_score(key), "")) + start
        return [self._entries[(origin + step) % size][1] for step in range(min(count, size))]

    def sample(self, random: Random, count: int) -> list[str]:
        """Return up to ``count`` different names at random."""
        if count >= len(self._entries):
            return [name for _, name in self._entries]
        return [name for _, name in random.sample(self._entries, count)]
