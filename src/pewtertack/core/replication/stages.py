"""Stages that recent revisions have reached at this node, with their times."""

from __future__ import annotations

from enum import StrEnum

MAX_TRACKED_REVISIONS = 16


class Stage(StrEnum):
    """The stages of a revision at a node, in their order."""

    REPORTED = "heard"
    """The source or a peer has reported its number."""
    HELD = "held"
    COMMITTED = "committed"
    IN_FORCE = "in_force"


class DeliveryChannel(StrEnum):
    """The channel by which a node received a revision that it holds."""

    SOURCE = "source"
    """This node read it from the source."""
    HEARTBEAT = "heartbeat"
    """It was contained in a reader's heartbeat."""
    DELTA = "delta"
    """A peer sent its changes."""
    SNAPSHOT = "snapshot"
    """A peer sent the whole tree."""
    UNKNOWN = "unknown"


class RevisionStages:
    """The times at which one revision reached its stages; stages not reached are absent."""

    __slots__ = ("channel", "number", "reached_at")

    def __init__(self, number: int, reported_at: float) -> None:
        self.number = number
        self.channel = DeliveryChannel.UNKNOWN
        self.reached_at = {Stage.REPORTED: reported_at}
        """Monotonic seconds by stage."""

    def seconds_to(self, stage: Stage) -> float:
        """Return the seconds from the first report of the revision to a stage that it reached."""
        return self.reached_at[stage] - self.reached_at[Stage.REPORTED]


class StageLog:
    """The stages of the latest revisions, at most ``MAX_TRACKED_REVISIONS``."""

    __slots__ = ("_by_number", "behind_since", "in_force", "newest_reported")

    def __init__(self) -> None:
        self.newest_reported = 0
        """The highest number that the source or a peer reported."""
        self.in_force = 0
        self.behind_since: float | None = None
        """Since when a number newer than the one in force is known, in monotonic seconds."""
        self._by_number: dict[int, RevisionStages] = {}

    def recent(self) -> tuple[RevisionStages, ...]:
        """Return the tracked revisions, newest first."""
        return tuple(self._by_number[number] for number in sorted(self._by_number, reverse=True))

    def record_reported(self, now: float, number: int) -> bool:
        """Record that a revision exists; return whether it is the newest known so far."""
        if number <= self.newest_reported:
            return False
        self.newest_reported = number
        self._stages_of(now, number)
        if self.behind_since is None and number > self.in_force:
            self.behind_since = now
        return True

    def record_held(self, now: float, number: int, channel: DeliveryChannel) -> RevisionStages:
        """Record that a revision is held and by which channel it was received."""
        stages = self._record(now, number, Stage.HELD)
        if stages.channel is DeliveryChannel.UNKNOWN:
            stages.channel = channel
        return stages

    def record_committed(self, now: float, number: int) -> RevisionStages:
        """Record that a revision is committed."""
        return self._record(now, number, Stage.COMMITTED)

    def record_in_force(self, now: float, number: int) -> RevisionStages:
        """Record that a revision came into force."""
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
