"""A proxy's view of one back end."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from pewtertack.core.configuration.resolved import ResolvedService
from pewtertack.routing.health import Health
from pewtertack.routing.limit import AdaptiveLimit

if TYPE_CHECKING:
    from pewtertack.routing.rate_reports import KnownRate, RateReport

REPORT_HALF_LIFE_SECONDS = 0.5
"""Half-life of a load report's weight."""
REPORT_EXPIRY_SECONDS = 3.0
"""Age at which a load report no longer counts."""
INITIAL_SHARE = 0.1
"""Share of the usual work that a back end gets at the beginning of its slow start."""
STALL_SECONDS = 1.0
"""A back end is avoided when requests wait there and nothing has been received for this long."""
GATEWAY_STALL_SECONDS = 0.15
"""Shortest time without contact after which a back end with a gateway is avoided. It is shorter
than ``STALL_SECONDS``, since a gateway reports its load with every answer."""
GATEWAY_STALL_FACTOR = 2.5
"""Time without contact after which a back end with a gateway is avoided, as a multiple of the time
that its answers take."""
STALL_MEMORY_SECONDS = 3.0
"""Seconds for which a stall counts after the last request there has been given up."""
STALL_PENALTY = 8.0
"""Factor by which the cost of choosing a stalled back end is multiplied."""
PROBE_GRACE_SECONDS = 0.5
"""A request tries an unreachable gateway when a probe has been overdue for this long."""
SLOWNESS_WEIGHT = 0.1
"""Weight of the newest answer in the estimate of a back end's slowness."""
SLOWNESS_LIMIT = 8.0
"""Largest factor by which one answer counts as slower or faster than the mean."""
SLOWNESS_NOISE = 1.25
"""Apparent slowness up to which two equal back ends may differ, since answer times vary."""
SLOWNESS_HALF_LIFE_SECONDS = 10.0
"""Half-life of the slowness estimate while no answer is received."""
MAXIMUM_REPORTED_SLOTS = 1_000_000
"""Load reports with more slots are ignored."""


class LoadReport(msgspec.Struct, frozen=True):
    """A back end's ``x-backend-load: <in flight>/<slots>``."""

    in_flight: int
    slots: int


def parse_load(text: str | None) -> LoadReport | None:
    """Parse a load report; return ``None`` if it is missing or malformed."""
    if text is None:
        return None
    in_flight, _, slots = text.strip().partition("/")
    if not (in_flight.isdecimal() and slots.isdecimal() and len(text) < 20):
        return None
    report = LoadReport(int(in_flight), int(slots))
    return report if 0 < report.slots <= MAXIMUM_REPORTED_SLOTS else None


