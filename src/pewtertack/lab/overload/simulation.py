"""Simulates an overload, with the real dispatcher, with gateways or with the baseline."""

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
UNLOADED_LOAD = 0.2
MILLISECONDS_PER_SECOND = 1000


class OverloadSettings(msgspec.Struct, frozen=True):
    """The simulated deployment: ``nodes`` proxies share ``backends`` with ``slots`` each.

    ``queue`` is the length of a back end's queue, ``seconds`` the duration of the load.
    """

    nodes: int = 8
    backends: int = 7
    slots: int = 6
    queue: int = 2
    seconds: float = 20.0

    @property
    def capacity(self) -> float:
        """Requests per second that occupy all slots."""
        return self.backends * self.slots / MEAN_WORK


class ClassOutcome(msgspec.Struct, frozen=True):
    """Outcome of one class; the percentiles are of answered requests, in milliseconds."""

    offered: int
    answered_share: float
    p50: float
    p99: float


class RunResult(msgspec.Struct, frozen=True):
    """Result of one run. ``goodput`` is useful work as a fraction of the time of all slots."""

    load: float
    goodput: float
    extra_attempts: float
    """Attempts beyond the first, as a fraction of the offered requests."""
    classes: dict[WorkClass, ClassOutcome]
    mean_wait: float = 0.0
    """Mean time that executed requests had waited at a gateway, in milliseconds."""


class Comparison(msgspec.Struct, frozen=True):
    """Dispatcher and baseline at one load, and the dispatcher at a fifth of the capacity."""

    unloaded: RunResult
    dispatcher: RunResult
    round_robin: RunResult

    @property
    def urgent_ratio(self) -> float:
        """Ratio of the urgent class's p99 under load to its p99 unloaded."""
        loaded = self.dispatcher.classes[WorkClass.URGENT].p99
        return loaded / self.unloaded.classes[WorkClass.URGENT].p99


def compare(settings: OverloadSettings, load: float, seed: int) -> Comparison:
    """Run the dispatcher and the baseline at ``load`` times the capacity."""
    return Comparison(
        unloaded=simulate(settings, UNLOADED_LOAD, seed, baseline=False),
        dispatcher=simulate(settings, load, seed, baseline=False),
        round_robin=simulate(settings, load, seed, baseline=True),
    )


def simulate(settings: OverloadSettings, load: float, seed: int, baseline: bool) -> RunResult:
    """Run one simulation. Equal seeds give equal requests for dispatcher and baseline."""
    time = VirtualTime()
    backends = [
        SimulatedBackend(time, f"b{index}", ZONES[index % 4], settings.slots, settings.queue)
        for index in range(settings.backends)
    ]
    for backend in backends:
        backend.counted_until = settings.seconds
    nodes = _create_nodes(time, settings, backends, seed, baseline)
    workload = arrivals(Random(seed), load * settings.capacity, settings.seconds, settings.nodes)
    requests = list(workload)
    for request in requests:
        time.at(request.began_at, lambda request=request: nodes[request.node].begin(request))  # type: ignore[misc]
    time.run()
    return _result(settings, load, requests, backends)


def simulate_gateways(settings: OverloadSettings, load: float, seed: int) -> RunResult:
    """Run one simulation in which every back end has a gateway."""
    time = VirtualTime()
    gateways = [
        SimulatedGateway(time, f"b{index}", ZONES[index % len(ZONES)], settings.slots)
        for index in range(settings.backends)
    ]
    for gateway in gateways:
        gateway.counted_until = settings.seconds
    service = service_settings(settings.slots)
    nodes = [
        GatewayNode(time, gateways, ZONES[index % len(ZONES)], service, Random(f"{seed}:{index}"))
        for index in range(settings.nodes)
    ]
    workload = arrivals(Random(seed), load * settings.capacity, settings.seconds, settings.nodes)
    requests = list(workload)
    for request in requests:
        time.at(request.began_at, partial(nodes[request.node].begin, request))
    time.run()
    result = _result(settings, load, requests, gateways)
    queue_seconds = [wait for gateway in gateways for wait in gateway.admitted_queue_seconds]
    mean_wait = MILLISECONDS_PER_SECOND * sum(queue_seconds) / max(1, len(queue_seconds))
    return msgspec.structs.replace(result, mean_wait=round(mean_wait, 2))


def _create_nodes(
    time: VirtualTime,
    settings: OverloadSettings,
    backends: Sequence[SimulatedBackend],
    seed: int,
    baseline: bool,
) -> list[SimulatedNode]:
    if baseline:
        return [RoundRobinNode(time, backends, index) for index in range(settings.nodes)]
    service = service_settings(settings.slots)
    return [
        DispatcherNode(time, backends, ZONES[index % 4], service, Random(f"{seed}:{index}"))
        for index in range(settings.nodes)
    ]


def _result(
    settings: OverloadSettings,
    load: float,
    requests: Sequence[SimulatedRequest],
    backends: Sequence[SimulatedBackend | SimulatedGateway],
) -> RunResult:
    slot_seconds = settings.backends * settings.slots * settings.seconds
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
        item.ended - item.began_at for item in requests if item.answered and item.ended is not None
    )
    p50, p99 = (
        round(times[int(len(times) * share)] * MILLISECONDS_PER_SECOND, 2)
        if times
        else float("inf")
        for share in (0.5, 0.99)
    )
    return ClassOutcome(len(requests), round(len(times) / max(1, len(requests)), 4), p50, p99)
