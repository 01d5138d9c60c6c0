"""Executions of the local back end, and the results of the calls they make.

Every execution of the back end passes through the node's gateway, and every call that an execution
makes passes through the node's proxy; ``LocalExecutions`` is the state that the two share. An
execution whose call is refused fails after it has occupied its slot without result. While calls are
refused, requests whose executions make them therefore get lower precedence
(``likely_without_result``). They are not refused: a slot that no other request wants is theirs,
and some executions make no call. In simulations with six slots, 30 to 90 requests a second of 0.2 s
and 30% to 100% of the calls of one route failing, this serves 8% more requests than equal
precedence. Refusing the share that would fail serves 2% more in some cases and 10% less in others,
where slots are idle then.

Nothing identifies the execution that a call belongs to. A call is divided among the routes in
flight in proportion to the calls that their executions are known to make; a route that makes no
calls ends up with none, since calls also come while it is not running and it runs without calls.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from pewtertack.routing.policies import Parameter, PolicyKind, SlotOrderPolicy, policy

Rank = tuple[int, int]
"""Class of work and priority within it; the smallest goes first."""

HALF_LIFE_EXECUTIONS = 300.0
"""Number of ended executions of a route after which earlier ones count half."""
DECAY = 0.5 ** (1 / HALF_LIFE_EXECUTIONS)
MIN_EXECUTIONS = 20.0
"""Nothing is concluded about a route of which fewer executions have ended."""
MIN_CALLS_PER_EXECUTION = 0.1
"""A route whose executions make fewer calls than this is assumed to make none."""
RESULT_WINDOW_SECONDS = 1.0
"""Results of calls count for this long, so that a recovered service is trusted within it."""
MIN_RESULTS = 3
"""Fewer results of calls say nothing about a service."""
MAX_RESULTS = 64
"""Results kept of each called route."""
MIN_DEFERRED_SHARE = 0.1
"""Requests are deferred from this share of failing executions on. With 0.25 the simulations above
serve 7% more than equal precedence instead of 8%."""
PRIOR_CALLS = 0.1
"""Calls that a route is assumed to have made before any is known. With 1, initial errors of the
division persist: after 30 s a route that makes no calls is credited with 0.45 per execution instead
of 0.19."""
MAX_ROUTES = 256
"""Number of routes with executions, and of called routes of each, of which state is kept."""


class CalledRoute:
    """Recent results of calls of one route."""

    __slots__ = ("_results",)

    def __init__(self) -> None:
        self._results: deque[tuple[float, bool]] = deque(maxlen=MAX_RESULTS)

    def note(self, now: float, failed: bool) -> None:
        """Record the result of a call."""
        self._results.append((now, failed))

    def failed_share(self, now: float) -> float:
        """Return the share that failed in the last second, 0 where too few ended."""
        while self._results and self._results[0][0] <= now - RESULT_WINDOW_SECONDS:
            self._results.popleft()
        if len(self._results) < MIN_RESULTS:
            return 0.0
        return sum(failed for _, failed in self._results) / len(self._results)


class RouteExecutions:
    """Statistics of one route's executions."""

    __slots__ = ("calls", "ended", "in_flight", "seconds")

    def __init__(self) -> None:
        self.in_flight = 0
        self.ended = 0.0
        self.seconds = 0.0
        """Total time of the ended ones."""
        self.calls: dict[str, float] = {}
        """Calls by called route, over all executions."""

    def note_end(self, seconds: float) -> None:
        """Record the end of an execution."""
        self.ended = self.ended * DECAY + 1
        self.seconds = self.seconds * DECAY + seconds
        for name in self.calls:
            self.calls[name] *= DECAY

    def call_rate(self, called: str) -> float:
        """Return the number of calls that an execution makes in a second."""
        return (self.calls.get(called, 0.0) + PRIOR_CALLS) / (self.seconds + self.mean_time)

    @property
    def mean_time(self) -> float:
        """Mean seconds of an execution; 1 while unknown."""
        return self.seconds / self.ended if self.ended and self.seconds else 1.0

    def calls_per_execution(self, called: str) -> float:
        """Return the number of calls of a route that an execution makes."""
        return self.calls.get(called, 0.0) / self.ended if self.ended else 0.0


