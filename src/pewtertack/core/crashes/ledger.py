"""Record of the requests that back ends were executing when they crashed, across the fleet.

When a back end crashes, all requests that it was executing fail, but only one of them is the
cause. The others are eventually answered by another back end; the cause never is. An answer
therefore clears a request of all earlier crashes. A request whose number of crashes since its last
answer reaches the limit is refused by every node, for a period that doubles with each further
crash. After that period a single node tries it.

Merging ledgers is commutative and idempotent, like the union of sets.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterator

from pewtertack.core.crashes.fingerprint import head_digest_of

MAX_SUSPECTS = 256
"""Maximum number of requests in the ledger, which then takes about 100 KB."""
MAX_CRASHES_PER_REQUEST = 24
"""Crashes kept for one request: more than the largest limit that a route may set."""
QUARANTINE_SECONDS = 30.0
"""How long a request is refused after the crash with which it reached its limit."""
MAX_QUARANTINE_DOUBLINGS = 5
"""Each further crash doubles the quarantine, at most this many times (to 16 minutes)."""
TRIAL_TIMEOUT_SECONDS = 5.0
"""How long a trial without an outcome delays the next trial."""
REPLACEMENT_MARGIN_SECONDS = 1.0
"""Minimum age difference for an entry to replace an older one when the ledger, or the list of
crashes of a request, is full. Each node dates a crash some milliseconds later than the peer that
reported it. Without a margin, two full ledgers would keep reporting to each other what the other
has just dropped; after 40 crashes within a second in a simulated fleet of 74 nodes, the messages
did not stop."""
RETENTION_SECONDS = 1200.0
"""A request without a further crash for this long is removed."""


class Suspect:
    """A request that back ends were executing when they crashed. Times are monotonic seconds."""

    __slots__ = ("answered_at", "crashes", "fingerprint", "tried_at")

    def __init__(self, fingerprint: bytes) -> None:
        self.fingerprint = fingerprint
        self.crashes: dict[int, float] = {}
        """When each crash happened, by crash number."""
        self.answered_at = -math.inf
        """When a back end last answered the request, which clears it of all earlier crashes."""
        self.tried_at = -math.inf
        """When this node last sent it to a back end as a trial."""

    @property
    def crash_count(self) -> int:
        """Number of crashes since the last answer."""
        return sum(at > self.answered_at for at in self.crashes.values())

    @property
    def last_crash_at(self) -> float:
        """When a back end last crashed while executing the request."""
        return max(self.crashes.values(), default=-math.inf)

    @property
    def changed_at(self) -> float:
        """Time of the latest crash or answer."""
        return max(self.last_crash_at, self.answered_at)

    def quarantined_until(self, limit: int) -> float:
        """Return when the quarantine ends, given that the request has reached ``limit`` crashes."""
        doublings = min(self.crash_count - limit, MAX_QUARANTINE_DOUBLINGS)
        return self.last_crash_at + QUARANTINE_SECONDS * 2.0**doublings

    def add_crash(self, number: int, at: float) -> bool:
        """Add a crash; return false if it is known or, with a full list, not new enough."""
        if number in self.crashes:
            return False
        if len(self.crashes) >= MAX_CRASHES_PER_REQUEST:
            if at < self.last_crash_at + REPLACEMENT_MARGIN_SECONDS:
                return False
            del self.crashes[min(self.crashes, key=lambda item: self.crashes[item])]
        self.crashes[number] = at
        return True


class CrashLedger:
    """The suspects that one node knows, at most ``MAX_SUSPECTS``.

    Args:
        may_try: tells whether this node is the one that tries a request after its quarantine.
    """

    def __init__(self, may_try: Callable[[bytes], bool]) -> None:
        self._may_try = may_try
        self._suspects: dict[bytes, Suspect] = {}
        self._head_digests: Counter[bytes] = Counter()

    def __len__(self) -> int:
        return len(self._suspects)

    def __iter__(self) -> Iterator[Suspect]:
        return iter(self._suspects.values())

    def may_be_suspect(self, head: bytes) -> bool:
        """Tell whether a request with this head digest may be a suspect."""
        return head in self._head_digests

    def crash_count(self, fingerprint: bytes) -> int:
        """Return the number of crashes of back ends executing the request since its last answer."""
        suspect = self._suspects.get(fingerprint)
        return suspect.crash_count if suspect is not None else 0

    def is_quarantined(self, fingerprint: bytes, limit: int, now: float) -> bool:
        """Tell whether all nodes must refuse the request; a ``limit`` of 0 means no limit."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or limit == 0 or suspect.crash_count < limit:
            return False
        return now < suspect.quarantined_until(limit)

    def try_admit(self, fingerprint: bytes, limit: int, now: float) -> bool:
        """Tell whether this node may send the request to a back end.

        For a suspect that has reached its limit, returning true counts as a trial.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or limit == 0 or suspect.crash_count < limit:
            return True
        if now < max(suspect.quarantined_until(limit), suspect.tried_at + TRIAL_TIMEOUT_SECONDS):
            return False
        if not self._may_try(fingerprint):
            return False
        suspect.tried_at = now
        return True

    def record_crash(self, fingerprint: bytes, number: int, at: float) -> bool:
        """Record a crash of a back end executing the request; return false if it is not new."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if not self._evict_for(at):
                return False
            suspect = self._suspects[fingerprint] = Suspect(fingerprint)
            self._head_digests[head_digest_of(fingerprint)] += 1
        return suspect.add_crash(number, at)

    def record_answer(self, fingerprint: bytes, at: float) -> bool:
        """Record an answer; return whether it cleared the request of crashes."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.answered_at >= at:
            return False
        cleared = suspect.crash_count > 0
        suspect.answered_at = at
        return cleared

    def forget_old(self, now: float) -> None:
        """Remove suspects without a crash for ``RETENTION_SECONDS``."""
        old = [item for item in self if now - item.last_crash_at > RETENTION_SECONDS]
        for suspect in old:
            self._remove(suspect)

    def _evict_for(self, at: float) -> bool:
        """Make space for a suspect whose first crash was at ``at``; return false if impossible.

        Only a suspect with at most one crash, older by ``REPLACEMENT_MARGIN_SECONDS``, is removed.
        """
        if len(self._suspects) < MAX_SUSPECTS:
            return True
        candidate = min(self, key=lambda item: (item.crash_count, item.changed_at))
        if candidate.crash_count > 1 or candidate.changed_at + REPLACEMENT_MARGIN_SECONDS > at:
            return False
        self._remove(candidate)
        return True

    def _remove(self, suspect: Suspect) -> None:
        del self._suspects[suspect.fingerprint]
        head = head_digest_of(suspect.fingerprint)
        self._head_digests[head] -= 1
        if not self._head_digests[head]:
            del self._head_digests[head]