class Backend(msgspec.Struct, eq=False):
    """One incarnation of a back end: a machine's name at one address."""

    name: str
    service: str
    address: str
    """``ip:port``."""
    zone: str
    first_seen: float
    settings: ResolvedService | None = None
    limit: AdaptiveLimit = msgspec.field(default_factory=lambda: AdaptiveLimit(1))
    health: Health = msgspec.field(default_factory=Health)
    in_flight: int = 0
    """Requests of this proxy at the back end."""
    leaving: bool = False
    """Gets no new work, by the machine list or its own answers; permanent for an incarnation."""
    removed: bool = False
    """Gone from the list, or replaced by another incarnation."""
    silent_since: float | None = None
    """Start of the period in which requests have waited there and nothing was received."""
    unreachable: bool = False
    """Ejected because its gateway's machine or process did not respond."""
    other_requests: int = 0
    """Requests of other callers at the back end when it last reported."""
    slots: int = 0
    reported_at: float = float("-inf")
    gateway: str = ""
    """``ip:port`` of the node that admits requests to the back end; empty without one."""
    listed_cold: bool = False
    """Whether the newest list says that it is cold."""
    started_at: int = 0
    """Unix milliseconds of its start, 0 while unknown; each start is another incarnation."""
    successor: Backend | None = None
    """The back end that was listed later at the same address. This one no longer runs then, and
    its entry is stale. For some seconds after a power failure half of the list may be stale."""
    link_free_at: float = 0.0
    """When its gateway's link will have sent the queue last reported and the answers requested
    since."""
    known_rate: KnownRate | None = None
    """The limit of requests a second that it names, ``None`` while it names none."""
    invalid_rate: str = ""
    """What was wrong with the latest invalid limit that was named; empty if none was."""
    slowness: float = 1.0
    """Time that its answers take, as a multiple of the service's mean."""
    slowness_noted_at: float = float("-inf")

    def configure(self, settings: ResolvedService) -> None:
        """Use the service's settings; the first ones create the limit."""
        if settings is self.settings:
            return
        ceiling = min(settings.slots_per_backend, settings.connections_per_backend)
        if self.settings is None:
            self.limit = AdaptiveLimit(ceiling)
        else:
            self.limit.set_ceiling(ceiling)
        self.settings = settings

    @property
    def accepts_work(self) -> bool:
        """Whether it is listed, is not leaving and has no successor that accepts work.

        The successor's entry may be wrong: it can claim an address that belongs to another machine.
        """
        if self.leaving or self.removed:
            return False
        return self.successor is None or not self.successor.accepts_work

    def usable(self, now: float) -> bool:
        """Tell whether a request may start here now."""
        return (
            self.accepts_work
            and (self.known_rate is None or self.known_rate.may_send(now))
            and (bool(self.gateway) or self.limit.allows(now, self.in_flight))
            and self.reachable(now)
        )

    def reachable(self, now: float) -> bool:
        """Tell whether it is not ejected, or is due for a trial request."""
        return self.health.allows_request(now - PROBE_GRACE_SECONDS if self.unreachable else now)

    def note_start(self, now: float) -> None:
        """Record that a request of this proxy starts there."""
        self.in_flight += 1
        if self.known_rate is not None:
            self.known_rate.note_start(now)
        if self.silent_since is None:
            self.silent_since = now

    def note_contact(self, now: float) -> None:
        """Record that the back end, or its gateway, has answered one of the requests there."""
        self.silent_since = now if self.in_flight > 1 else None

    def note_end(self, now: float, mean_time: float) -> None:
        """Record the end of a request there; a stall is remembered."""
        self.in_flight -= 1
        if self.in_flight == 0 and not self.stalled(now, mean_time):
            self.silent_since = None

    def note_time(self, now: float, seconds: float, expected: float) -> None:
        """Compare an answer's time with the service's mean for its route, 0 while unknown."""
        if expected > 0:
            ratio = min(max(seconds / expected, 1 / SLOWNESS_LIMIT), SLOWNESS_LIMIT)
            slowness = self._aged_slowness(now)
            self.slowness = slowness + SLOWNESS_WEIGHT * (ratio - slowness)
            self.slowness_noted_at = now

    def known_slowness(self, now: float) -> float:
        """Return its slowness, or 1.0 where that is within noise or outdated.

        Only its own answers update the estimate, and a back end that seems slower than others
        gets no requests that could correct it. So the estimate expires.
        """
        if _may_be_noise(self.slowness):
            return 1.0
        slowness = self._aged_slowness(now)
        return 1.0 if _may_be_noise(slowness) else slowness

    def _aged_slowness(self, now: float) -> float:
        age = max(0.0, now - self.slowness_noted_at)
        return 1 + (self.slowness - 1) * math.exp2(-age / SLOWNESS_HALF_LIFE_SECONDS)

    def expected_wait(self, now: float, mean_time: float) -> float:
        """Return the seconds that one more request would wait at the gateway."""
        assert self.settings is not None
        slots = self.slots or self.settings.slots_per_backend
        surplus = self.occupancy(now) * slots + 1 - slots
        wait = max(0.0, surplus) * mean_time * self.slowness / slots
        return wait if self.known_rate is None else max(wait, self.known_rate.wait(now))

    def concurrency(self, mean_time: float) -> float:
        """Return the number of requests that this proxy may have in flight there on average."""
        limit = float(int(self.limit.value))
        if self.known_rate is None or not self.known_rate.is_share:
            return limit
        return min(limit, self.known_rate.rate * mean_time)

    def note_report(self, now: float, report: LoadReport) -> None:
        """Take over a load report; it includes this proxy's own requests."""
        self.other_requests = max(0, report.in_flight - self.in_flight)
        self.slots = report.slots
        self.reported_at = now

    def note_rate(self, now: float, report: RateReport) -> None:
        """Record its gateway's report of the limit that it names."""
        from pewtertack.routing.rate_reports import KnownRate

        self.known_rate = KnownRate(report.rate, now, report.seconds)

    def note_rate_share(self, now: float, rate: float) -> None:
        """Record this proxy's share of the limit that it names, as no gateway keeps the whole."""
        from pewtertack.routing.rate_reports import KnownRate

        if self.known_rate is None or not self.known_rate.is_share:
            self.known_rate = KnownRate(rate, now, is_share=True)
        else:
            self.known_rate.note_rate(rate, now)

    def note_link_queue(self, now: float, queue_seconds: float) -> None:
        """Take over its gateway's report of the link queue."""
        self.link_free_at = now + queue_seconds

    def link_wait(self, now: float) -> float:
        """Return the seconds for which a long answer would wait for its gateway's link."""
        return max(0.0, self.link_free_at - now)

    def assume_cold(self, now: float) -> None:
        """Assume that it has one slot, which is taken, until it reports its load.

        All proxies learn of a new back end at once, while it cannot take its full share yet. Not
        every one of them should send a request because it has none there.
        """
        self.slots = 1
        self.other_requests = 1
        self.reported_at = now

    def occupancy(self, now: float) -> float:
        """Return the estimated share of the back end's slots that are taken.

        Own requests count in full; those of others by the last report, which loses
        half its weight every ``REPORT_HALF_LIFE_SECONDS``.
        """
        age = now - self.reported_at
        weight = math.exp2(-age / REPORT_HALF_LIFE_SECONDS) if age < REPORT_EXPIRY_SECONDS else 0.0
        assert self.settings is not None
        return (self.in_flight + self.other_requests * weight) / (
            self.slots or self.settings.slots_per_backend
        )

    def score(self, now: float) -> float:
        """Return a score for one more request; the lowest is the best."""
        assert self.settings is not None
        slots = self.slots or self.settings.slots_per_backend
        score = (self.occupancy(now) + 1 / slots) / self._slow_start_share(now)
        return score * STALL_PENALTY if self.stalled(now) else score

    def stalled(self, now: float, mean_time: float = 0.0) -> bool:
        """Tell whether requests wait, or waited, there and nothing was received for too long.

        Args:
            now: monotonic seconds.
            mean_time: seconds that the service's answers take, 0 while unknown.
        """
        if self.silent_since is None:
            return False
        silence = now - self.silent_since
        if self.in_flight == 0 and silence > STALL_MEMORY_SECONDS:
            return False
        return silence > self._stall_limit(mean_time)

    def _stall_limit(self, mean_time: float) -> float:
        if not self.gateway or mean_time == 0:
            return STALL_SECONDS
        return max(GATEWAY_STALL_SECONDS, GATEWAY_STALL_FACTOR * mean_time * self.slowness)

    def _slow_start_share(self, now: float) -> float:
        """Return the share of the usual work to give it, below 1 during its slow start."""
        assert self.settings is not None
        began = max(self.first_seen, self.health.reinstated_at)
        if self.settings.slow_start <= 0 or now - began >= self.settings.slow_start:
            return 1.0
        return INITIAL_SHARE + (1 - INITIAL_SHARE) * (now - began) / self.settings.slow_start


def _may_be_noise(slowness: float) -> bool:
    return 1 / SLOWNESS_NOISE <= slowness <= SLOWNESS_NOISE
