"""Runs of a chain of services under a fault, and their comparison over depths."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random

import msgspec

from pewtertack.lab.depth.backend import BackendWorld, Fault, FaultKind, WorkMeter
from pewtertack.lab.depth.levels import ROUTE_TIMEOUT, DispatcherLevel, FixedLevel, route
from pewtertack.lab.depth.requests import OK_STATUS, Cancellable, Level, Reply, TopRequest
from pewtertack.lab.overload.virtual_backends import VirtualTime
from pewtertack.routing.deadlines import format_deadline

RATE = 50.0
"""Top-level requests per second."""
SECONDS = 20.0
FAULT_BEGINS = 5.0
FAULT_ENDS = 10.0
DEPTHS = (1, 5, 10, 19)
MILLISECONDS = 1000


class Policy(StrEnum):
    """How failures are retried at every level."""

    FIXED = "fixed"
    """Two attempts at every level, no deadline passed on, no budget."""
    BUDGET = "budget"
    """The node's decisions, but back ends do not hand ``x-retries`` on."""
    NEAREST = "nearest"
    """The node's decisions with ``x-retries``: only the nearest node retries."""


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fault of the deepest level."""

    name: str
    fault: Fault | None
    repeatable: bool = True


def _outage(kind: FaultKind, slow_seconds: float = 0.0) -> Fault:
    return Fault(kind, 1.0, FAULT_BEGINS, FAULT_ENDS, slow_seconds)


SCENARIOS = (
    Scenario("healthy", None),
    Scenario("sheds-30%", Fault(FaultKind.SHED, 0.3, FAULT_BEGINS, FAULT_ENDS)),
    Scenario("sheds-all", _outage(FaultKind.SHED)),
    Scenario("down", _outage(FaultKind.BREAK)),
    Scenario("down-not-repeatable", _outage(FaultKind.BREAK), repeatable=False),
    Scenario("slow", _outage(FaultKind.SLOW, 2 * ROUTE_TIMEOUT)),
)


class DepthResult(msgspec.Struct, frozen=True):
    """One run. All but ``answered_share_after`` are of requests begun during the fault."""

    scenario: str
    policy: Policy
    depth: int
    requests: int
    answered_share: float
    answered_share_after: float
    """Of the requests that began after the fault."""
    deepest_calls: float
    """Calls that reached the deepest level's node, per top-level request."""
    deepest_attempts: float
    """Attempts that reached a back end of the deepest level, per top-level request."""
    worst_request: int
    """Most attempts of one top-level request at a back end of the deepest level."""
    attempts_per_level: float
    """Attempts at all levels, per top-level request and level."""
    late_work_share: float
    """Share of all work of the run that was done after the top caller's end."""
    failure_to_top_p50: float
    """Milliseconds from the last failure below to the final answer; 0 without any."""
    failure_to_top_p99: float
    capped: int
    """Requests that were followed no further: their figures are lower bounds."""


class DepthReport(msgspec.Struct, frozen=True):
    """All runs of one seed."""

    seed: int
    runs: tuple[DepthResult, ...]


def compare(depths: Sequence[int], seed: int) -> DepthReport:
    """Run every scenario under every policy at every depth."""
    runs = [
        simulate(scenario, policy, depth, seed)
        for scenario in SCENARIOS
        for policy in Policy
        for depth in depths
    ]
    return DepthReport(seed, tuple(runs))


def simulate(scenario: Scenario, policy: Policy, depth: int, seed: int) -> DepthResult:
    """Run one simulation; equal seeds give equal requests under every policy."""
    time = VirtualTime()
    meter = WorkMeter()
    top = _chain(time, meter, scenario, policy, depth, seed)
    requests: list[TopRequest] = []
    random = Random(seed)
    began = random.expovariate(RATE)
    while began < SECONDS:
        request = TopRequest(began, began + ROUTE_TIMEOUT)
        requests.append(request)
        time.at(began, lambda request=request: _begin(time, top, request))  # type: ignore[misc]
        began += random.expovariate(RATE)
    time.run()
    return _result(scenario, policy, depth, requests, meter)


def _chain(
    time: VirtualTime, meter: WorkMeter, scenario: Scenario, policy: Policy, depth: int, seed: int
) -> Level:
    """Return the top level of a chain, built from the deepest one upwards."""
    level: Level | None = None
    for number in range(depth, 0, -1):
        deepest = number == depth
        world = BackendWorld(
            time=time,
            random=Random(f"{seed}:fault:{number}"),
            meter=meter,
            below=level,
            fault=scenario.fault if deepest else None,
            hands_on_mark=policy is Policy.NEAREST,
            notices_cancel=policy is not Policy.FIXED,
        )
        if policy is Policy.FIXED:
            level = FixedLevel(world, deepest)
        else:
            random = Random(f"{seed}:{number}")
            level = DispatcherLevel(world, route(scenario.repeatable), random, deepest)
    assert level is not None
    return level


def _begin(time: VirtualTime, top: Level, request: TopRequest) -> None:
    """Call the top level; its caller leaves when the deadline has passed."""

    def answered(reply: Reply) -> None:
        if request.ended is None:
            request.ended = time.now
            request.answered = reply.status == OK_STATUS

    call = top.call(request, format_deadline(time.now, request.deadline), answered)
    time.at(request.deadline, lambda: _leave(request, call))


def _leave(request: TopRequest, call: Cancellable) -> None:
    if request.ended is None:
        request.ended = request.deadline
        call.cancel()


def _result(
    scenario: Scenario,
    policy: Policy,
    depth: int,
    requests: Sequence[TopRequest],
    meter: WorkMeter,
) -> DepthResult:
    during = [item for item in requests if FAULT_BEGINS <= item.began < FAULT_ENDS]
    after = [item for item in requests if item.began >= FAULT_ENDS]
    delays = sorted(
        (item.ended - item.failed_below_at) * MILLISECONDS
        for item in during
        if item.failed_below_at is not None and item.ended is not None and not item.answered
    )
    count = len(during)
    return DepthResult(
        scenario=scenario.name,
        policy=policy,
        depth=depth,
        requests=count,
        answered_share=_share(during),
        answered_share_after=_share(after),
        deepest_calls=round(sum(item.deepest_calls for item in during) / count, 3),
        deepest_attempts=round(sum(item.deepest_attempts for item in during) / count, 3),
        worst_request=max(item.deepest_attempts for item in during),
        attempts_per_level=round(sum(item.attempts for item in during) / count / depth, 3),
        late_work_share=round(meter.late / meter.total, 4),
        failure_to_top_p50=_quantile(delays, 0.5),
        failure_to_top_p99=_quantile(delays, 0.99),
        capped=sum(item.capped for item in during),
    )


def _share(requests: Sequence[TopRequest]) -> float:
    return round(sum(item.answered for item in requests) / len(requests), 4)


def _quantile(ordered: Sequence[float], share: float) -> float:
    return round(ordered[int(len(ordered) * share)], 2) if ordered else 0.0
