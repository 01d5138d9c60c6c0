"""One simulated run, and the comparison of the node's decisions with the baseline."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial
from random import Random

import msgspec

from pewtertack.core.configuration.resolved import WorkClass
from pewtertack.lab.overload.gateways import GatewayNode, SimulatedGateway
from pewtertack.lab.overload.nodes import DispatcherNode, RoundRobinNode, SimulatedNode
from pewtertack.lab.overload.virtual_backends import SimulatedBackend, VirtualTime
from pewtertack.lab.overload.workload import (
    MEAN_WORK,
    PROFILES,
    SimulatedRequest,
    arrivals,
    service_settings,
)

ZONES = ("ikeja", "yaba", "lekki", "surulere")
UNLOADED = 0.2
MILLISECONDS = 1000


class OverloadSettings(msgspec.Struct, frozen=True):
    """The simulated deployment; ``nodes`` proxies share ``backends``."""

    nodes: int = 8
    backends: int = 7
    slots: int = 6
    queue: int = 2
    seconds: float = 20.0

    @property
    def capacity(self) -> float:
        """Requests per second that keep every slot busy."""
        return self.backends * self.slots / MEAN_WORK


class ClassOutcome(msgspec.Struct, frozen=True):
    """What became of one class; times in milliseconds, of answered requests."""

    offered: int
    answered_share: float
    p50: float
    p99: float


class RunResult(msgspec.Struct, frozen=True):
    """One run. ``goodput`` is useful work as a share of all slots' time."""

    load: float
    goodput: float
    extra_attempts: float
    """Attempts beyond the first as a share of requests offered."""
    classes: dict[WorkClass, ClassOutcome]
    mean_wait: float = 0.0
    """Milliseconds that a request which started had waited at a gateway."""


class Comparison(msgspec.Struct, frozen=True):
    """Both ways at one load; ``unloaded`` is the dispatcher's at a fifth of capacity."""

    unloaded: RunResult
    dispatcher: RunResult
    round_robin: RunResult

    @property
    def urgent_ratio(self) -> float:
        """The urgent class's p99 under load over its p99 unloaded."""
        loaded = self.dispatcher.classes[WorkClass.URGENT].p99
        return loaded / self.unloaded.classes[WorkClass.URGENT].p99


def compare(shape: OverloadSettings, load: float, seed: int) -> Comparison:
    """Run both ways at ``load`` times the capacity."""
    return Comparison(
        unloaded=simulate(shape, UNLOADED, seed, baseline=False),
        dispatcher=simulate(shape, load, seed, baseline=False),
        round_robin=simulate(shape, load, seed, baseline=True),
    )


def simulate(shape: OverloadSettings, load: float, seed: int, baseline: bool) -> RunResult:
    """Run one simulation; equal seeds give equal requests for both ways."""
    time = VirtualTime()
    backends = [
        SimulatedBackend(time, f"b{index}", ZONES[index % 4], shape.slots, shape.queue)
        for index in range(shape.backends)
    ]
    for backend in backends:
        backend.counted_until = shape.seconds
    nodes = _nodes(time, shape, backends, seed, baseline)
    workload = arrivals(Random(seed), load * shape.capacity, shape.seconds, shape.nodes)
    requests = list(workload)
    for request in requests:
        time.at(request.began, lambda request=request: nodes[request.node].begin(request))  # type: ignore[misc]
    time.run()
    return _result(shape, load, requests, backends)


def simulate_gateways(shape: OverloadSettings, load: float, seed: int) -> RunResult:
    """Run one simulation in which every back end has a gateway beside it."""
    time = VirtualTime()
    gateways = [
        SimulatedGateway(time, f"b{index}", ZONES[index % len(ZONES)], shape.slots)
        for index in range(shape.backends)
    ]
    for gateway in gateways:
        gateway.counted_until = shape.seconds
    settings = service_settings(shape.slots)
    nodes = [
        GatewayNode(time, gateways, ZONES[index % len(ZONES)], settings, Random(f"{seed}:{index}"))
        for index in range(shape.nodes)
    ]
    workload = arrivals(Random(seed), load * shape.capacity, shape.seconds, shape.nodes)
    requests = list(workload)
    for request in requests:
        time.at(request.began, partial(nodes[request.node].begin, request))
    time.run()
    result = _result(shape, load, requests, gateways)
    waits = [wait for gateway in gateways for wait in gateway.waits]
    mean_wait = MILLISECONDS * sum(waits) / max(1, len(waits))
    return msgspec.structs.replace(result, mean_wait=round(mean_wait, 2))


def _nodes(
    time: VirtualTime,
    shape: OverloadSettings,
    backends: Sequence[SimulatedBackend],
    seed: int,
    baseline: bool,
) -> list[SimulatedNode]:
    if baseline:
        return [RoundRobinNode(time, backends, index) for index in range(shape.nodes)]
    settings = service_settings(shape.slots)
    return [
        DispatcherNode(time, backends, ZONES[index % 4], settings, Random(f"{seed}:{index}"))
        for index in range(shape.nodes)
    ]


def _result(
    shape: OverloadSettings,
    load: float,
    requests: Sequence[SimulatedRequest],
    backends: Sequence[SimulatedBackend | SimulatedGateway],
) -> RunResult:
    slot_seconds = shape.backends * shape.slots * shape.seconds
    attempted = [request for request in requests if request.attempts]
    extra = sum(request.attempts - 1 for request in attempted)
    return RunResult(
        load=load,
        goodput=round(sum(item.useful_work for item in backends) / slot_seconds, 4),
        extra_attempts=round(extra / len(requests), 4),
        classes={
            profile.work_class: _class_outcome(
                [item for item in requests if item.profile is profile]
            )
            for profile in PROFILES
        },
    )


def _class_outcome(requests: Sequence[SimulatedRequest]) -> ClassOutcome:
    times = sorted(
        item.ended - item.began for item in requests if item.answered and item.ended is not None
    )
    p50, p99 = (
        round(times[int(len(times) * share)] * MILLISECONDS, 2) if times else float("inf")
        for share in (0.5, 0.99)
    )
    return ClassOutcome(len(requests), round(len(times) / max(1, len(requests)), 4), p50, p99)
