"""Back ends that the first machine list of a new era contains and that were unknown before.

A node that started shortly before the era cannot distinguish back ends that registered since from
those that had left before the node started, which a restored copy lists again. It does not use
either until peers have reported which back ends have left, or until a short time has passed.
"""

from __future__ import annotations

from collections.abc import Iterable

from pewtertack.core.machines import Machine

COPY_AGE_MAX_SECONDS = 30.0
"""A node that started earlier than this before an era has seen every change that the restored copy
lacks."""
NEW_ENTRY_WAIT_SECONDS = 1.0
"""How long a node waits for the reports of its peers."""


class NewEntries:
    """Names of back ends that are not used yet. Times are monotonic seconds.

    Args:
        began_at: since when the node has seen which back ends leave.
        wait_max_seconds: upper bound on how long a back end is not used.
    """

    __slots__ = ("_expires_at", "_names", "_wait_max_seconds", "began_at")

    def __init__(self, began_at: float, wait_max_seconds: float) -> None:
        self.began_at = began_at
        self._wait_max_seconds = wait_max_seconds
        self._names: frozenset[str] = frozenset()
        self._expires_at = 0.0

    def begin(self, now: float, machines: Iterable[Machine]) -> None:
        """Start the wait for the unknown ``machines`` in the first list of a new era."""
        self._expires_at = now + min(NEW_ENTRY_WAIT_SECONDS, self._wait_max_seconds)
        is_young = now - self.began_at < COPY_AGE_MAX_SECONDS
        names = frozenset(machine.name for machine in machines if machine.is_backend)
        self._names = names if is_young else frozenset()

    def __contains__(self, name: str) -> bool:
        """Tell whether the back end of this name is not used yet."""
        return name in self._names

    def __len__(self) -> int:
        """Return the number of back ends that are not used yet."""
        return len(self._names)

    def has_expired(self, now: float) -> bool:
        """Tell whether back ends are waiting whose wait is over."""
        return bool(self._names) and self._expires_at <= now

    def clear(self) -> None:
        """Allow the use of all these back ends."""
        self._names = frozenset()
