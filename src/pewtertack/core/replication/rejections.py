"""Monitoring of how long a replica has been rejecting the revisions of its source, for alerts."""

from __future__ import annotations

from pewtertack.core.effects import Effect
from pewtertack.core.replication.replica import ConfigurationReplica

REPEAT_LOG_SECONDS = 60.0
"""Interval between log events of a rejection that persists."""


class RejectionMonitor:
    """Detects that a revision newer than the held one is rejected, and logs it repeatedly."""

    __slots__ = ("_logged_at", "_replica", "since")

    def __init__(self, replica: ConfigurationReplica) -> None:
        self._replica = replica
        self._logged_at = 0.0
        self.since: float | None = None
        """Monotonic time of the first rejection since the held revision; ``None`` without one."""

    def tick(self, now: float) -> list[Effect]:
        """Return the log event that is due."""
        rejection = self._replica.current_rejection
        if rejection is None:
            self.since = None
            return []
        if self.since is None:
            self.since = self._logged_at = now
            return []
        if now - self._logged_at < REPEAT_LOG_SECONDS:
            return []
        self._logged_at = now
        return [self._replica.rejection_log(rejection, lasting_seconds=now - self.since)]
