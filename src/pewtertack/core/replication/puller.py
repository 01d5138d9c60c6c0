"""Selection of the peer from which to pull a document, with one pull at a time."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from pewtertack.core.revision import RevisionId

MAX_PULL_CANDIDATES = 8
"""Number of peers remembered as candidates; the one added first is dropped."""


class PullCandidate(msgspec.Struct, frozen=True):
    """A peer and the newer revision that it holds."""

    name: str
    address: str
    revision: RevisionId

    @property
    def host(self) -> str:
        """The IP address in ``address``, without the port."""
        return self.address.rpartition(":")[0].strip("[]")


class Puller:
    """Chooses the peer to pull from and when to try another peer.

    Args:
        timeout_seconds: time without any frame of the answer after which another peer is asked.
            The transfer of a long answer over a narrow link may take longer in total; requesting
            it again would load the link twice.
    """

    def __init__(self, timeout_seconds: float) -> None:
        self._timeout_seconds = timeout_seconds
        self._candidates: OrderedDict[str, PullCandidate] = OrderedDict()
        self._outstanding: PullCandidate | None = None
        self._last_contact_at = 0.0
        """When the peer was asked or a frame of its answer last arrived."""
        self._not_before = 0.0

    @property
    def newest_number(self) -> int:
        """The highest number that a candidate holds, or 0 without candidates."""
        return max(
            (candidate.revision.number for candidate in self._candidates.values()), default=0
        )

    def offer(self, candidate: PullCandidate) -> None:
        """Add a peer that holds a newer revision."""
        self._candidates[candidate.name] = candidate
        self._candidates.move_to_end(candidate.name)
        while len(self._candidates) > MAX_PULL_CANDIDATES:
            self._candidates.popitem(last=False)

    def postpone(self, now: float, delay: float) -> None:
        """Try another peer after ``delay`` seconds, because the peer that was asked is busy."""
        self._outstanding = None
        self._not_before = now + delay

    def on_frame_arriving(self, now: float, host: str) -> None:
        """Extend the timeout if ``host`` is the peer that was asked: its answer is arriving."""
        if self._outstanding is not None and self._outstanding.host == host:
            self._last_contact_at = now

    def finish(self) -> None:
        """Record that the outstanding pull was answered."""
        self._outstanding = None

    def forget_up_to(self, number: int) -> None:
        """Remove candidates whose revision is no longer newer than the held one."""
        for name, candidate in list(self._candidates.items()):
            if candidate.revision.number <= number:
                del self._candidates[name]

    def next_candidate(self, now: float) -> PullCandidate | None:
        """Return the peer to pull from now, or ``None`` if no pull is due."""
        if self._outstanding is not None and now - self._last_contact_at < self._timeout_seconds:
            return None
        if now < self._not_before or not self._candidates:
            return None
        name = max(self._candidates, key=lambda key: self._candidates[key].revision.number)
        self._outstanding = self._candidates.pop(name)
        self._last_contact_at = now
        return self._outstanding
