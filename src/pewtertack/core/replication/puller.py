"""Pulling a document from whoever announced a newer one: one pull at a time."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from pewtertack.core.revision import RevisionId

MAX_PULL_CANDIDATES = 8


class PullCandidate(msgspec.Struct, frozen=True):
    """A peer that holds a revision."""

    name: str
    address: str
    revision: RevisionId

    @property
    def host(self) -> str:
        """The IP number in ``address``."""
        return self.address.rpartition(":")[0].strip("[]")


class Puller:
    """Chooses whom to pull from and when to try the next peer.

    Args:
        timeout: seconds without a sign of the answer after which another peer is asked. A long
            answer may take longer to arrive over a narrow link, and would load it twice if it
            were asked for again.
    """

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._candidates: OrderedDict[str, PullCandidate] = OrderedDict()
        self._outstanding: PullCandidate | None = None
        self._last_contact_at = 0.0
        """When the peer was asked, or something of its answer last came."""
        self._not_before = 0.0

    @property
    def newest_number(self) -> int:
        """The highest number that a remembered peer holds; 0 without any."""
        return max((source.revision.number for source in self._candidates.values()), default=0)

    def offer(self, source: PullCandidate) -> None:
        """Remember a peer with something newer."""
        self._candidates[source.name] = source
        self._candidates.move_to_end(source.name)
        while len(self._candidates) > MAX_PULL_CANDIDATES:
            self._candidates.popitem(last=False)

    def postpone(self, now: float, delay: float) -> None:
        """The peer asked is busy: try another after ``delay``."""
        self._outstanding = None
        self._not_before = now + delay

    def on_frame_arriving(self, now: float, host: str) -> None:
        """A frame from ``host`` is arriving: the answer, if that is the peer asked."""
        if self._outstanding is not None and self._outstanding.host == host:
            self._last_contact_at = now

    def finish(self) -> None:
        """The outstanding pull was answered."""
        self._outstanding = None

    def forget_up_to(self, number: int) -> None:
        """Drop offers that are no longer newer than what is held."""
        for name, source in list(self._candidates.items()):
            if source.revision.number <= number:
                del self._candidates[name]

    def next_candidate(self, now: float) -> PullCandidate | None:
        """Return the peer to pull from now, if a pull is due."""
        if self._outstanding is not None and now - self._last_contact_at < self._timeout:
            return None
        if now < self._not_before or not self._candidates:
            return None
        name = max(self._candidates, key=lambda key: self._candidates[key].revision.number)
        self._outstanding = self._candidates.pop(name)
        self._last_contact_at = now
        return self._outstanding
