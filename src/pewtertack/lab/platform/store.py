"""Versions of a document, numbered by edit, and simulated faults of reading it."""

from __future__ import annotations

import random
from enum import StrEnum
from typing import Any

import anyio
import msgspec

from pewtertack.lab.errors import NumberConflictError


class Availability(StrEnum):
    """Whether the service can be read."""

    UP = "up"
    UNAVAILABLE = "unavailable"
    """Every read gets 503."""
    CLOSED = "closed"
    """Connections are refused."""


class PlatformFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the service, none by default."""

    availability: Availability = Availability.UP
    stale_number: int | None = None
    """Versions with a higher number are not visible."""
    lag: float = 0.0
    """Seconds until an edit becomes visible."""
    older_share: float = 0.0
    """Fraction of reads, 0 to 1, that return the version before the visible one."""


class NumberedDocument(msgspec.Struct, frozen=True):
    """One version of a document, with the time of the edit."""

    number: int
    document: dict[str, Any]
    time: float


class DocumentStore:
    """All versions of one document. All times are seconds of the same clock.

    Args:
        document: the first version, number 1.
        seed: determines which reads return an older version.
        now: the time of the first version.
    """

    def __init__(self, document: dict[str, Any], seed: int = 0, now: float = 0.0) -> None:
        self._versions = [NumberedDocument(1, document, now)]
        self._random = random.Random(seed)
        self._changed = anyio.Event()
        self.faults = PlatformFaults()
        self.era = 0
        """Number of times the document was restored from a copy."""
        self.unreachable = False
        """Whether all reads fail, whatever the faults are."""

    @property
    def newest(self) -> NumberedDocument:
        """The newest version, visible or not."""
        return self._versions[-1]

    def put(self, document: dict[str, Any], now: float, expected: int | None = None) -> int:
        """Add ``document`` as the newest version and return its number.

        Raises:
            NumberConflictError: ``expected`` is given and is not the newest number.
        """
        current = self.newest.number
        if expected is not None and expected != current:
            raise NumberConflictError(f"expected {expected}, current is {current}")
        self._versions.append(NumberedDocument(current + 1, document, now))
        self._wake_readers()
        return current + 1

    def make_unreachable(self) -> None:
        """Fail all reads, including waiting ones, until the document is restored."""
        self.unreachable = True
        self._wake_readers()

    def restore(self, copied_at: float) -> list[NumberedDocument]:
        """Restore the copy made at ``copied_at``, in a new era, and return the lost versions.

        Their numbers are assigned again to later edits.
        """
        kept = [version for version in self._versions if version.time <= copied_at]
        kept = kept or self._versions[:1]
        lost = self._versions[len(kept) :]
        self._versions = kept
        self.era += 1
        self.unreachable = False
        self._wake_readers()
        return lost

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the faults; waiting reads check again."""
        self.faults = faults
        self._wake_readers()

    def visible_version(self, now: float) -> NumberedDocument:
        """Return the newest version that is visible at ``now``, given lag and staleness."""
        visible_versions = [version for version in self._versions if self._is_visible(version, now)]
        return visible_versions[-1] if visible_versions else self._versions[0]

    def _is_visible(self, version: NumberedDocument, now: float) -> bool:
        limit = self.faults.stale_number
        within_limit = limit is None or version.number <= limit
        return within_limit and version.time + self.faults.lag <= now

    def version_for_read(self, now: float) -> NumberedDocument:
        """Return the version for one read: the visible one, or at random the one before it."""
        version = self.visible_version(now)
        if version.number > 1 and self._random.random() < self.faults.older_share:
            return self._versions[version.number - 2]
        return version

    def seconds_until_next_visible(self, now: float) -> float:
        """Return the seconds until the lag of another version ends; infinity if there is none."""
        waits = [version.time + self.faults.lag - now for version in self._versions]
        return min((wait for wait in waits if wait > 0), default=float("inf"))

    async def wait_for_change(self, seconds: float) -> None:
        """Wait for an edit, a change of faults or a restore, at most ``seconds``."""
        with anyio.move_on_after(seconds):
            await self._changed.wait()

    def _wake_readers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
