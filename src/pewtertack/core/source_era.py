"""The source's era, told with all its answers: what is believed of it, and since when."""

from __future__ import annotations

import math
from typing import ClassVar

from pewtertack.core.eras import ERA_MAX
from pewtertack.core.items import ItemFinding, ItemFormatError, ItemProblem
from pewtertack.errors import PlatformError

SHOWN_CHARACTERS = 40
LONGEST_ERA = 18
"""Digits of what is read as a number at all."""


class SourceEraError(PlatformError):
    """An answer is of another era than the one in which it is read."""

    code: ClassVar[str] = "source-era"


class SourceEra:
    """The latest era that the source has told.

    An era that cannot be read, or is not told any more, says nothing: the one known holds. One
    that falls is not believed, nor is what its answer says. One that rises is believed of the
    first answer of a connection only: a source that comes back has cut the ones before.

    Args:
        name: under which findings name it, as the platform does.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self.known: int | None = None
        """``None`` before the first answer; 0 for a source that tells none."""
        self.known_since = -math.inf
        """When the present era was first heard of, in monotonic seconds."""
        self._told = False
        self._findings: tuple[ItemFinding, ...] = ()

    @property
    def number(self) -> int:
        """The era by which documents are numbered."""
        return self.known or 0

    def pop_findings(self) -> tuple[ItemFinding, ...]:
        """Return what was wrong with the answers since the last call."""
        found, self._findings = self._findings, ()
        return found

    def update(self, now: float, value: bytes | None, sent_in: int | None, fresh: bool) -> None:
        """Take in what an answer tells.

        Args:
            now: monotonic seconds.
            value: the era as it is told; ``None`` where none is.
            sent_in: ``known`` when the call began.
            fresh: whether the answer is its connection's first.

        Raises:
            SourceEraError: what the answer says must not be used; the call may be made anew.
        """
        try:
            told = self._read(value)
        except ItemFormatError as error:
            self._findings = (error.about(self._name),)
            told = self.number
        if self.known is None:
            self._begin(now, told)
            return
        if told < self.known:
            if told != sent_in:
                self._find(f"fell from {self.known} to {told}")
            raise SourceEraError(f"of era {told}, after one of era {self.known}")
        if told > self.known and not fresh:
            self._find(f"{self.known} and {told} on one connection")
            raise SourceEraError(f"era {told} on a connection of era {self.known}")
        if told > self.known:
            self._begin(now, told)
        if sent_in is not None and sent_in != self.known:
            raise SourceEraError(f"era {self.known} has begun; reading all anew")

    def _read(self, value: bytes | None) -> int:
        if value is None:
            if self._told:
                raise ItemFormatError(ItemProblem.ERA, "not told any more")
            return self.number
        is_number = value.isdigit() and len(value) <= LONGEST_ERA
        if not is_number or int(value) > ERA_MAX:
            shown = value[:SHOWN_CHARACTERS].decode("latin-1")
            raise ItemFormatError(ItemProblem.ERA, f"no number up to {ERA_MAX}: {shown!r}")
        self._told = True
        return int(value)

    def _begin(self, now: float, era: int) -> None:
        self.known = era
        self.known_since = now

    def _find(self, detail: str) -> None:
        self._findings = (ItemFinding(self._name, ItemProblem.ERA, detail),)
