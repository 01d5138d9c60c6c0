"""Which requests ran when back ends ended, over the whole fleet, as far as this node knows.

A back end that ends takes along whatever it ran; only one of these requests is at fault. The
others come to be answered elsewhere, which the one at fault never does: an answer clears a
request of all ends before it. What has ended enough back ends without an answer in between is
refused everywhere, for a time that grows with each further end, then tried by one node.

Two ledgers merge like sets, in any order and any number of times.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterator

from pewtertack.core.crashes.fingerprint import head_digest_of

MAX_SUSPECTS = 256
"""Requests remembered; some 100 KB."""
MAX_CRASHES_PER_REQUEST = 24
"""Ends remembered of one request: the largest limit that a route may set, and some more."""
QUARANTINE_SECONDS = 30.0
"""How long a request is refused after the end that brought it to its limit."""
MAX_QUARANTINE_DOUBLINGS = 5
"""Each further end doubles the hold so often at most (16 minutes)."""
TRIAL_TIMEOUT_SECONDS = 5.0
"""A trial without an outcome holds up the next one for so long."""
REPLACEMENT_MARGIN_SECONDS = 1.0
"""What is full takes in only what is so much newer than what it would drop. Nodes date an end
some milliseconds apart, each a little later than whom it heard it from: without this distance
two full ledgers would tell each other for ever of what the other has just dropped (measured in
virtual time, 74 nodes and 40 ends within a second: no end of messages)."""
RETENTION_SECONDS = 1200.0
"""Without a further end for so long, a request is forgotten."""


class Suspect:
    """One request that ran when back ends ended. Times are monotonic seconds."""

    __slots__ = ("answered_at", "crashes", "fingerprint", "tried_at")

    def __init__(self, fingerprint: bytes) -> None:
        self.fingerprint = fingerprint
        self.crashes: dict[int, float] = {}
        """When each back end ended, by the end's number."""
        self.answered_at = -math.inf
        """When a back end last answered it, which clears it of all ends before."""
        self.tried_at = -math.inf
        """When this node last sent it on in spite of its ends."""

    @property
    def crash_count(self) -> int:
        """Ends that speak against it."""
        return sum(at > self.answered_at for at in self.crashes.values())

    @property
    def last_crash_at(self) -> float:
        """When a back end last ended under it."""
        return max(self.crashes.values(), default=-math.inf)

    @property
    def changed_at(self) -> float:
        """When anything was last learnt of it."""
        return max(self.last_crash_at, self.answered_at)

    def quarantined_until(self, limit: int) -> float:
        """Return until when it is refused, having reached ``limit`` ends."""
        doublings = min(self.crash_count - limit, MAX_QUARANTINE_DOUBLINGS)
        return self.last_crash_at + QUARANTINE_SECONDS * 2.0**doublings

    def add_crash(self, number: int, at: float) -> bool:
        """Note an end; false where it was known, or tells nothing that many others do not."""
        if number in self.crashes:
            return False
        if len(self.crashes) >= MAX_CRASHES_PER_REQUEST:
            if at < self.last_crash_at + REPLACEMENT_MARGIN_SECONDS:
                return False
            del self.crashes[min(self.crashes, key=lambda item: self.crashes[item])]
        self.crashes[number] = at
        return True


class CrashLedger:
    """What one node knows of all suspects, bounded by ``MAX_SUSPECTS``.

    Args:
        may_try: whether this node is the one that tries a request whose hold is over.
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
        """Tell whether a request of this head may be a suspect."""
        return head in self._head_digests

    def crash_count(self, fingerprint: bytes) -> int:
        """Return how many back ends have ended under the request since its last answer."""
        suspect = self._suspects.get(fingerprint)
        return suspect.crash_count if suspect is not None else 0

    def is_quarantined(self, fingerprint: bytes, limit: int, now: float) -> bool:
        """Tell whether no node may send the request to a back end; a limit of 0 is none."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or limit == 0 or suspect.crash_count < limit:
            return False
        return now < suspect.quarantined_until(limit)

    def try_admit(self, fingerprint: bytes, limit: int, now: float) -> bool:
        """Tell whether this node may send the request on; that counts as a trial of a suspect."""
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
        """A back end ended at ``at`` while it ran the request; false where that is no news."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if not self._evict_for(at):
                return False
            suspect = self._suspects[fingerprint] = Suspect(fingerprint)
            self._head_digests[head_digest_of(fingerprint)] += 1
        return suspect.add_crash(number, at)

    def record_answer(self, fingerprint: bytes, at: float) -> bool:
        """A back end answered the request; false where it is no suspect."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.answered_at >= at:
            return False
        cleared = suspect.crash_count > 0
        suspect.answered_at = at
        return cleared

    def forget_old(self, now: float) -> None:
        """Drop what ended no back end for long."""
        old = [item for item in self if now - item.last_crash_at > RETENTION_SECONDS]
        for suspect in old:
            self._remove(suspect)

    def _evict_for(self, at: float) -> bool:
        """Drop a suspect of few and old ends for one that ended its first at ``at``."""
        if len(self._suspects) < MAX_SUSPECTS:
            return True
        least = min(self, key=lambda item: (item.crash_count, item.changed_at))
        if least.crash_count > 1 or least.changed_at + REPLACEMENT_MARGIN_SECONDS > at:
            return False
        self._remove(least)
        return True

    def _remove(self, suspect: Suspect) -> None:
        del self._suspects[suspect.fingerprint]
        head = head_digest_of(suspect.fingerprint)
        self._head_digests[head] -= 1
        if not self._head_digests[head]:
            del self._head_digests[head]
