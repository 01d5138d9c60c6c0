"""The simulated workload: classes of requests with their work, deadlines and routes."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import cache
from random import Random

from pewtertack.core.configuration.resolved import ResolvedRoute, ResolvedService, WorkClass

SERVICE = "simulated"


@dataclass(frozen=True, slots=True)
class ClassProfile:
    """One class of requests. Times are in seconds; ``share`` is its fraction of all requests."""

    work_class: WorkClass
    share: float
    mean_work: float
    deadline: float
    name: str = ""
    """Name of its route; empty for the name of the work class."""
    objective: float = 0.0
    """Target latency of its route; 0 for half the deadline."""
    worth: float = 1.0
    """Value of a response in time, relative to other classes."""
    retries: int = 0
    """Number of retries by a caller that obeys ``Retry-After``."""


def _ignore_end() -> None:
    """Do nothing: nobody waits for the end of the request."""


PROFILES = (
    ClassProfile(WorkClass.URGENT, 0.15, 0.010, 0.5),
    ClassProfile(WorkClass.INTERACTIVE, 0.50, 0.020, 1.0),
    ClassProfile(WorkClass.BULK, 0.15, 0.080, 5.0),
    ClassProfile(WorkClass.BACKGROUND, 0.20, 0.030, 5.0),
)
MEAN_WORK = sum(profile.share * profile.mean_work for profile in PROFILES)


@dataclass(slots=True, eq=False)
class SimulatedRequest:
    """One request of a caller. Times are in seconds."""

    profile: ClassProfile
    node: int
    began_at: float
    work: float
    deadline: float
    attempts: int = 0
    ended: float | None = None
    answered: bool = False
    execution_started_at: float | None = None
    """Time at which a back end started to execute it."""
    retry_after: float | None = None
    """Value of ``Retry-After`` in its refusal."""
    on_end: Callable[[], None] = _ignore_end

    def end(self, now: float, answered: bool = False, retry_after: float | None = None) -> None:
        """Record the outcome and notify the caller; later calls have no effect."""
        if self.ended is None:
            self.ended, self.answered, self.retry_after = now, answered, retry_after
            self.on_end()


def arrivals(random: Random, rate: float, seconds: float, nodes: int) -> Iterator[SimulatedRequest]:
    """Yield requests of a Poisson process with ``rate`` requests per second over all nodes."""
    now = random.expovariate(rate)
    weights = [profile.share for profile in PROFILES]
    while now < seconds:
        profile = random.choices(PROFILES, weights)[0]
        work = random.expovariate(1 / profile.mean_work)
        yield SimulatedRequest(profile, random.randrange(nodes), now, work, now + profile.deadline)
        now += random.expovariate(rate)


@cache
def route_of(profile: ClassProfile) -> ResolvedRoute:
    """Return the route of a class, with default limits."""
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
    """Return the settings of the service."""
    return ResolvedService(
        name=SERVICE,
        slots_per_backend=slots,
        connections_per_backend=130,
        connect_timeout=1.0,
        slow_start=0.0,
        ejection_failures=5,
        ejection_time=5.0,
    )
