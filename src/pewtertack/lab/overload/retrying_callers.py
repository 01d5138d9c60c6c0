"""Runs with callers that come back, and what became of their requests."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from random import Random

import msgspec

from pewtertack.lab.overload.callers import AGAIN_PRICE, SHOPPERS, Caller
from pewtertack.lab.overload.gateways import GatewayNode, SimulatedGateway
from pewtertack.lab.overload.virtual_backends import VirtualTime
from pewtertack.lab.overload.workload import ClassProfile, SimulatedRequest, service_settings
from pewtertack.routing.policies import DEFAULT_POLICIES, Policies

ZONES = ("heights", "harbour", "hills")
WORK_SHAPE = 4.0
"""Shape of the gamma distribution of work: its spread is half its mean."""
LONG_TIMES = 7.0
"""So many times its work a request takes that takes long."""
BURST_START = 3.0
"""Seconds from the start of a run to its burst."""
BURST_LOAD = 2.0
"""Load in a burst, in capacities."""
SLOW_SECONDS = 3.0
"""For so long one back end is slow; it begins when a burst would."""


class RetrySimulationSettings(msgspec.Struct, frozen=True):
    """The simulated deployment and its load, in capacities; ``burst`` in seconds."""

    nodes: int = 13
    backends: int = 6
    slots: int = 12
    seconds: float = 12.0
    load: float = 1.0
    burst: float = 0.0
    slowness: float = 1.0
    """So many times slower one back end is for some time."""
    speeds: tuple[float, ...] = (1.0,)
    """Back ends of each zone have them in turn."""
    long_share: float = 0.0
    """Share of requests that take ``LONG_TIMES`` times their work."""
    policies: Policies = DEFAULT_POLICIES
    deadlines: float = 1.0
    """Callers' deadlines, in those of their kinds."""
    deadline_spread: float = 0.0
    """Callers' deadlines are drawn evenly from so much of their mean, half up and half down."""

    @property
    def capacity(self) -> float:
        """Requests per second that keep every slot busy."""
        mean_work = sum(profile.share * profile.mean_work for profile in SHOPPERS)
        mean_work *= 1 + self.long_share * (LONG_TIMES - 1)
        return self.slots * sum(map(self.speed_of, range(self.backends))) / mean_work

    def speed_of(self, index: int) -> float:
        """Return how fast a back end works."""
        return self.speeds[index // len(ZONES) % len(self.speeds)]

    def load_at(self, now: float) -> float:
        """Return the offered load at a time."""
        bursts = BURST_START <= now < BURST_START + self.burst
        return BURST_LOAD if bursts else self.load


class RetryClassOutcome(msgspec.Struct, frozen=True):
    """What became of one class, as shares of the requests that are owed."""

    owed: int
    in_time: float
    late: float
    refused: float
    refused_twice: float
    held: float
    """Price of the time for which requests were held in vain, as a share of their worth."""


class RetrySimulationResult(msgspec.Struct, frozen=True):
    """One run. ``worth`` is what was earned less the prices, as a share of what is owed."""

    seed: int
    worth: float
    earned: float
    classes: dict[str, RetryClassOutcome]


def simulate_retrying_callers(shape: RetrySimulationSettings, seed: int) -> RetrySimulationResult:
    """Run one simulation; equal seeds give equal first attempts."""
    time = VirtualTime()
    gateways = [
        SimulatedGateway(time, f"b{index}", ZONES[index % len(ZONES)], shape.slots, shape.policies)
        for index in range(shape.backends)
    ]
    for index, gateway in enumerate(gateways):
        gateway.slowness = 1 / shape.speed_of(index)
    nodes = [
        GatewayNode(
            time,
            gateways,
            ZONES[index % len(ZONES)],
            service_settings(shape.slots),
            Random(f"{seed}:{index}"),
            shape.policies,
        )
        for index in range(shape.nodes)
    ]
    callers: list[Caller] = []
    for request in _arrivals(shape, Random(seed)):
        caller = Caller(time, nodes, request, Random(f"{seed}:{len(callers)}:caller"))
        callers.append(caller)
        time.at(request.began, caller.begin)
    _slow_down(time, gateways[0], shape.slowness)
    time.run()
    return _result(shape, seed, callers)


def _slow_down(time: VirtualTime, gateway: SimulatedGateway, slowness: float) -> None:
    usual = gateway.slowness

    def use(factor: float) -> None:
        gateway.slowness = usual * factor

    time.at(BURST_START, lambda: use(slowness))
    time.at(BURST_START + SLOW_SECONDS, lambda: use(1.0))


def _arrivals(shape: RetrySimulationSettings, random: Random) -> Iterator[SimulatedRequest]:
    now = 0.0
    drawn = Random(shape.deadline_spread)
    long = Random(shape.long_share)
    weights = [profile.share for profile in SHOPPERS]
    while True:
        now += random.expovariate(shape.load_at(now) * shape.capacity)
        if now >= shape.seconds:
            return
        profile = random.choices(SHOPPERS, weights)[0]
        work = random.gammavariate(WORK_SHAPE, profile.mean_work / WORK_SHAPE)
        if long.random() < shape.long_share:
            work *= LONG_TIMES
        deadline = (
            shape.deadlines
            * profile.deadline
            * (1 + shape.deadline_spread * (drawn.random() - 0.5))
        )
        yield SimulatedRequest(profile, 0, now, work, now + deadline)


def _result(
    shape: RetrySimulationSettings, seed: int, callers: Sequence[Caller]
) -> RetrySimulationResult:
    owed = [caller for caller in callers if not caller.left]
    worth = sum(caller.profile.worth for caller in owed)
    earned = sum(caller.credit * caller.profile.worth for caller in owed)
    prices = sum(_prices(caller) for caller in callers)
    fates = {profile.name: _fate(profile, owed) for profile in SHOPPERS}
    return RetrySimulationResult(
        seed=seed,
        worth=round((earned - prices) / worth, 4),
        earned=round(earned / worth, 4),
        classes=fates,
    )


def _prices(caller: Caller) -> float:
    again = AGAIN_PRICE if caller.refused_again else 0.0
    return (caller.held_price + again) * caller.profile.worth


def _fate(profile: ClassProfile, owed: Sequence[Caller]) -> RetryClassOutcome:
    members = [caller for caller in owed if caller.profile is profile]
    count = max(1, len(members))
    in_time = sum(caller.in_time for caller in members)
    answered = sum(caller.answered_at is not None for caller in members)
    return RetryClassOutcome(
        owed=len(members),
        in_time=round(in_time / count, 4),
        late=round((answered - in_time) / count, 4),
        refused=round(1 - answered / count, 4),
        refused_twice=round(sum(caller.refused_again for caller in members) / count, 4),
        held=round(sum(caller.held_price for caller in members) / count, 4),
    )
