"""Ejection of a back end by the proxy's own observation, and its gradual reinstatement.

No health endpoint is queried: it may lag or mislead, and the results of this proxy's own
requests are better evidence.
"""

from __future__ import annotations

MAXIMUM_DOUBLINGS = 4
"""Number of times that the ejection time doubles, once for each repeated ejection."""
MAXIMUM_PROBE_DOUBLINGS = 2
"""Number of times that the pause before the next probe doubles."""
FORGET_AFTER_EJECTION_TIMES = 10
"""Ejections are forgotten after this many ejection times without a failure."""


class Health:
    """Circuit breaker: closed, open for a while, then half open for one trial."""

    def __init__(self) -> None:
        self.ejected = False
        self.reinstated_at = float("-inf")
        self.retry_at = float("-inf")
        """While ejected, the time from which one trial is allowed."""
        self._trial_running = False
        self._failures = 0
        self._ejections = 0
        self._failed_probes = 0
        """Consecutive probes that failed."""
        self._failed_at = float("-inf")

    def allows_request(self, now: float) -> bool:
        """Tell whether a request, or a trial, may start."""
        if not self.ejected:
            return True
        return now >= self.retry_at and not self._trial_running

    def note_start(self) -> bool:
        """Record that a request starts; return whether it is a trial."""
        self._trial_running = self._trial_running or self.ejected
        return self.ejected

    def note_inconclusive(self, trial: bool) -> None:
        """Record a result that says nothing about the back end."""
        if trial:
            self._trial_running = False

    def note_success(self, now: float, trial: bool) -> bool:
        """Record a success; return whether it reinstates the back end.

        Only a trial does so: late answers to requests from before the
        ejection do not.
        """
        if not self.ejected:
            self._failures = 0
            return False
        if not trial:
            return False
        self.ejected = self._trial_running = False
        self._failures = self._failed_probes = 0
        self.reinstated_at = now
        return True

    def note_probe_failure(self, now: float, pause: float) -> None:
        """Record a failed probe. Probes cost no request, so the next one follows soon."""
        self._trial_running = False
        self._failed_probes += 1
        self.retry_at = now + pause * 2 ** min(self._failed_probes, MAXIMUM_PROBE_DOUBLINGS)

    def note_failure(
        self, now: float, trial: bool, threshold: int, ejection_time: float, may_eject: bool
    ) -> bool:
        """Record a failed request; return whether it ejects the back end."""
        if now - self._failed_at > FORGET_AFTER_EJECTION_TIMES * ejection_time:
            self._ejections = 0
        self._failed_at = now
        self._failures += 1
        if self.ejected and not trial:
            return False
        if not trial and (self._failures < threshold or not may_eject):
            return False
        self.ejected = True
        self._trial_running = False
        self.retry_at = now + ejection_time * 2 ** min(self._ejections, MAXIMUM_DOUBLINGS)
        self._ejections += 1
        return not trial
