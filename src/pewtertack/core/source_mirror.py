"""A local mirror of the items under one key prefix of the source, as of one of its revisions."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from enum import Enum
from typing import Annotated, Protocol

import msgspec

Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""The revision of an item of the source; JSON has no bound of its own."""
UNREADABLE = b""
"""Placeholder for a value that could not be decoded; no valid document is empty."""


class RefreshResult(Enum):
    """The result of a read for the mirror."""

    SAME = "the mirror is up to date"
    CHANGED = "the mirror has changed or is new"
    OVERTAKEN = "another read has already returned a later revision"


class Change(Protocol):
    """One write of an item, or its deletion."""

    @property
    def key(self) -> str:
        """The item's key."""

    @property
    def revision(self) -> int:
        """The revision of the write; 0 if unknown."""

    @property
    def made(self) -> int:
        """The revision at which the item was created; named as in the store's answers."""

    def content(self) -> bytes | None:
        """Return the item's bytes; ``None`` if it was deleted."""


class Mirror:
    """The items under one key prefix, as of the source's revision ``watch_revision``.

    Args:
        prefix: the prefix of the items' keys.
        evacuations: the key prefix under which there is one item per evacuated zone.
    """

    def __init__(self, prefix: str, evacuations: str = "") -> None:
        self.prefix = prefix
        self._evacuations = evacuations
        self._reported_evacuations: set[str] = set()
        """Keys of evacuations that were listed or changed in the present era."""
        self._restored_evacuations: dict[str, int] = {}
        """Evacuations in the era's first list, by key, with the revision of their creation."""
        self.items: dict[str, bytes] = {}
        """Items' bytes by key; ``UNREADABLE`` for a value that could not be decoded."""
        self.created_revisions: dict[str, int] = {}
        """Revisions at which the items were created, by key."""
        self.last_readable = b""
        """The last configuration that could be parsed; used while a newer one cannot be."""
        self.last_readable_version = 0
        """The version of that configuration."""
        self.watch_revision = 0
        """The revision from which a watch continues; 0 before the first list."""
        self.era: int | None = None
        """The era of ``watch_revision``; in another era that revision refers to other writes."""
        self.change_revision = 0
        """The revision of the newest change that is known to be in ``items``.

        Readers that follow the source without a gap give the same number to the same change.
        """
        self.tree_number = 0
        """The number of the newest tree that was built from the items."""
        self.stale = False
        """Whether the items come from a stale list, with no watch completed since."""

    def new_empty(self) -> Mirror:
        """Return an empty mirror for the same prefixes."""
        return Mirror(self.prefix, self._evacuations)

    def apply_item(self, key: str, value: bytes | None, created_revision: int) -> None:
        """Store one item; ``value`` is ``None`` if it was deleted."""
        if self._evacuations and key.startswith(self._evacuations):
            self._reported_evacuations.add(key)
            self._restored_evacuations.pop(key, None)
        if value is None:
            self.items.pop(key, None)
            self.created_revisions.pop(key, None)
            return
        self.items[key] = value
        self.created_revisions[key] = created_revision

    def apply_page(self, items: Sequence[Change], at: int) -> None:
        """Store one page of a list that was answered as of revision ``at``.

        Pages of a stale list may differ in age, and their answers do not contain the revision of
        the items. A watch therefore continues from the newest item of the oldest page.
        """
        page_revision = min(at, _newest_revision(items)) if self.stale else at
        self.watch_revision = (
            min(self.watch_revision, page_revision)
            if self.stale and self.watch_revision
            else self.watch_revision or page_revision
        )
        for item in items:
            self.apply_item(item.key, item.content(), item.made)

    def apply_changes(self, after: int, at: int, changes: Iterable[Change]) -> RefreshResult:
        """Apply the answer to a watch; several watches may be open at once.

        Args:
            after: the revision after which changes were requested.
            at: the revision as of which the watch was answered.
            changes: the changes since ``after``, in order.
        """
        if after < self.watch_revision >= at:
            return RefreshResult.OVERTAKEN
        new = [change for change in changes if not 0 < change.revision <= self.watch_revision]
        for change in new:
            self.apply_item(change.key, change.content(), change.made)
            if change.revision <= at:  # a later one cannot be right
                self.change_revision = max(self.change_revision, change.revision)
        self.watch_revision = max(self.watch_revision, at)
        self.stale = False
        return RefreshResult.CHANGED if new else RefreshResult.SAME

    def replace_with(self, listed: Mirror) -> None:
        """Replace the items by those of a whole list, unless watches have passed it meanwhile."""
        if (
            listed.era == self.era
            and not self.stale
            and listed.watch_revision < self.watch_revision
        ):
            return
        if listed.era != self.era:
            self._restored_evacuations = {
                key: listed.created_revisions[key] for key in listed._reported_evacuations
            }
        self.items, self.created_revisions = listed.items, listed.created_revisions
        self._reported_evacuations = (
            listed._reported_evacuations
            if listed.era != self.era
            else self._reported_evacuations | listed._reported_evacuations
        )
        self.watch_revision, self.era, self.stale = listed.watch_revision, listed.era, listed.stale
        self.change_revision = listed.watch_revision

    def values_by_age(self, prefix: str) -> dict[str, bytes]:
        """Return the values of the items under ``prefix`` by the rest of the key, oldest first."""
        keys = [key for key in self.items if key.startswith(prefix)]
        keys.sort(key=lambda key: (self.created_revisions[key], key))
        return {key.removeprefix(prefix): self.items[key] for key in keys}

    def has_reported_evacuation(self, zone: str) -> bool:
        """Tell whether the present era has listed or changed the zone's evacuation."""
        return self._evacuations + zone in self._reported_evacuations

    def shows_restored_evacuation(self, zone: str, created_until: float = math.inf) -> bool:
        """Tell whether the zone's evacuation, made by ``created_until``, is older than the era."""
        key = self._evacuations + zone
        created = self._restored_evacuations.get(key)
        return created is not None and self.created_revisions.get(key) == created <= created_until

    def evacuated_zones(self) -> list[str]:
        """Return the zones that have an evacuation item."""
        prefix = self._evacuations
        return [key.removeprefix(prefix) for key in self.items if prefix and key.startswith(prefix)]


def _newest_revision(items: Sequence[Change]) -> int:
    """Return the highest revision of the items; 0 without items."""
    return max((item.revision for item in items), default=0)
