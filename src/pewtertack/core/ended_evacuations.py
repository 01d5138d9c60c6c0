"""Evacuations that a node has seen to end: a source's older copy may show them again."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from pewtertack.core.eras import logical_time

ENDED_ZONES_MAX = 64
"""Zones remembered; a copy is no older than some seconds."""


class EndedEvacuations:
    """Follows the zones that the held tree names as evacuated, one tree after the other."""

    __slots__ = ("_began", "_ended")

    def __init__(self) -> None:
        self._began: dict[str, int] = {}
        self._ended: dict[str, int] = {}

    @property
    def ended(self) -> Mapping[str, int]:
        """The zones that are evacuated no longer.

        Each with a revision up to which the source's item of the evacuation that ended was made:
        that of the end, since the item may have been made anew under a tree that named the zone.
        That of its beginning where that of the end is unknown.
        """
        return self._ended

    def record_tree(self, zones: Iterable[str], moment: int, era: int) -> None:
        """Take in the zones that a newer tree names, with the moment in its number."""
        named = set(zones)
        revision = max(0, moment - logical_time(era, 0))
        for zone in named:
            self._began.setdefault(zone, revision)
            self._ended.pop(zone, None)
        for zone in self._began.keys() - named:
            self._ended[zone] = max(revision, self._began.pop(zone))
        self._bound()

    def record_report(self, zone: str, created_until_revision: int) -> None:
        """A peer has seen the evacuation of a zone end; one that is held goes before that."""
        if zone not in self._began:
            self._ended[zone] = max(created_until_revision, self._ended.get(zone, 0))
            self._bound()

    def _bound(self) -> None:
        while len(self._ended) > ENDED_ZONES_MAX:
            del self._ended[next(iter(self._ended))]
