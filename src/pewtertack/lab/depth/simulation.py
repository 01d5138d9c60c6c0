"""Simulates chains of services under a fault, and compares retry policies over depths."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random

import msgspec

from pewtertack.lab.depth.backend import Fault, FaultKind, LevelContext, WorkTime
from pewtertack.lab.depth.levels import (
    ROUTE_TIMEOUT_SECONDS,
    DispatcherLevel,
    FixedRetryLevel,
    route,
)
from pewtertack.lab.depth.requests import OK_STATUS, Cancellable, Level, Reply, TopRequest
from pewtertack.lab.overload.virtual_backends import VirtualTime
from pewtertack.routing.deadlines import format_deadline

REQUESTS_PER_SECOND = 50.0
"""Requests per second to the top level."""
DURATION_SECONDS = 20.0
FAULT_BEGINS_AT = 5.0
FAULT_ENDS_AT = 10.0
"""Start and end of the fault, in seconds from the start of the run."""
DEPTHS = (1, 5, 10, 19)
MILLISECONDS_PER_SECOND = 1000


class Policy(StrEnum):
    """Retry policy of all levels."""

    FIXED = "fixed"
    """Two attempts at every level, without deadline headers or a retry budget."""
    BUDGET = "budget"
    """The real node's decisions, but back ends do not pass on ``x-retries``."""
    NEAREST = "nearest"
    """The real node's decisions with ``x-retries``: only the node nearest to a failure retries."""


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fault of the deepest level, and whether requests are repeatable."""

    name: str
    fault: Fault | None
    repeatable: bool = True


def _outage(kind: FaultKind, slow_seconds: float = 0.0) -> Fault:
    return Fault(kind, 1.0, FAULT_BEGINS_AT, FAULT_ENDS_AT, slow_seconds)


SCENARIOS = (
    Scenario("healthy", None),
    Scenario("sheds-30%", Fault(FaultKind.SHED, 0.3, FAULT_BEGINS_AT, FAULT_ENDS_AT)),
    Scenario("sheds-all", _outage(FaultKind.SHED)),
    Scenario("down", _outage(FaultKind.BREAK)),
    Scenario("down-not-repeatable", _outage(FaultKind.BREAK), repeatable=False),
    Scenario("slow", _outage(FaultKind.SLOW, 2 * ROUTE_TIMEOUT_SECONDS)),
)


class DepthResult(msgspec.Struct, frozen=True):
    """Result of one run, of the requests that began_at during the fault unless noted otherwise."""

    scenario: str
    policy: Policy
    depth: int
    requests: int
    answered_share: float
    answered_share_after: float
    """Fraction of the requests begun after the fault that were answered."""
    deepest_calls: float
    """Calls that reached the node of the deepest level, per top-level request."""
    deepest_attempts: float
    """Attempts at back ends of the deepest level, per top-level request."""
    worst_request: int
    """Largest number of attempts at back ends of the deepest level for one top-level request."""
    attempts_per_level: float
    """Attempts at all levels, per top-level request and level."""
    late_work_share: float
    """Fraction of all work of the run that was done after the end of its top-level request."""
    failure_to_top_p50: float
    """Median time in milliseconds from the last failure at the deepest level to the final response
    of failed requests; 0 without any."""
    failure_to_top_p99: float
    capped: int
    """Number of requests that reached the limit of attempts: their figures are lower bounds."""


class DepthReport(msgspec.Struct, frozen=True):
    """All runs of one seed."""

    seed: int
    runs: tuple[DepthResult, ...]


def compare(depths: Sequence[int], seed: int) -> DepthReport:
    """Run every scenario with every policy at every depth."""
    runs = [
        simulate(scenario, policy, depth, seed)
        for scenario in SCENARIOS
        for policy in Policy
        for depth in depths
    ]
    return DepthReport(seed, tuple(runs))


def simulate(scenario: Scenario, policy: Policy, depth: int, seed: int) -> DepthResult:
    """Run one simulation. Equal seeds give equal requests with every policy."""
    time = VirtualTime()
    work_time = WorkTime()
    top = _build_chain(time, work_time, scenario, policy, depth, seed)
    requests: list[TopRequest] = []
    random = Random(seed)
    began_at = random.expovariate(REQUESTS_PER_SECOND)
    while began_at < DURATION_SECONDS:
        request = TopRequest(began_at, began_at + ROUTE_TIMEOUT_SECONDS)
        requests.append(request)
        time.at(began_at, lambda request=request: _start_request(time, top, request))  # type: ignore[misc]
        began_at += random.expovariate(REQUESTS_PER_SECOND)
    time.run()
    return _result(scenario, policy, depth, requests, work_time)


def _build_chain(
    time: VirtualTime,
    work_time: WorkTime,
    scenario: Scenario,
    policy: Policy,
    depth: int,
    seed: int,
) -> Level:
    """Build a chain from the deepest level upwards and return the top level."""
    level: Level | None = None
    for number in range(depth, 0, -1):
        deepest = number == depth
        context = LevelContext(
            time=time,
            random=Random(f"{seed}:fault:{number}"),
            work_time=work_time,
            below=level,
            fault=scenario.fault if deepest else None,
            forwards_retries_header=policy is Policy.NEAREST,
            stops_on_cancel=policy is not Policy.FIXED,
        )
        if policy is Policy.FIXED:
            level = FixedRetryLevel(context, deepest)
        else:
            random = Random(f"{seed}:{number}")
            level = DispatcherLevel(context, route(scenario.repeatable), random, deepest)
    assert level is not None
    return level


def _start_request(time: VirtualTime, top: Level, request: TopRequest) -> None:
    """Call the top level, and cancel the call at the deadline."""

    def on_reply(reply: Reply) -> None:
        if request.ended is None:
            request.ended = time.now
            request.answered = reply.status == OK_STATUS

    call = top.call(request, format_deadline(time.now, request.deadline), on_reply)
    time.at(request.deadline, lambda: _cancel(request, call))


def _cancel(request: TopRequest, call: Cancellable) -> None:
    if request.ended is None:
        request.ended = request.deadline
        call.cancel()


def _result(
    scenario: Scenario,
    policy: Policy,
    depth: int,
    requests: Sequence[TopRequest],
    work_time: WorkTime,
) -> DepthResult:
    during = [item for item in requests if FAULT_BEGINS_AT <= item.began_at < FAULT_ENDS_AT]
    after = [item for item in requests if item.began_at >= FAULT_ENDS_AT]
    delays = sorted(
        (item.ended - item.failed_below_at) * MILLISECONDS_PER_SECOND
        for item in during
        if item.failed_below_at is not None and item.ended is not None and not item.answered
    )
    count = len(during)
    return DepthResult(
        scenario=scenario.name,
        policy=policy,
        depth=depth,
        requests=count,
        answered_share=_answered_share(during),
        answered_share_after=_answered_share(after),
        deepest_calls=round(sum(item.deepest_calls for item in during) / count, 3),
        deepest_attempts=round(sum(item.deepest_attempts for item in during) / count, 3),
        worst_request=max(item.deepest_attempts for item in during),
        attempts_per_level=round(sum(item.attempts for item in during) / count / depth, 3),
        late_work_share=round(work_time.late / work_time.total, 4),
        failure_to_top_p50=_quantile(delays, 0.5),
        failure_to_top_p99=_quantile(delays, 0.99),
        capped=sum(item.capped for item in during),
    )


def _answered_share(requests: Sequence[TopRequest]) -> float:
    return round(sum(item.answered for item in requests) / len(requests), 4)


def _quantile(ordered: Sequence[float], share: float) -> float:
    return round(ordered[int(len(ordered) * share)], 2) if ordered else 0.0
