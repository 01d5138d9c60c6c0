"""Retry budget as a share of the requests in a sliding window, for a whole fleet.

For each service operators limit the number of attempts beyond the first ones that any window of
some seconds contains over all nodes: a share of the window's requests and a fixed number more.
No counter is shared: a node keeps to the share of its own requests and to its part of the
additional number. If every node does, so does their sum.

A nested call saves an execution that has already begun. Nested calls that find the budget spent are
remembered for a window, and as much of the budget, up to half, is reserved for nested calls;
all other requests are retried from the rest.

It is unknown how much of the additional number a former incarnation of the node has spent, and how
much is still spent by nodes that have just left the list. So the node's part grows from zero over a
budget's first window, and is computed for the largest fleet of the last window. Otherwise, if each
node spends all it may, 41 nodes that restart together could make 328 retries where 186 are allowed,
and a reduced fleet of 82 nodes 438 where 400 are allowed.
"""

from __future__ import annotations

from collections import deque

import msgspec

from pewtertack.routing.policies import Parameter, PolicyKind, RetryBudgetPolicy, policy

STEP_SHARE = 1 / 20
"""Length of a step as a share of the window: requests expire in steps."""
MAX_NESTED_SHARE = 0.5
"""Largest share of the allowed retries that is reserved for nested calls that lacked one."""
USED_SHARE = 0.9
"""Share of the allowed retries that is used. Steps keep requests up to a twentieth longer than
the window, and an attempt counts when it arrives, some network latency after the decision."""


class RetryLimits(msgspec.Struct, frozen=True):
    """What operators allow one service, over all nodes, in any window."""

    ratio: float
    """Retries as a share of the window's requests."""
    window: float
    """Length of the window in seconds."""
    slack: float = 0.0
    """Retries allowed beyond the share."""


NO_RETRY_LIMITS = RetryLimits(0.0, 1.0)
"""Allows no retries."""


class _Step(msgspec.Struct):
    """Counts of one step."""

    number: int
    requests: float = 0.0
    retries: int = 0
    refused_nested: int = 0


@policy(
    PolicyKind.RETRY_BUDGET,
    RetryBudgetPolicy.WINDOW,
    "The operator's share of the requests in a sliding window; nested calls are retried first.",
    Parameter("ratio", None, "", "setting limits.retry_ratio"),
    Parameter("window", None, "s", "setting limits.retry_window"),
    Parameter("slack", None, "", "setting limits.retry_slack, over all nodes"),
    Parameter("margin", USED_SHARE, "", "attempts arrive later than they are decided on"),
)
class WindowBudget:
    """Retries of one node to one service. Times are monotonic seconds."""

    __slots__ = (
        "_refused_nested",
        "_node_counts",
        "_requests",
        "_retries",
        "_steps",
        "limits",
        "started_at",
    )

    def __init__(self, limits: RetryLimits, started_at: float) -> None:
        self.limits = limits
        self.started_at = started_at
        """When the budget, or the process, started."""
        self._node_counts: list[tuple[float, int]] = []
        """Pairs of a time and the number of nodes listed from then on; empty while unknown."""
        self._steps: deque[_Step] = deque()
        self._requests = 0.0
        self._retries = 0
        self._refused_nested = 0

    def available(self, now: float, nested: bool = False) -> float:
        """Return the number of retries that may be made at once."""
        self._drop_expired(now)
        allowed = self._allowed(now)
        return max(0.0, allowed - self._retries - self._reserved_for_nested(allowed, nested))

    def set_node_count(self, nodes: int, now: float) -> None:
        """Set the number of nodes; while it is 0, unknown, only the share is allowed."""
        if self._node_counts and self._node_counts[-1][1] == nodes:
            return
        window_start = now - self.limits.window
        newer = [item for item in self._node_counts[:-1] if item[0] >= window_start]
        self._node_counts = [*newer, *self._node_counts[-1:], (now, nodes)]

    def is_idle(self, now: float) -> bool:
        """Tell whether the last window holds no state that must be kept."""
        self._drop_expired(now)
        return not self._steps

    def note_first_attempt(self, now: float, ratio: float) -> None:  # noqa: ARG002 (interface)
        """Record the first attempt of a request; the operator's ratio applies to all routes."""
        self._current_step(now).requests += 1
        self._requests += 1

    def take(self, now: float, nested: bool = False) -> bool:
        """Take one retry; return false when there is none.

        Args:
            now: monotonic seconds.
            nested: a back end makes the request while it runs another one.
        """
        step = self._current_step(now)
        allowed = self._allowed(now)
        if self._retries + 1 + self._reserved_for_nested(allowed, nested) > allowed:
            step.refused_nested += nested
            self._refused_nested += nested
            return False
        step.retries += 1
        self._retries += 1
        return True

    def _reserved_for_nested(self, allowed: float, nested: bool) -> float:
        """Return the number of retries that only nested calls may take."""
        return 0.0 if nested else min(float(self._refused_nested), MAX_NESTED_SHARE * allowed)

    def _allowed(self, now: float) -> float:
        return USED_SHARE * (self.limits.ratio * self._requests + self._slack(now))

    def _slack(self, now: float) -> float:
        """Return this node's part of the number allowed beyond the share."""
        nodes = self._largest_node_count(now)
        if nodes == 0:
            return 0.0
        grown = min(1.0, max(0.0, now - self.started_at) / self.limits.window)
        return grown * self.limits.slack / nodes

    def _largest_node_count(self, now: float) -> int:
        """Return the largest number of nodes within the last window."""
        if not self._node_counts:
            return 0
        window_start = now - self.limits.window
        largest = 0
        end_times = [at for at, _ in self._node_counts[1:]]
        for (_, nodes), end in zip(self._node_counts, [*end_times, now], strict=True):
            if end >= window_start:
                largest = max(largest, nodes)
        return largest

    def _current_step(self, now: float) -> _Step:
        """Return the step of ``now`` and drop the steps that have left the window."""
        self._drop_expired(now)
        number = self._step_number(now)
        if not self._steps or self._steps[-1].number < number:
            self._steps.append(_Step(number))
        return self._steps[-1]

    def _step_number(self, now: float) -> int:
        return int(now / (self.limits.window * STEP_SHARE))

    def _drop_expired(self, now: float) -> None:
        """Drop the steps that lie entirely before the window."""
        oldest = self._step_number(now) - round(1 / STEP_SHARE)
        while self._steps and self._steps[0].number < oldest:
            gone = self._steps.popleft()
            self._requests -= gone.requests
            self._retries -= gone.retries
            self._refused_nested -= gone.refused_nested