class LocalExecutions:
    """Requests that the local back end executes. Times are monotonic seconds."""

    __slots__ = ("_called", "_ranks", "_routes")

    def __init__(self) -> None:
        self._ranks: dict[Rank, int] = {}
        self._routes: dict[str, RouteExecutions] = {}
        self._called: dict[str, CalledRoute] = {}

    def note_start(self, route: str, rank: Rank) -> None:
        """Record that a request has been given a slot."""
        self._ranks[rank] = self._ranks.get(rank, 0) + 1
        found = self._routes.get(route)
        if found is None:
            found = self._routes[route] = RouteExecutions()
            self._forget_idle()
        found.in_flight += 1

    def note_end(self, route: str, rank: Rank, seconds: float) -> None:
        """Record the end of a request that occupied a slot for ``seconds``."""
        remaining = self._ranks.get(rank, 0) - 1
        if remaining > 0:
            self._ranks[rank] = remaining
        else:
            self._ranks.pop(rank, None)
        found = self._routes.get(route)
        if found is not None and found.in_flight > 0:
            found.in_flight -= 1
            found.note_end(seconds)

    def _forget_idle(self) -> None:
        if len(self._routes) > MAX_ROUTES:
            idle = next((name for name, item in self._routes.items() if not item.in_flight), None)
            if idle is not None:
                del self._routes[idle]

    def usual_rank(self) -> Rank | None:
        """Return the most frequent rank, the most urgent of several; ``None`` when idle."""
        if not self._ranks:
            return None
        return min(self._ranks, key=lambda rank: (-self._ranks[rank], rank))

    def note_call(self, called: str, now: float, failed: bool) -> None:
        """Record a call of an execution that has been answered or has failed for good."""
        self._note_call_result(called, now, failed)
        running = [item for item in self._routes.values() if item.in_flight]
        weights = [item.in_flight * item.call_rate(called) for item in running]
        total = sum(weights)
        for item, weight in zip(running, weights, strict=True):
            if called in item.calls or len(item.calls) < MAX_ROUTES:
                item.calls[called] = item.calls.get(called, 0.0) + weight / total

    def _note_call_result(self, called: str, now: float, failed: bool) -> None:
        found = self._called.get(called)
        if found is None:
            if len(self._called) >= MAX_ROUTES:
                return
            found = self._called[called] = CalledRoute()
        found.note(now, failed)

    def failing_calls(self, now: float) -> Mapping[str, float]:
        """Return the share of calls that fail now, by called route, where any does."""
        shares = {name: item.failed_share(now) for name, item in self._called.items()}
        return {name: share for name, share in shares.items() if share > 0}

    def failing_share(self, route: str, now: float) -> float:
        """Return the share of the route's executions that would fail if started now."""
        found = self._routes.get(route)
        if found is None or found.ended < MIN_EXECUTIONS:
            return 0.0
        good_share = 1.0
        for called, failed_share in self.failing_calls(now).items():
            calls = found.calls_per_execution(called)
            if calls >= MIN_CALLS_PER_EXECUTION:
                good_share *= 1 - calls * failed_share if calls < 1 else (1 - failed_share) ** calls
        return 1 - good_share

    @policy(
        PolicyKind.BEGUN_RUNS,
        SlotOrderPolicy.FINISHABLE,
        "While nested calls are refused, requests whose executions make such calls wait behind all "
        "others.",
        Parameter(
            "bad_share",
            MIN_DEFERRED_SHARE,
            "of executions fail",
            "assumed",
        ),
        Parameter("picture", RESULT_WINDOW_SECONDS, "s", "after it all requests are equal again"),
        Parameter("ends_least", MIN_RESULTS, "calls", "assumed"),
    )
    def likely_without_result(self, route: str, now: float) -> bool:
        """Tell whether executions of the route often fail now, so that others should precede."""
        return self.failing_share(route, now) >= MIN_DEFERRED_SHARE


@policy(
    PolicyKind.BEGUN_RUNS,
    SlotOrderPolicy.ALL,
    "Requests get slots whether or not the nested calls of their executions succeed.",
)
def never_without_result(route: str, now: float) -> bool:  # noqa: ARG001 (interface)
    """Return false, so that no request is deferred."""
    return False
