"""Tracks when the source last confirmed the documents that a node holds, and how it did."""

from __future__ import annotations

import math

from pewtertack.wire.messages import DocumentKind, SourceAges

MILLISECONDS_PER_SECOND = 1000.0


class SourceFreshness:
    """The last time, by document, at which the held revision was known to be the source's newest.

    Times are monotonic seconds of this node. The age that a peer reports is subtracted from the
    arrival time of the report, so that its transfer time makes the document appear that much
    fresher.

    A read that the source holds open confirms as well as an answer, since the source would answer
    it with a change, but a source that has fallen silent does not: ``answers`` counts answers only.
    """

    __slots__ = ("_answers", "_confirmed_at", "_reports_ignored_until", "_suspended")

    def __init__(self, answers: SourceFreshness | None = None) -> None:
        self._answers = answers
        self._confirmed_at = dict.fromkeys(DocumentKind, -math.inf)
        self._reports_ignored_until = -math.inf
        self._suspended: dict[DocumentKind, dict[int, float]] = {}
        """Times of confirmations of documents that are not held yet, by document number."""

    def confirm(self, kind: DocumentKind, at: float) -> None:
        """Record that the source confirmed its newest document at the time ``at``.

        While documents are being processed, the confirmation applies to the newest of them.
        """
        suspended = self._suspended.get(kind)
        if suspended:
            newest = max(suspended)
            suspended[newest] = max(suspended[newest], at)
        else:
            self._confirmed_at[kind] = max(self._confirmed_at[kind], at)

    @property
    def answers(self) -> SourceFreshness:
        """Confirmations by answers alone, to this node or to a peer that reported them."""
        if self._answers is None:
            self._answers = SourceFreshness()
        return self._answers

    def suspend(self, kind: DocumentKind, number: int) -> None:
        """Apply confirmations to the document ``number``, which is being processed, from now on."""
        self._suspended.setdefault(kind, {}).setdefault(number, -math.inf)
        if self._answers is not None:
            self._answers.suspend(kind, number)

    def resume(self, kind: DocumentKind, up_to_number: float = math.inf) -> None:
        """Apply the confirmations of documents up to a number, which have been processed."""
        suspended = self._suspended.get(kind, {})
        for number in [number for number in suspended if number <= up_to_number]:
            at = suspended.pop(number)
            self._confirmed_at[kind] = max(self._confirmed_at[kind], at)
        if self._answers is not None:
            self._answers.resume(kind, up_to_number)

    def record_peer_age(self, now: float, kind: DocumentKind, age_milliseconds: int) -> None:
        """Record a peer's report, valid for the held document, of the age of its confirmation."""
        if now >= self._reports_ignored_until:
            self.confirm(kind, now - age_milliseconds / MILLISECONDS_PER_SECOND)

    def reset(self, now: float, ignore_reports_seconds: float) -> None:
        """Discard all confirmations, and ignore peers' reports for ``ignore_reports_seconds``.

        Called after a pause of the process: reports that arrived during the pause are older than
        they state.
        """
        self._confirmed_at = dict.fromkeys(DocumentKind, -math.inf)
        for suspended in self._suspended.values():
            suspended.update(dict.fromkeys(suspended, -math.inf))
        self._reports_ignored_until = now + ignore_reports_seconds
        if self._answers is not None:
            self._answers.reset(now, ignore_reports_seconds)

    def age(self, now: float, kind: DocumentKind) -> float:
        """Return the seconds since the last confirmation, or infinity without one."""
        return now - self._confirmed_at[kind]

    def max_age(self, now: float) -> float:
        """Return the age of the document whose last confirmation is the oldest."""
        return max(self.age(now, kind) for kind in DocumentKind)

    def ages(self, now: float) -> SourceAges:
        """Return the ages of both documents in the form that is sent to peers."""
        return SourceAges(*(_milliseconds(self.age(now, kind)) for kind in DocumentKind))


def _milliseconds(age: float) -> int | None:
    return None if math.isinf(age) else round(max(0.0, age) * MILLISECONDS_PER_SECOND)
