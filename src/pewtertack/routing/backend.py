"""What one proxy knows of one back end."""

from __future__ import annotations

import math

import msgspec

from pewtertack.core.configuration.resolved import ResolvedService
from pewtertack.routing.health import Health
from pewtertack.routing.limit import AdaptiveLimit

REPORT_HALF_LIFE_SECONDS = 0.5
"""Seconds after which a load report counts half."""
REPORT_EXPIRY_SECONDS = 3.0
"""Seconds after which a load report no longer counts."""
INITIAL_SHARE = 0.1
"""Share of the work that a back end takes at the beginning of its slow start."""
STALL_SECONDS = 1.0
"""Without any sign for this long while requests wait there, a back end is avoided."""
GATEWAY_STALL_SECONDS = 0.15
"""The same at least for a back end with a gateway, which tells its load with every answer."""
GATEWAY_STALL_FACTOR = 2.5
"""The same as a multiple of the time that the back end's answers take."""
STALL_MEMORY_SECONDS = 3.0
"""Seconds for which a stall counts after the last request there has been given up."""
STALL_PENALTY = 8.0
PROBE_GRACE_SECONDS = 0.5
"""An unreachable gateway is tried by a request when no probe has been made for so long."""
SLOWNESS_WEIGHT = 0.1
SLOWNESS_LIMIT = 8.0
"""One answer counts as slower or faster than the mean by this factor at most."""
SLOWNESS_NOISE = 1.25
"""Two equal back ends may seem so far apart, since answers differ from one another."""
SLOWNESS_HALF_LIFE_SECONDS = 10.0
"""Seconds without an answer after which half of what was known of its slowness still counts."""
MAXIMUM_REPORTED_SLOTS = 1_000_000


class LoadReport(msgspec.Struct, frozen=True):
    """A back end's ``x-backend-load: <in flight>/<slots>``."""

    in_flight: int
    slots: int


def parse_load(text: str | None) -> LoadReport | None:
    """Read a load report; ``None`` for one that is missing or makes no sense."""
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
    """Gets no new work, by the list or its own answers. Sticky for an incarnation."""
    removed: bool = False
    """Gone from the list, or replaced by another incarnation."""
    silent_since: float | None = None
    """Since when a request has waited there without any sign of the back end."""
    unreachable: bool = False
    """Ejected because its gateway's machine, or process, gave no sign."""
    other_requests: int = 0
    """Requests of other callers at the back end when it last reported."""
    slots: int = 0
    reported_at: float = float("-inf")
    gateway: str = ""
    """``ip:port`` of the node beside the back end, which admits; empty without one."""
    listed_cold: bool = False
    """Whether the newest list says that it is cold."""
    started_at: int = 0
    """Unix milliseconds of its start, 0 while unknown; another start is another incarnation."""
    successor: Backend | None = None
    """Listed at the same address later. This one has ended then, and its entry is still to go:
    after a loss of power half of the list may be such entries for some seconds."""
    link_free_at: float = 0.0
    """When its gateway's link has carried all that it has told of, and that was asked for since."""
    slowness: float = 1.0
    """Time that its answers take, as a multiple of the service's mean."""
    slowness_noted_at: float = float("-inf")

    def configure(self, settings: ResolvedService) -> None:
        """Use the service's settings; the first ones set the limit up."""
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
        """Whether it is listed, and neither leaves nor has a successor that takes work.

        The successor may be nobody: an entry can claim an address that is another's.
        """
        if self.leaving or self.removed:
            return False
        return self.successor is None or not self.successor.accepts_work

    def usable(self, now: float) -> bool:
        """Tell whether a request may start here now."""
        return (
            self.accepts_work
            and (bool(self.gateway) or self.limit.allows(now, self.in_flight))
            and self.reachable(now)
        )

    def reachable(self, now: float) -> bool:
        """Tell whether it is not ejected, or due for a request that tries it."""
        return self.health.allows_request(now - PROBE_GRACE_SECONDS if self.unreachable else now)

    def note_start(self, now: float) -> None:
        """A request of this proxy starts there."""
        self.in_flight += 1
        if self.silent_since is None:
            self.silent_since = now

    def note_contact(self, now: float) -> None:
        """The back end, or its gateway, has answered one of the requests there."""
        self.silent_since = now if self.in_flight > 1 else None

    def note_end(self, now: float, mean_time: float) -> None:
        """A request there has ended; a silence that is long already is not forgotten."""
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
        """Return its slowness as far as it is known: 1.0 where that may be chance, or was long ago.

        Its own answers alone renew the estimate, so that a back end that seems slower than others
        gets none to correct it.
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
        return max(0.0, surplus) * mean_time * self.slowness / slots

    def note_report(self, now: float, report: LoadReport) -> None:
        """Take over a load report; it includes this proxy's own requests."""
        self.other_requests = max(0, report.in_flight - self.in_flight)
        self.slots = report.slots
        self.reported_at = now

    def note_link_queue(self, now: float, ahead: float) -> None:
        """Its gateway has told how long the line of its link is."""
        self.link_free_at = now + ahead

    def link_wait(self, now: float) -> float:
        """Return for how long a long answer would wait for its gateway's link."""
        return max(0.0, self.link_free_at - now)

    def assume_cold(self, now: float) -> None:
        """Take it for full and small until it reports: it does not bear its share yet.

        All proxies hear of a new back end at once. That none has a request there yet must not
        make each of them send one.
        """
        self.slots = 1
        self.other_requests = 1
        self.reported_at = now

    def occupancy(self, now: float) -> float:
        """Return the estimated share of the back end's slots that are taken.

        Own requests count in full; others' by the last report, which loses
        half its weight every ``REPORT_HALF_LIFE_SECONDS``.
        """
        age = now - self.reported_at
        weight = math.exp2(-age / REPORT_HALF_LIFE_SECONDS) if age < REPORT_EXPIRY_SECONDS else 0.0
        assert self.settings is not None
        return (self.in_flight + self.other_requests * weight) / (
            self.slots or self.settings.slots_per_backend
        )

    def score(self, now: float) -> float:
        """Return how unattractive the back end is for one more request."""
        assert self.settings is not None
        slots = self.slots or self.settings.slots_per_backend
        score = (self.occupancy(now) + 1 / slots) / self._slow_start_share(now)
        return score * STALL_PENALTY if self.stalled(now) else score

    def stalled(self, now: float, mean_time: float = 0.0) -> bool:
        """Tell whether requests wait, or waited, there and nothing was heard for too long.

        Args:
            now: monotonic seconds.
            mean_time: seconds that the service's answers take, 0 while unknown.
        """
        if self.silent_since is None:
            return False
        silent = now - self.silent_since
        if self.in_flight == 0 and silent > STALL_MEMORY_SECONDS:
            return False
        return silent > self._stall_limit(mean_time)

    def _stall_limit(self, mean_time: float) -> float:
        if not self.gateway or mean_time == 0:
            return STALL_SECONDS
        return max(GATEWAY_STALL_SECONDS, GATEWAY_STALL_FACTOR * mean_time * self.slowness)

    def _slow_start_share(self, now: float) -> float:
        """Return the share of work, below 1 during the slow start."""
        assert self.settings is not None
        began = max(self.first_seen, self.health.reinstated_at)
        if self.settings.slow_start <= 0 or now - began >= self.settings.slow_start:
            return 1.0
        return INITIAL_SHARE + (1 - INITIAL_SHARE) * (now - began) / self.settings.slow_start


def _may_be_noise(slowness: float) -> bool:
    return 1 / SLOWNESS_NOISE <= slowness <= SLOWNESS_NOISE
