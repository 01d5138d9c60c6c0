"""How recently the source is known to have confirmed the documents that a node holds."""

from __future__ import annotations

import math

from pewtertack.wire.messages import DocumentKind, SourceAges

MILLISECONDS_PER_SECOND = 1000.0


class SourceFreshness:
    """The last moment, by document, at which what is held was the source's newest.

    Times are monotonic seconds of this node. A peer's word counts from its arrival less the
    age that it tells, so the time on its way makes a document look that much fresher.
    """

    __slots__ = ("_confirmed_at", "_reports_ignored_until", "_suspended")

    def __init__(self) -> None:
        self._confirmed_at = dict.fromkeys(DocumentKind, -math.inf)
        self._reports_ignored_until = -math.inf
        self._suspended: dict[DocumentKind, dict[int, float]] = {}
        """Confirmations of documents that are not held yet, by their numbers."""

    def confirm(self, kind: DocumentKind, at: float) -> None:
        """The source confirmed its newest document at ``at``, as this node saw itself."""
        suspended = self._suspended.get(kind)
        if suspended:
            newest = max(suspended)
            suspended[newest] = max(suspended[newest], at)
        else:
            self._confirmed_at[kind] = max(self._confirmed_at[kind], at)

    def suspend(self, kind: DocumentKind, number: int) -> None:
        """What is confirmed from now on is a document under work, and not the held one."""
        self._suspended.setdefault(kind, {}).setdefault(number, -math.inf)

    def resume(self, kind: DocumentKind, held: float = math.inf) -> None:
        """The work on documents up to the number ``held`` is done: their confirmations count."""
        suspended = self._suspended.get(kind, {})
        for number in [number for number in suspended if number <= held]:
            at = suspended.pop(number)
            self._confirmed_at[kind] = max(self._confirmed_at[kind], at)

    def record_peer_age(self, now: float, kind: DocumentKind, age_milliseconds: int) -> None:
        """A peer's word of such an age covers the held document."""
        if now >= self._reports_ignored_until:
            self.confirm(kind, now - age_milliseconds / MILLISECONDS_PER_SECOND)

    def reset(self, now: float, deaf_for: float) -> None:
        """Trust nothing confirmed so far, nor what peers say for ``deaf_for`` seconds.

        For a process that was paused: words that came meanwhile are older than they say.
        """
        self._confirmed_at = dict.fromkeys(DocumentKind, -math.inf)
        for suspended in self._suspended.values():
            suspended.update(dict.fromkeys(suspended, -math.inf))
        self._reports_ignored_until = now + deaf_for

    def age(self, now: float, kind: DocumentKind) -> float:
        """Return the seconds since the last confirmation; infinite without one."""
        return now - self._confirmed_at[kind]

    def max_age(self, now: float) -> float:
        """Return the age of the document confirmed longest ago."""
        return max(self.age(now, kind) for kind in DocumentKind)

    def ages(self, now: float) -> SourceAges:
        """Return both ages in the form that peers are told."""
        return SourceAges(*(_milliseconds(self.age(now, kind)) for kind in DocumentKind))


def _milliseconds(age: float) -> int | None:
    return None if math.isinf(age) else round(max(0.0, age) * MILLISECONDS_PER_SECOND)
