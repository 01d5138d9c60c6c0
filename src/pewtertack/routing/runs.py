"""What the back end beside a node runs, as far as its node sees it.

Every run of the back end passes the node's gateway, and every call that a run makes passes
the node's proxy: ``RunsBeside`` is what the two know in common.
"""

from __future__ import annotations

Rank = tuple[int, int]
"""Class of work and priority within it; smaller goes first."""


class RunsBeside:
    """The requests that the back end beside a node works on."""

    __slots__ = ("_ranks",)

    def __init__(self) -> None:
        self._ranks: dict[Rank, int] = {}

    def begin(self, rank: Rank) -> None:
        """A request has its slot."""
        self._ranks[rank] = self._ranks.get(rank, 0) + 1

    def end(self, rank: Rank) -> None:
        """A request that had a slot has ended."""
        left = self._ranks.get(rank, 0) - 1
        if left > 0:
            self._ranks[rank] = left
        else:
            self._ranks.pop(rank, None)

    def usual_rank(self) -> Rank | None:
        """Return the rank of most runs, the most urgent of several; ``None`` without a run.

        Nothing tells which run a call belongs to; this is right most often.
        """
        if not self._ranks:
            return None
        return min(self._ranks, key=lambda rank: (-self._ranks[rank], rank))
