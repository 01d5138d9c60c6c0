"""How this node's reads of the source fare, for its operators."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from pewtertack.core.effects import Effect, ReadDocument
from pewtertack.core.inputs import DocumentReadFailed
from pewtertack.errors import ReadFailure
from pewtertack.wire.messages import DocumentKind


class ReadLog:
    """The open read of one document, and the failures since its last usable answer."""

    __slots__ = ("failures", "last_failure", "opened_at", "waits_for")

    def __init__(self) -> None:
        self.opened_at: float | None = None
        """Monotonic seconds; none without an open read."""
        self.waits_for = 0.0
        """Seconds for which the source may keep the open read until something changes."""
        self.failures = 0
        """Failed reads in a row."""
        self.last_failure: ReadFailure | None = None
        """Of the last of them."""

    def open(self, now: float, wait: float) -> None:
        """A read begins."""
        self.opened_at = now
        self.waits_for = wait

    def answer(self) -> None:
        """The open read got a usable answer."""
        self.opened_at = None
        self.failures = 0
        self.last_failure = None

    def fail(self, now: float, failed: DocumentReadFailed) -> dict[str, Any]:
        """The open read failed; return what is to be logged of it."""
        fields: dict[str, Any] = {"reason": failed.reason}
        if failed.failure is not None:
            fields["failure"] = failed.failure.value
        if self.opened_at is not None:
            fields["seconds"] = round(now - self.opened_at, 3)
        self.opened_at = None
        self.failures += 1
        self.last_failure = failed.failure
        return fields


class ReadLogs:
    """The logs of both documents."""

    __slots__ = ("of",)

    def __init__(self) -> None:
        self.of = {kind: ReadLog() for kind in DocumentKind}

    def note(self, now: float, effects: Iterable[Effect]) -> None:
        """Take in the reads that begin."""
        for effect in effects:
            if isinstance(effect, ReadDocument):
                self.of[effect.kind].open(now, effect.wait)
