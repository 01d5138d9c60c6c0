"""Zone evacuations that a node has seen end, because a restored source may list them again."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from pewtertack.core.eras import logical_time

ENDED_ZONES_MAX = 64
"""Zones remembered at most; a restored copy is only some seconds old."""


class EndedEvacuations:
    """Tracks which zones stop being listed as evacuated from one held tree to the next."""

    __slots__ = ("_ended", "_evacuated_since")

    def __init__(self) -> None:
        self._evacuated_since: dict[str, int] = {}
        """Evacuated zones, each with the revision of the tree that listed it first."""
        self._ended: dict[str, int] = {}

    @property
    def ended(self) -> Mapping[str, int]:
        """Zones whose evacuation has ended, each with a revision of the source.

        The source's item of the ended evacuation was created no later than this revision. It is
        the revision of the end, because the item may have been created anew under a tree that
        listed the zone already, or that of the beginning where the end's is unknown.
        """
        return self._ended

    def record_tree(self, zones: Iterable[str], tree_time: int, era: int) -> None:
        """Record the evacuated zones of a newer tree, and the logical time in its number."""
        evacuated = set(zones)
        revision = max(0, tree_time - logical_time(era, 0))
        for zone in evacuated:
            self._evacuated_since.setdefault(zone, revision)
            self._ended.pop(zone, None)
        for zone in self._evacuated_since.keys() - evacuated:
            self._ended[zone] = max(revision, self._evacuated_since.pop(zone))
        self._evict_oldest()

    def record_report(self, zone: str, created_until_revision: int) -> None:
        """Record an end that a peer has seen, unless the zone is evacuated in the held tree."""
        if zone not in self._evacuated_since:
            self._ended[zone] = max(created_until_revision, self._ended.get(zone, 0))
            self._evict_oldest()

    def _evict_oldest(self) -> None:
        while len(self._ended) > ENDED_ZONES_MAX:
            del self._ended[next(iter(self._ended))]
