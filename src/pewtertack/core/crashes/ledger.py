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

from pewtertack.core.crashes.fingerprint import head_of

SUSPECTS_MAX = 256
"""Requests remembered; some 100 KB."""
ENDS_MAX = 24
"""Ends remembered of one request: the largest limit that a route may set, and some more."""
HOLD_SECONDS = 30.0
"""How long a request is refused after the end that brought it to its limit."""
HOLD_DOUBLINGS_MAX = 5
"""Each further end doubles the hold so often at most (16 minutes)."""
TRIAL_SECONDS = 5.0
"""A trial without an outcome holds up the next one for so long."""
NEWER_SECONDS = 1.0
"""What is full takes in only what is so much newer than what it would drop. Nodes date an end
some milliseconds apart, each a little later than whom it heard it from: without this distance
two full ledgers would tell each other for ever of what the other has just dropped (measured in
virtual time, 74 nodes and 40 ends within a second: no end of messages)."""
FORGET_SECONDS = 1200.0
"""Without a further end for so long, a request is forgotten."""


class Suspect:
    """One request that ran when back ends ended. Times are monotonic seconds."""

    __slots__ = ("answered_at", "ends", "fingerprint", "tried_at")

    def __init__(self, fingerprint: bytes) -> None:
        self.fingerprint = fingerprint
        self.ends: dict[int, float] = {}
        """When each back end ended, by the end's number."""
        self.answered_at = -math.inf
        """When a back end last answered it, which clears it of all ends before."""
        self.tried_at = -math.inf
        """When this node last sent it on in spite of its ends."""

    @property
    def count(self) -> int:
        """Ends that speak against it."""
        return sum(at > self.answered_at for at in self.ends.values())

    @property
    def last_end(self) -> float:
        """When a back end last ended under it."""
        return max(self.ends.values(), default=-math.inf)

    @property
    def changed_at(self) -> float:
        """When anything was last learnt of it."""
        return max(self.last_end, self.answered_at)

    def held_until(self, limit: int) -> float:
        """Return until when it is refused, having reached ``limit`` ends."""
        doublings = min(self.count - limit, HOLD_DOUBLINGS_MAX)
        return self.last_end + HOLD_SECONDS * 2.0**doublings

    def add_end(self, number: int, at: float) -> bool:
        """Note an end; false where it was known, or tells nothing that many others do not."""
        if number in self.ends:
            return False
        if len(self.ends) >= ENDS_MAX:
            if at < self.last_end + NEWER_SECONDS:
                return False
            del self.ends[min(self.ends, key=lambda item: self.ends[item])]
        self.ends[number] = at
        return True


class CrashLedger:
    """What one node knows of all suspects, bounded by ``SUSPECTS_MAX``.

    Args:
        may_try: whether this node is the one that tries a request whose hold is over.
    """

    def __init__(self, may_try: Callable[[bytes], bool]) -> None:
        self._may_try = may_try
        self._suspects: dict[bytes, Suspect] = {}
        self._heads: Counter[bytes] = Counter()

    def __len__(self) -> int:
        return len(self._suspects)

    def __iter__(self) -> Iterator[Suspect]:
        return iter(self._suspects.values())

    def knows_head(self, head: bytes) -> bool:
        """Tell whether a request of this head may be a suspect."""
        return head in self._heads

    def count(self, fingerprint: bytes) -> int:
        """Return how many back ends have ended under the request since its last answer."""
        suspect = self._suspects.get(fingerprint)
        return suspect.count if suspect is not None else 0

    def holds(self, fingerprint: bytes, limit: int, now: float) -> bool:
        """Tell whether no node may send the request to a back end; a limit of 0 is none."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or limit == 0 or suspect.count < limit:
            return False
        return now < suspect.held_until(limit)

    def admits(self, fingerprint: bytes, limit: int, now: float) -> bool:
        """Tell whether this node may send the request on; that counts as a trial of a suspect."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or limit == 0 or suspect.count < limit:
            return True
        if now < max(suspect.held_until(limit), suspect.tried_at + TRIAL_SECONDS):
            return False
        if not self._may_try(fingerprint):
            return False
        suspect.tried_at = now
        return True

    def note_end(self, fingerprint: bytes, number: int, at: float) -> bool:
        """A back end ended at ``at`` while it ran the request; false where that is no news."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if not self._make_room(at):
                return False
            suspect = self._suspects[fingerprint] = Suspect(fingerprint)
            self._heads[head_of(fingerprint)] += 1
        return suspect.add_end(number, at)

    def note_answered(self, fingerprint: bytes, at: float) -> bool:
        """A back end answered the request; false where it is no suspect."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.answered_at >= at:
            return False
        cleared = suspect.count > 0
        suspect.answered_at = at
        return cleared

    def forget(self, now: float) -> None:
        """Drop what ended no back end for long."""
        old = [item for item in self if now - item.last_end > FORGET_SECONDS]
        for suspect in old:
            self._drop(suspect)

    def _make_room(self, at: float) -> bool:
        """Drop a suspect of few and old ends for one that ended its first at ``at``."""
        if len(self._suspects) < SUSPECTS_MAX:
            return True
        least = min(self, key=lambda item: (item.count, item.changed_at))
        if least.count > 1 or least.changed_at + NEWER_SECONDS > at:
            return False
        self._drop(least)
        return True

    def _drop(self, suspect: Suspect) -> None:
        del self._suspects[suspect.fingerprint]
        head = head_of(suspect.fingerprint)
        self._heads[head] -= 1
        if not self._heads[head]:
            del self._heads[head]
