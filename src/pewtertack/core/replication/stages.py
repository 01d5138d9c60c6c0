"""How far each recent revision has come at this node, and when."""

from __future__ import annotations

from enum import StrEnum

MAX_TRACKED_REVISIONS = 16


class Stage(StrEnum):
    """What a revision reaches at a node, in this order."""

    REPORTED = "heard"
    """The source or a peer has told of its number."""
    HELD = "held"
    COMMITTED = "committed"
    IN_FORCE = "in_force"


class DeliveryChannel(StrEnum):
    """How a revision came to be held."""

    SOURCE = "source"
    """This node read it."""
    HEARTBEAT = "heartbeat"
    """It came along with a reader's heartbeat."""
    DELTA = "delta"
    """A peer sent what had changed."""
    SNAPSHOT = "snapshot"
    """A peer sent the whole tree."""
    UNKNOWN = "unknown"


class RevisionStages:
    """The moments of one revision; a stage that it has not reached is missing."""

    __slots__ = ("number", "reached_at", "channel")

    def __init__(self, number: int, heard_at: float) -> None:
        self.number = number
        self.channel = DeliveryChannel.UNKNOWN
        self.reached_at = {Stage.REPORTED: heard_at}
        """In monotonic seconds."""

    def seconds_to(self, stage: Stage) -> float:
        """Return the seconds from hearing of the revision to a stage that it has reached."""
        return self.reached_at[stage] - self.reached_at[Stage.REPORTED]


class StageLog:
    """The stages of the latest revisions, ``MAX_TRACKED_REVISIONS`` at most."""

    __slots__ = ("_by_number", "behind_since", "in_force", "newest_reported")

    def __init__(self) -> None:
        self.newest_reported = 0
        """The highest number that anybody has told of."""
        self.in_force = 0
        self.behind_since: float | None = None
        """Since when a newer number is known than is in force, in monotonic seconds."""
        self._by_number: dict[int, RevisionStages] = {}

    def recent(self) -> tuple[RevisionStages, ...]:
        """Return the revisions that are kept, the newest first."""
        return tuple(self._by_number[number] for number in sorted(self._by_number, reverse=True))

    def record_reported(self, now: float, number: int) -> bool:
        """Note that a revision exists; return whether none so new was known."""
        if number <= self.newest_reported:
            return False
        self.newest_reported = number
        self._stages_of(now, number)
        if self.behind_since is None and number > self.in_force:
            self.behind_since = now
        return True

    def record_held(self, now: float, number: int, way: DeliveryChannel) -> RevisionStages:
        """Note that a revision is held, and how it came."""
        stages = self._record(now, number, Stage.HELD)
        if stages.channel is DeliveryChannel.UNKNOWN:
            stages.channel = way
        return stages

    def record_committed(self, now: float, number: int) -> RevisionStages:
        """Note that a revision is committed."""
        return self._record(now, number, Stage.COMMITTED)

    def record_in_force(self, now: float, number: int) -> RevisionStages:
        """Note that the node serves by a revision."""
        stages = self._record(now, number, Stage.IN_FORCE)
        self.in_force = number
        newer = [item for item in self._by_number.values() if item.number > number]
        since = [item.reached_at[Stage.REPORTED] for item in newer]
        self.behind_since = min(since, default=None)
        return stages

    def _record(self, now: float, number: int, stage: Stage) -> RevisionStages:
        self.record_reported(now, number)
        stages = self._stages_of(now, number)
        stages.reached_at.setdefault(stage, now)
        return stages

    def _stages_of(self, now: float, number: int) -> RevisionStages:
        stages = self._by_number.get(number)
        if stages is None:
            stages = self._by_number[number] = RevisionStages(number, now)
            self._forget_oldest(number)
        return stages

    def _forget_oldest(self, kept: int) -> None:
        if len(self._by_number) > MAX_TRACKED_REVISIONS:
            del self._by_number[min(number for number in self._by_number if number != kept)]
