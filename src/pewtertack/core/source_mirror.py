"""The items below one prefix of a source that keeps items, as of one of its revisions."""

from __future__ import annotations

import math

SPOILT = b""
"""Stands for a value that cannot be told: no document is empty."""


class Mirror:
    """The items below one prefix as of the source's revision ``at``; 0 before the first list.

    Args:
        prefix: of the items' keys.
        evacuations: the prefix below which an item stands for each evacuated zone.
    """

    def __init__(self, prefix: str, evacuations: str = "") -> None:
        self.prefix = prefix
        self._evacuations = evacuations
        self._named: set[str] = set()
        self._copied: dict[str, int] = {}
        """Evacuations that the era's first list showed, by key, with their items' creation."""
        self.items: dict[str, bytes] = {}
        """Their bytes; ``SPOILT`` for one that the source hands out in no known form."""
        self.made: dict[str, int] = {}
        """The revisions of their creation."""
        self.readable = b""
        """The last configuration that could be read; it holds while a newer one cannot."""
        self.at = 0
        """From which revision a watch goes on."""
        self.era: int | None = None
        """The era of ``at``: in another one that revision is of other writes."""
        self.number = 0
        """The revision of the newest change that is known to be in ``items``.

        Readers that follow the source without a gap number a change alike.
        """
        self.told = 0
        """The number of the newest tree that was made of it."""
        self.stale = False
        """Whether it comes from a stale list that no watch has followed yet."""

    def empty(self) -> Mirror:
        """Return an empty mirror of the same items."""
        return Mirror(self.prefix, self._evacuations)

    def take(self, key: str, value: bytes | None, made: int) -> None:
        """Take in one item; ``value`` is ``None`` where it is gone."""
        if self._evacuations and key.startswith(self._evacuations):
            self._named.add(key)
            self._copied.pop(key, None)
        if value is None:
            self.items.pop(key, None)
            self.made.pop(key, None)
            return
        self.items[key] = value
        self.made[key] = made

    def take_list(self, listed: Mirror) -> None:
        """Take over what a whole list shows."""
        if listed.era != self.era:
            self._copied = {key: listed.made[key] for key in listed._named}
        self.items, self.made = listed.items, listed.made
        self._named = listed._named if listed.era != self.era else self._named | listed._named
        self.at, self.era, self.stale = listed.at, listed.era, listed.stale
        self.number = listed.at

    def by_age(self, prefix: str) -> dict[str, bytes]:
        """Return the values of the items below ``prefix``, the oldest item first."""
        keys = [key for key in self.items if key.startswith(prefix)]
        keys.sort(key=lambda key: (self.made[key], key))
        return {key.removeprefix(prefix): self.items[key] for key in keys}

    def has_named(self, zone: str) -> bool:
        """Tell whether the present era has said anything of the zone's evacuation."""
        return self._evacuations + zone in self._named

    def has_copied(self, zone: str, until: float = math.inf) -> bool:
        """Tell whether an evacuation stands here as it was before the era, made by ``until``."""
        key = self._evacuations + zone
        made = self._copied.get(key)
        return made is not None and self.made.get(key) == made <= until

    def evacuated(self) -> list[str]:
        """Return the zones whose evacuation the mirror shows."""
        prefix = self._evacuations
        return [key.removeprefix(prefix) for key in self.items if prefix and key.startswith(prefix)]
