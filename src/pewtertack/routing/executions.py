"""What the back end beside a node runs, and how the calls of its runs fare.

Every run of the back end passes the node's gateway, and every call that a run makes passes
the node's proxy: ``LocalExecutions`` is what the two know in common. A run whose call is turned
away ends badly after it has held its slot for nothing. While calls are turned away, requests
whose runs make them therefore let all others go first (``in_vain``). They are not refused for
it: a slot that nobody else wants is theirs, and some runs make no call. Six slots in virtual
time, 30 to 90 requests a second of 0.2 s, 30 to 100 in 100 calls of one route failing, three
seeds: 8% more are served than when all wait alike; refusing the share that would end badly
served 2% more in some cases and 10% less in others, where slots then stood idle.

Nothing tells which run a call belongs to. A call is shared out over the routes in flight in
proportion to what their runs are known to call; a route that calls nothing is left with
nothing, since calls come without it and it runs without calls.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from pewtertack.routing.policies import Parameter, PolicyKind, SlotOrderPolicy, policy

Rank = tuple[int, int]
"""Class of work and priority within it; smaller goes first."""

HALF_LIFE_EXECUTIONS = 300.0
"""Ended runs of a route after which earlier ones count half."""
DECAY = 0.5 ** (1 / HALF_LIFE_EXECUTIONS)
MIN_EXECUTIONS = 20.0
"""Of a route of which fewer runs have ended nothing is taken to be known."""
MIN_CALLS_PER_EXECUTION = 0.1
"""A route whose runs make fewer calls than this, each, is taken to make none."""
RESULT_WINDOW_SECONDS = 1.0
"""Ends of calls count for so long: a service that has recovered is believed within it."""
MIN_RESULTS = 3
"""Fewer ends of calls say nothing of a service."""
MAX_RESULTS = 64
"""Ends of calls kept of each called route."""
MIN_DEFERRED_SHARE = 0.1
"""From this share of runs that would end badly on, others go first. A greater one served less
in the comparison above (0.25: 7% more than when all wait alike)."""
PRIOR_CALLS = 0.1
"""Calls that a route is taken to have made before any is known. With 1, what is shared out
wrongly at first stays for long: after 30 s a route that makes none had 0.45 a run, not 0.19."""
MAX_ROUTES = 256
"""Routes of runs, and called routes of each, of which something is kept."""


class CalledRoute:
    """How calls of one route ended lately."""

    __slots__ = ("_results",)

    def __init__(self) -> None:
        self._results: deque[tuple[float, bool]] = deque(maxlen=MAX_RESULTS)

    def note(self, now: float, failed: bool) -> None:
        """A call has ended."""
        self._results.append((now, failed))

    def failed_share(self, now: float) -> float:
        """Return the share that failed in the last second, 0 where too few ended."""
        while self._results and self._results[0][0] <= now - RESULT_WINDOW_SECONDS:
            self._results.popleft()
        if len(self._results) < MIN_RESULTS:
            return 0.0
        return sum(failed for _, failed in self._results) / len(self._results)


class RouteExecutions:
    """What is known of the runs of one route."""

    __slots__ = ("calls", "ended", "in_flight", "seconds")

    def __init__(self) -> None:
        self.in_flight = 0
        self.ended = 0.0
        self.seconds = 0.0
        """Of the ended ones, all together."""
        self.calls: dict[str, float] = {}
        """Calls by called route, all runs together."""

    def note_end(self, seconds: float) -> None:
        """A run has ended."""
        self.ended = self.ended * DECAY + 1
        self.seconds = self.seconds * DECAY + seconds
        for name in self.calls:
            self.calls[name] *= DECAY

    def call_rate(self, called: str) -> float:
        """Return how many calls a run makes in a second."""
        return (self.calls.get(called, 0.0) + PRIOR_CALLS) / (self.seconds + self.mean_time)

    @property
    def mean_time(self) -> float:
        """Seconds that a run takes; 1 while unknown."""
        return self.seconds / self.ended if self.ended and self.seconds else 1.0

    def calls_per_execution(self, called: str) -> float:
        """Return how many calls of a route a run makes."""
        return self.calls.get(called, 0.0) / self.ended if self.ended else 0.0


class LocalExecutions:
    """The requests that the back end beside a node works on. Times are monotonic seconds."""

    __slots__ = ("_called", "_ranks", "_routes")

    def __init__(self) -> None:
        self._ranks: dict[Rank, int] = {}
        self._routes: dict[str, RouteExecutions] = {}
        self._called: dict[str, CalledRoute] = {}

    def note_start(self, route: str, rank: Rank) -> None:
        """A request has its slot."""
        self._ranks[rank] = self._ranks.get(rank, 0) + 1
        found = self._routes.get(route)
        if found is None:
            found = self._routes[route] = RouteExecutions()
            self._forget_idle()
        found.in_flight += 1

    def note_end(self, route: str, rank: Rank, seconds: float) -> None:
        """A request that had a slot for so long has ended."""
        left = self._ranks.get(rank, 0) - 1
        if left > 0:
            self._ranks[rank] = left
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
        """Return the rank of most runs, the most urgent of several; ``None`` without a run."""
        if not self._ranks:
            return None
        return min(self._ranks, key=lambda rank: (-self._ranks[rank], rank))

    def note_call(self, called: str, now: float, failed: bool) -> None:
        """A call of a run has been answered, or has failed for good."""
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
        """Return the share of the route's runs that would end badly, begun now."""
        found = self._routes.get(route)
        if found is None or found.ended < MIN_EXECUTIONS:
            return 0.0
        good = 1.0
        for called, failed in self.failing_calls(now).items():
            calls = found.calls_per_execution(called)
            if calls >= MIN_CALLS_PER_EXECUTION:
                good *= 1 - calls * failed if calls < 1 else (1 - failed) ** calls
        return 1 - good

    @policy(
        PolicyKind.BEGUN_RUNS,
        SlotOrderPolicy.FINISHABLE,
        "While calls are turned away, requests whose runs make such calls wait behind all others.",
        Parameter(
            "bad_share", MIN_DEFERRED_SHARE, "share of runs", "assumed; see ``MIN_DEFERRED_SHARE``"
        ),
        Parameter("picture", RESULT_WINDOW_SECONDS, "seconds", "so soon all are equal again"),
        Parameter("ends_least", MIN_RESULTS, "calls", "assumed"),
    )
    def likely_without_result(self, route: str, now: float) -> bool:
        """Tell whether runs of the route often end badly now, so that others should go first."""
        return self.failing_share(route, now) >= MIN_DEFERRED_SHARE


@policy(
    PolicyKind.BEGUN_RUNS,
    SlotOrderPolicy.ALL,
    "Requests take their slots whatever becomes of the calls that their runs make.",
)
def never_without_result(route: str, now: float) -> bool:
    """Take no run for one that often ends badly."""
    return False
