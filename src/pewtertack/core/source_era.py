"""Tracks the era that the source reports with every answer."""

from __future__ import annotations

import math
from typing import ClassVar

from pewtertack.core.eras import ERA_MAX
from pewtertack.core.items import ItemFinding, ItemFormatError, ItemProblem
from pewtertack.errors import PlatformError

SHOWN_CHARACTERS_MAX = 40
ERA_DIGITS_MAX = 18
"""Longer values are not parsed as a number at all."""


class SourceEraError(PlatformError):
    """An answer belongs to another era than the one in which it is read."""

    code: ClassVar[str] = "source-era"


class SourceEra:
    """The latest era reported by the source.

    If the era of an answer is invalid or missing, the known era stays. If it is lower than the
    known era, it is ignored and the answer is discarded. If it is higher, it is accepted only
    from the first answer on a connection, because a restored source has closed all connections
    that existed before.

    Args:
        name: the platform's name of the era, used in findings.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self.known: int | None = None
        """``None`` before the first answer; 0 for a source that reports no era."""
        self.known_since = -math.inf
        """When the present era was first reported, in monotonic seconds."""
        self._has_reported = False
        self._findings: tuple[ItemFinding, ...] = ()

    @property
    def number(self) -> int:
        """The era used in document numbers."""
        return self.known or 0

    def pop_findings(self) -> tuple[ItemFinding, ...]:
        """Return the findings about answers since the last call."""
        found, self._findings = self._findings, ()
        return found

    def update(
        self, now: float, value: bytes | None, sent_in: int | None, new_connection: bool
    ) -> None:
        """Process the era of an answer.

        Args:
            now: monotonic seconds.
            value: the era as reported; ``None`` if the answer has none.
            sent_in: ``known`` when the request was sent.
            new_connection: whether the answer is the first on its connection.

        Raises:
            SourceEraError: the answer must not be used; the request may be repeated.
        """
        try:
            reported = self._parse(value)
        except ItemFormatError as error:
            self._findings = (error.finding_for(self._name),)
            reported = self.number
        if self.known is None:
            self._set_era(now, reported)
            return
        if reported < self.known:
            if reported != sent_in:
                self._add_finding(f"fell from {self.known} to {reported}")
            raise SourceEraError(f"answer of era {reported} after one of era {self.known}")
        if reported > self.known and not new_connection:
            self._add_finding(f"{self.known} and {reported} on one connection")
            raise SourceEraError(f"era {reported} on a connection of era {self.known}")
        if reported > self.known:
            self._set_era(now, reported)
        if sent_in is not None and sent_in != self.known:
            raise SourceEraError(f"era {self.known} has begun; all documents must be read again")

    def _parse(self, value: bytes | None) -> int:
        if value is None:
            if self._has_reported:
                raise ItemFormatError(ItemProblem.ERA, "no longer reported")
            return self.number
        is_number = value.isdigit() and len(value) <= ERA_DIGITS_MAX
        if not is_number or int(value) > ERA_MAX:
            shown = value[:SHOWN_CHARACTERS_MAX].decode("latin-1")
            raise ItemFormatError(ItemProblem.ERA, f"not a number up to {ERA_MAX}: {shown!r}")
        self._has_reported = True
        return int(value)

    def _set_era(self, now: float, era: int) -> None:
        self.known = era
        self.known_since = now

    def _add_finding(self, detail: str) -> None:
        self._findings = (ItemFinding(self._name, ItemProblem.ERA, detail),)
