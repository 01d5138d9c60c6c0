"""Back ends that a new era's first list names and that a node has not known before.

A node that began shortly before the era cannot tell who has come since from who had left before
it began: it does not use them until peers have told who has left, or for a short time.
"""

from __future__ import annotations

from collections.abc import Iterable

from pewtertack.core.machines import Machine

COPY_AGE_MAX_SECONDS = 30.0
"""Seconds. A node that began longer before an era has seen what the copy does not know."""
NEW_ENTRY_WAIT_SECONDS = 1.0
"""How long a node waits for what peers know."""


class NewEntries:
    """The names of back ends that are not used yet. Times are monotonic seconds.

    Args:
        began_at: since when the node has seen who leaves.
        longest: seconds, a bound on how long a back end is not used.
    """

    __slots__ = ("_longest", "_names", "_until", "began_at")

    def __init__(self, began_at: float, longest: float) -> None:
        self.began_at = began_at
        self._longest = longest
        self._names: frozenset[str] = frozenset()
        self._until = 0.0

    def begin(self, now: float, machines: Iterable[Machine]) -> None:
        """An era has begun whose first list names back ends that were not known."""
        self._until = now + min(NEW_ENTRY_WAIT_SECONDS, self._longest)
        is_young = now - self.began_at < COPY_AGE_MAX_SECONDS
        names = frozenset(machine.name for machine in machines if machine.is_backend)
        self._names = names if is_young else frozenset()

    def __contains__(self, name: str) -> bool:
        """Tell whether the back end of this name is not used yet."""
        return name in self._names

    def __len__(self) -> int:
        """Return how many are not used yet."""
        return len(self._names)

    def is_due(self, now: float) -> bool:
        """Tell whether the time is over."""
        return bool(self._names) and self._until <= now

    def clear(self) -> None:
        """Let all of them be used."""
        self._names = frozenset()
