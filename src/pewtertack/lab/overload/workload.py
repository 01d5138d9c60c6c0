"""The simulated workload: classes of requests, their work and their deadlines."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import cache
from random import Random

from pewtertack.core.configuration.resolved import ResolvedRoute, ResolvedService, WorkClass

SERVICE = "simulated"


@dataclass(frozen=True, slots=True)
class ClassProfile:
    """One class: its share of the requests; mean work and deadline in seconds."""

    work_class: WorkClass
    share: float
    mean_work: float
    deadline: float
    name: str = ""
    """Of its route; empty stands for the class of work."""
    objective: float = 0.0
    """Within which an answer is wanted; 0 stands for half the deadline."""
    worth: float = 1.0
    """What an answer in time is worth."""
    retries: int = 0
    """How often a caller tries again that obeys."""


def _nobody_listens() -> None:
    """Tell nobody."""


PROFILES = (
    ClassProfile(WorkClass.URGENT, 0.15, 0.010, 0.5),
    ClassProfile(WorkClass.INTERACTIVE, 0.50, 0.020, 1.0),
    ClassProfile(WorkClass.BULK, 0.15, 0.080, 5.0),
    ClassProfile(WorkClass.BACKGROUND, 0.20, 0.030, 5.0),
)
MEAN_WORK = sum(profile.share * profile.mean_work for profile in PROFILES)


@dataclass(slots=True, eq=False)
class SimulatedRequest:
    """One caller's request. Times are in seconds."""

    profile: ClassProfile
    node: int
    began: float
    work: float
    deadline: float
    attempts: int = 0
    ended: float | None = None
    answered: bool = False
    offered_at: float | None = None
    """When a back end began to work on it."""
    retry_after: float | None = None
    """What its refusal told the caller."""
    at_end: Callable[[], None] = _nobody_listens

    def end(self, now: float, answered: bool = False, retry_after: float | None = None) -> None:
        """Note how it ended, once, and tell the caller."""
        if self.ended is None:
            self.ended, self.answered, self.retry_after = now, answered, retry_after
            self.at_end()


def arrivals(random: Random, rate: float, seconds: float, nodes: int) -> Iterator[SimulatedRequest]:
    """Yield requests of a Poisson process, ``rate`` per second over all nodes."""
    now = random.expovariate(rate)
    weights = [profile.share for profile in PROFILES]
    while now < seconds:
        profile = random.choices(PROFILES, weights)[0]
        work = random.expovariate(1 / profile.mean_work)
        yield SimulatedRequest(profile, random.randrange(nodes), now, work, now + profile.deadline)
        now += random.expovariate(rate)


@cache
def route_of(profile: ClassProfile) -> ResolvedRoute:
    """Return the route of a class, with the default limits."""
    return ResolvedRoute(
        name=profile.name or profile.work_class.value,
        service=SERVICE,
        hosts=(),
        path_prefix="/" + (profile.name or profile.work_class.value),
        methods=(),
        work_class=profile.work_class,
        timeout=profile.deadline,
        repeatable=False,
        retry_limit=2,
        retry_budget=0.1,
        queue_limit=50,
        header_secrets={},
        target_latency=profile.objective,
    )


def service_settings(slots: int) -> ResolvedService:
    """Return the service's settings."""
    return ResolvedService(
        name=SERVICE,
        slots_per_backend=slots,
        connections_per_backend=130,
        connect_timeout=1.0,
        slow_start=0.0,
        ejection_failures=5,
        ejection_time=5.0,
    )
