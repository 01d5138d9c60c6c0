"""Retry budgets of one proxy, one for each service, by the policy in the settings."""

from __future__ import annotations

from collections.abc import Container

from pewtertack.routing.policies import RetryBudgetPolicy
from pewtertack.routing.retries import Budget, RetryBudget
from pewtertack.routing.retry_window import RetryLimits, WindowBudget


class RetryBudgets:
    """All budgets by service. Times are monotonic seconds.

    Args:
        policy: how the number of retries is limited.
        limits: what operators allow a service over all nodes, for ``window``.
    """

    __slots__ = ("_started_at", "_budgets", "_node_count", "limits", "policy")

    def __init__(self, policy: RetryBudgetPolicy, limits: RetryLimits) -> None:
        self.policy = policy
        self.limits = limits
        self._budgets: dict[str, Budget] = {}
        self._started_at: float | None = None
        """When the first machine list was received; what the node sent before is unknown."""
        self._node_count = 0
        """Number of nodes of the fleet, 0 while unknown."""

    def set_node_count(self, nodes: int, now: float) -> None:
        """Set the number of nodes of the fleet, taken from a machine list."""
        if self._started_at is None:
            self._started_at = now
        self._node_count = nodes
        for budget in self._budgets.values():
            budget.set_node_count(nodes, now)

    def for_service(self, service: str, now: float) -> Budget:
        """Return the service's budget."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._create(now)
            budget.set_node_count(self._node_count, now)
        return budget

    def _create(self, now: float) -> Budget:
        if self.policy is RetryBudgetPolicy.WINDOW:
            return WindowBudget(self.limits, now if self._started_at is None else self._started_at)
        return RetryBudget()

    def available(self, now: float) -> dict[str, float]:
        """Return the number of retries that may be made at once, by service."""
        return {name: budget.available(now) for name, budget in self._budgets.items()}

    def keep_only(self, services: Container[str], now: float) -> None:
        """Forget services that are no longer in force, once they hold no state to keep."""
        self._budgets = {
            name: budget
            for name, budget in self._budgets.items()
            if name in services or not budget.is_idle(now)
        }
