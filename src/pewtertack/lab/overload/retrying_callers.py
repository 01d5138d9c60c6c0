"""Simulates gateways whose callers retry, and computes the value of the responses."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from random import Random

import msgspec

from pewtertack.lab.overload.callers import CALLER_PROFILES, FAILED_RETRY_PENALTY, Caller
from pewtertack.lab.overload.gateways import GatewayNode, SimulatedGateway
from pewtertack.lab.overload.virtual_backends import VirtualTime
from pewtertack.lab.overload.workload import ClassProfile, SimulatedRequest, service_settings
from pewtertack.routing.policies import DEFAULT_POLICIES, Policies

ZONES = ("heights", "harbour", "hills")
WORK_SHAPE = 4.0
"""Shape of the gamma distribution of work; its standard deviation is half its mean."""
LONG_REQUEST_FACTOR = 7.0
"""Factor of the work of a long request."""
BURST_START_SECONDS = 3.0
"""Time from the start of a run to its burst, in seconds."""
BURST_LOAD = 2.0
"""Offered load in a burst, as a multiple of the capacity."""
SLOW_SECONDS = 3.0
"""Time for which one back end is slow, in seconds. It begins at ``BURST_START_SECONDS``."""


class RetrySimulationSettings(msgspec.Struct, frozen=True):
    """The simulated deployment and its load, which is a multiple of the capacity."""

    nodes: int = 13
    backends: int = 6
    slots: int = 12
    seconds: float = 12.0
    load: float = 1.0
    burst: float = 0.0
    """Duration of the burst in seconds."""
    slowness: float = 1.0
    """Factor by which one back end slows down for ``SLOW_SECONDS``."""
    speeds: tuple[float, ...] = (1.0,)
    """Speeds that the back ends of each zone are given in turn."""
    long_share: float = 0.0
    """Fraction of the requests that take ``LONG_REQUEST_FACTOR`` times their work."""
    policies: Policies = DEFAULT_POLICIES
    deadlines: float = 1.0
    """Factor of the deadlines of all classes."""
    deadline_spread: float = 0.0
    """Width of the uniform distribution of a caller's deadline, as a fraction of its mean."""

    @property
    def capacity(self) -> float:
        """Requests per second that occupy all slots."""
        mean_work = sum(profile.share * profile.mean_work for profile in CALLER_PROFILES)
        mean_work *= 1 + self.long_share * (LONG_REQUEST_FACTOR - 1)
        return self.slots * sum(map(self.speed_of, range(self.backends))) / mean_work

    def speed_of(self, index: int) -> float:
        """Return the relative speed of a back end."""
        return self.speeds[index // len(ZONES) % len(self.speeds)]

    def load_at(self, now: float) -> float:
        """Return the offered load at a time, as a multiple of the capacity."""
        in_burst = BURST_START_SECONDS <= now < BURST_START_SECONDS + self.burst
        return BURST_LOAD if in_burst else self.load


class RetryClassOutcome(msgspec.Struct, frozen=True):
    """Outcome of one class, as fractions of the requests whose callers did not leave (``owed``)."""

    owed: int
    in_time: float
    late: float
    refused: float
    """Requests without a response."""
    refused_twice: float
    """Requests that were refused, and not answered after a retry either."""
    held: float
    """Penalty for waiting without result, as a fraction of the requests' worth."""


class RetrySimulationResult(msgspec.Struct, frozen=True):
    """Result of one run.

    ``earned`` is the value of the responses as a fraction of the worth of all requests whose
    callers did not leave; ``worth`` is ``earned`` less the penalties.
    """

    seed: int
    worth: float
    earned: float
    classes: dict[str, RetryClassOutcome]


def simulate_retrying_callers(
    settings: RetrySimulationSettings, seed: int
) -> RetrySimulationResult:
    """Run one simulation. Runs with equal seeds have equal first attempts."""
    time = VirtualTime()
    gateways = [
        SimulatedGateway(
            time, f"b{index}", ZONES[index % len(ZONES)], settings.slots, settings.policies
        )
        for index in range(settings.backends)
    ]
    for index, gateway in enumerate(gateways):
        gateway.slowness = 1 / settings.speed_of(index)
    nodes = [
        GatewayNode(
            time,
            gateways,
            ZONES[index % len(ZONES)],
            service_settings(settings.slots),
            Random(f"{seed}:{index}"),
            settings.policies,
        )
        for index in range(settings.nodes)
    ]
    callers: list[Caller] = []
    for request in _arrivals(settings, Random(seed)):
        caller = Caller(time, nodes, request, Random(f"{seed}:{len(callers)}:caller"))
        callers.append(caller)
        time.at(request.began_at, caller.begin)
    _schedule_slowdown(time, gateways[0], settings.slowness)
    time.run()
    return _result(seed, callers)


def _schedule_slowdown(time: VirtualTime, gateway: SimulatedGateway, slowness: float) -> None:
    normal = gateway.slowness

    def set_factor(factor: float) -> None:
        gateway.slowness = normal * factor

    time.at(BURST_START_SECONDS, lambda: set_factor(slowness))
    time.at(BURST_START_SECONDS + SLOW_SECONDS, lambda: set_factor(1.0))


def _arrivals(settings: RetrySimulationSettings, random: Random) -> Iterator[SimulatedRequest]:
    now = 0.0
    deadline_random = Random(settings.deadline_spread)
    work_random = Random(settings.long_share)
    weights = [profile.share for profile in CALLER_PROFILES]
    while True:
        now += random.expovariate(settings.load_at(now) * settings.capacity)
        if now >= settings.seconds:
            return
        profile = random.choices(CALLER_PROFILES, weights)[0]
        work = random.gammavariate(WORK_SHAPE, profile.mean_work / WORK_SHAPE)
        if work_random.random() < settings.long_share:
            work *= LONG_REQUEST_FACTOR
        deadline = (
            settings.deadlines
            * profile.deadline
            * (1 + settings.deadline_spread * (deadline_random.random() - 0.5))
        )
        yield SimulatedRequest(profile, 0, now, work, now + deadline)


def _result(seed: int, callers: Sequence[Caller]) -> RetrySimulationResult:
    remaining_callers = [caller for caller in callers if not caller.left_early]
    worth = sum(caller.profile.worth for caller in remaining_callers)
    earned = sum(caller.credit * caller.profile.worth for caller in remaining_callers)
    penalties = sum(_penalties(caller) for caller in callers)
    outcomes = {
        profile.name: _class_outcome(profile, remaining_callers) for profile in CALLER_PROFILES
    }
    return RetrySimulationResult(
        seed=seed,
        worth=round((earned - penalties) / worth, 4),
        earned=round(earned / worth, 4),
        classes=outcomes,
    )


def _penalties(caller: Caller) -> float:
    retry_penalty = FAILED_RETRY_PENALTY if caller.refused_after_retry else 0.0
    return (caller.wait_penalty + retry_penalty) * caller.profile.worth


def _class_outcome(profile: ClassProfile, remaining_callers: Sequence[Caller]) -> RetryClassOutcome:
    members = [caller for caller in remaining_callers if caller.profile is profile]
    count = max(1, len(members))
    in_time = sum(caller.in_time for caller in members)
    answered = sum(caller.answered_at is not None for caller in members)
    return RetryClassOutcome(
        owed=len(members),
        in_time=round(in_time / count, 4),
        late=round((answered - in_time) / count, 4),
        refused=round(1 - answered / count, 4),
        refused_twice=round(sum(caller.refused_after_retry for caller in members) / count, 4),
        held=round(sum(caller.wait_penalty for caller in members) / count, 4),
    )
