"""The items below one prefix of a source that keeps items, as of one of its revisions."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from enum import Enum
from typing import Protocol

UNREADABLE = b""
"""Stands for a value that could not be read; no document is empty."""


class RefreshResult(Enum):
    """What a read has found."""

    SAME = "the mirror shows what the source does"
    CHANGED = "the mirror has changed, or is new"
    OVERTAKEN = "another read has already given a later revision"


class Change(Protocol):
    """One item as it was written, or its deletion."""

    @property
    def key(self) -> str:
        """The item's key."""

    @property
    def revision(self) -> int:
        """The revision of the write; 0 if it is unknown."""

    @property
    def made(self) -> int:
        """The revision of the item's creation."""

    def content(self) -> bytes | None:
        """Return its bytes; ``None`` where it is gone."""


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
        """Their bytes; ``UNREADABLE`` for one that the source hands out in no known form."""
        self.created_revisions: dict[str, int] = {}
        """The revisions of their creation."""
        self.last_readable = b""
        """The last configuration that could be read; it holds while a newer one cannot."""
        self.last_readable_version = 0
        """Its version."""
        self.watch_revision = 0
        """From which revision a watch goes on."""
        self.era: int | None = None
        """The era of ``at``: in another one that revision is of other writes."""
        self.change_revision = 0
        """The revision of the newest change that is known to be in ``items``.

        Readers that follow the source without a gap number a change alike.
        """
        self.tree_number = 0
        """The number of the newest tree that was made of it."""
        self.stale = False
        """Whether it comes from a stale list that no watch has followed yet."""

    def new_empty(self) -> Mirror:
        """Return an empty mirror of the same items."""
        return Mirror(self.prefix, self._evacuations)

    def apply_item(self, key: str, value: bytes | None, made: int) -> None:
        """Take in one item; ``value`` is ``None`` where it is gone."""
        if self._evacuations and key.startswith(self._evacuations):
            self._named.add(key)
            self._copied.pop(key, None)
        if value is None:
            self.items.pop(key, None)
            self.created_revisions.pop(key, None)
            return
        self.items[key] = value
        self.created_revisions[key] = made

    def apply_page(self, items: Sequence[Change], at: int) -> None:
        """Take in one page of a list, answered as of revision ``at``.

        Pages of a stale list may be of different ages and do not give the revision that they
        show, so a watch goes on from the newest item of the oldest page.
        """
        shown = min(at, _newest_of(items)) if self.stale else at
        self.watch_revision = (
            min(self.watch_revision, shown)
            if self.stale and self.watch_revision
            else self.watch_revision or shown
        )
        for item in items:
            self.apply_item(item.key, item.content(), item.made)

    def apply_changes(self, after: int, at: int, changes: Iterable[Change]) -> RefreshResult:
        """Take in the answer to a watch; several may be under way at once.

        Args:
            after: the revision from which the watch was asked.
            at: the revision as of which it was answered.
            changes: since ``after``, in their order.
        """
        if after < self.watch_revision >= at:
            return RefreshResult.OVERTAKEN
        news = [change for change in changes if not 0 < change.revision <= self.watch_revision]
        for change in news:
            self.apply_item(change.key, change.content(), change.made)
            self.change_revision = max(self.change_revision, change.revision)
        self.watch_revision = max(self.watch_revision, at)
        self.stale = False
        return RefreshResult.CHANGED if news else RefreshResult.SAME

    def replace_with(self, listed: Mirror) -> None:
        """Take over what a whole list shows, unless watches have gone beyond it meanwhile."""
        if (
            listed.era == self.era
            and not self.stale
            and listed.watch_revision < self.watch_revision
        ):
            return
        if listed.era != self.era:
            self._copied = {key: listed.created_revisions[key] for key in listed._named}
        self.items, self.created_revisions = listed.items, listed.created_revisions
        self._named = listed._named if listed.era != self.era else self._named | listed._named
        self.watch_revision, self.era, self.stale = listed.watch_revision, listed.era, listed.stale
        self.change_revision = listed.watch_revision

    def values_by_age(self, prefix: str) -> dict[str, bytes]:
        """Return the values of the items below ``prefix``, the oldest item first."""
        keys = [key for key in self.items if key.startswith(prefix)]
        keys.sort(key=lambda key: (self.created_revisions[key], key))
        return {key.removeprefix(prefix): self.items[key] for key in keys}

    def has_reported_evacuation(self, zone: str) -> bool:
        """Tell whether the present era has said anything of the zone's evacuation."""
        return self._evacuations + zone in self._named

    def shows_restored_evacuation(self, zone: str, until: float = math.inf) -> bool:
        """Tell whether an evacuation stands here as it was before the era, made by ``until``."""
        key = self._evacuations + zone
        made = self._copied.get(key)
        return made is not None and self.created_revisions.get(key) == made <= until

    def evacuated_zones(self) -> list[str]:
        """Return the zones whose evacuation the mirror shows."""
        prefix = self._evacuations
        return [key.removeprefix(prefix) for key in self.items if prefix and key.startswith(prefix)]


def _newest_of(items: Sequence[Change]) -> int:
    """Return the revision of the item that was written last."""
    return max((item.revision for item in items), default=0)
