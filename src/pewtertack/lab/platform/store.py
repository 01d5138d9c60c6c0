"""A document that gets a new number with every edit, and the ways in which reading it fails."""

from __future__ import annotations

import random
from enum import StrEnum
from typing import Any

import anyio
import msgspec

from pewtertack.lab.errors import NumberConflictError


class Availability(StrEnum):
    """Whether the service answers at all."""

    UP = "up"
    UNAVAILABLE = "unavailable"
    """Every read gets 503."""
    CLOSED = "closed"
    """Connections are refused."""


class PlatformFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the service misbehaves; the defaults are good behaviour."""

    availability: Availability = Availability.UP
    stale_number: int | None = None
    """Nothing newer than this number is shown."""
    lag: float = 0.0
    """Seconds until an edit shows."""
    older_share: float = 0.0
    """Share of the answers, 0 to 1, which give the number before the current one."""


class NumberedDocument(msgspec.Struct, frozen=True):
    """A document under its number, with the time when it was put."""

    number: int
    document: dict[str, Any]
    time: float


class DocumentStore:
    """All versions of one document. Times are seconds of one clock.

    Args:
        document: the first version, number 1.
        seed: decides which answers are older ones.
        now: the time of the first version.
    """

    def __init__(self, document: dict[str, Any], seed: int = 0, now: float = 0.0) -> None:
        self._versions = [NumberedDocument(1, document, now)]
        self._random = random.Random(seed)
        self._changed = anyio.Event()
        self.faults = PlatformFaults()
        self.era = 0
        """How often it has come back from a copy."""
        self.unreachable = False
        """Whether it answers nothing, beside its faults."""

    @property
    def newest(self) -> NumberedDocument:
        """The newest version, whether readers can see it yet or not."""
        return self._versions[-1]

    def put(self, document: dict[str, Any], now: float, expected: int | None = None) -> int:
        """Take ``document`` as the newest version and return its number.

        Raises:
            NumberConflictError: ``expected`` is given and not the newest number.
        """
        current = self.newest.number
        if expected is not None and expected != current:
            raise NumberConflictError(f"expected {expected}, current is {current}")
        self._versions.append(NumberedDocument(current + 1, document, now))
        self._notify()
        return current + 1

    def make_unreachable(self) -> None:
        """Answer nothing until it comes back; waiting reads end."""
        self.unreachable = True
        self._notify()

    def restore(self, copied_at: float) -> list[NumberedDocument]:
        """Come back as of ``copied_at``, in a new era; return the versions that are lost.

        Their numbers are given out again.
        """
        kept = [version for version in self._versions if version.time <= copied_at]
        kept = kept or self._versions[:1]
        lost = self._versions[len(kept) :]
        self._versions = kept
        self.era += 1
        self.unreachable = False
        self._notify()
        return lost

    def set_faults(self, faults: PlatformFaults) -> None:
        """Misbehave like this from now on; waiting reads look again."""
        self.faults = faults
        self._notify()

    def visible(self, now: float) -> NumberedDocument:
        """Return the version that a reader sees at ``now``, lag and staleness considered."""
        shown = [version for version in self._versions if self._shows(version, now)]
        return shown[-1] if shown else self._versions[0]

    def _shows(self, version: NumberedDocument, now: float) -> bool:
        stale = self.faults.stale_number
        fresh = stale is None or version.number <= stale
        return fresh and version.time + self.faults.lag <= now

    def answer(self, now: float) -> NumberedDocument:
        """Return what one reader is given: the visible version, or now and then an older one."""
        version = self.visible(now)
        if version.number > 1 and self._random.random() < self.faults.older_share:
            return self._versions[version.number - 2]
        return version

    def next_visibility(self, now: float) -> float:
        """Return the seconds until another version shows by itself; infinity for never."""
        waits = [version.time + self.faults.lag - now for version in self._versions]
        return min((wait for wait in waits if wait > 0), default=float("inf"))

    async def wait_for_change(self, seconds: float) -> None:
        """Wait until an edit or a change of faults, at most ``seconds``."""
        with anyio.move_on_after(seconds):
            await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
