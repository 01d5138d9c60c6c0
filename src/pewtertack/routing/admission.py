"""Admission of requests to the one back end that is local to a node.

All requests to the back end pass through its node, so the number in flight is exact.
Requests that find no free slot are queued by class, priority and latest timely start. A
request that can no longer be answered within its objective, or that comes from a retrying
caller (``pewtertack.routing.patience``), has lower precedence than all that still can: in
an overload the back end's time goes to answers that are in time.

A nested call, which a back end makes while it runs another request, has no value of its own,
but the execution that waits for it is lost without it (``pewtertack.routing.origins``). It is
short of time, so it precedes other requests of its rank, is never late, and is refused only
when its deadline cannot be met.

A request stays queued while it is expected to be served: in time; or late, if its caller has no
time for another whole attempt or is retrying. This is estimated on arrival and again while it
waits, from its position in the queue, the mean and the spread of the back end's service times,
and the capacity that requests of higher precedence leave free. A request that is no longer
expected to be served is refused at once, before the back end has received a byte of it.

The caller submits an ``AdmissionTicket`` for every request, waits for its ``wake``
when it was neither granted nor refused at once, and reports when the request has ended.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Callable

from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.arrivals import ArrivalRate
from pewtertack.routing.cold import WINDOW_SECONDS, ColdStart
from pewtertack.routing.hanging import HangDetector
from pewtertack.routing.margins import MARGINS
from pewtertack.routing.outcomes import DeadlineUnmeetableError, NotRunError, QueueFullError
from pewtertack.routing.patience import WaitPolicy
from pewtertack.routing.policies import DEFAULT_POLICIES, HungRequestPolicy, Policies
from pewtertack.routing.rate_limit import RateLimit
from pewtertack.routing.recent_delay import RecentDelay
from pewtertack.routing.service_times import ServiceTimes

QUEUE_PER_SLOT = 20
"""Requests that may be queued for each slot."""
STALL_FACTOR = 3.0
"""A back end is stalled after this many mean times without any request starting or ending."""
RECHECK_SECONDS = 0.05
"""Interval at which the prospects of a late request are checked: an eighth of an objective of
0.4 s. A wait of up to an eighth of the objective costs users nothing."""
LATE_CHECK_DELAY_SECONDS = 0.001
"""Seconds after its latest timely start at which a queued request is checked as a late one."""
MINIMUM_RETRY_AFTER = 0.05
MAXIMUM_RETRY_AFTER = 10.0
"""Bounds, in seconds, of the time after which a refused caller should retry."""
OVERLOAD_END_SECONDS = 1.0
"""An overload is over after this long without a refusal."""


Precedence = tuple[bool, tuple[int, int, bool, float, int]]
"""Whether the ticket is late or deferred, and its ``sort_key``; the smallest goes first."""


class Admission:
    """Slots and queue of one incarnation of a back end.

    Args:
        slots: number of requests that the back end serves concurrently.
        cold: limits the rate of requests while the back end is cold; ``None`` sets no limit.
        policies: the policy of each decision that has several.
    """

    def __init__(
        self,
        slots: int,
        cold: ColdStart | None = None,
        policies: Policies = DEFAULT_POLICIES,
    ) -> None:
        self.policies = policies
        self.slots = max(1, slots)
        self.cold = cold
        self.rate_limit = RateLimit()
        self.in_flight = 0
        self._queue: list[AdmissionTicket] = []
        self._arrivals = 0
        self._precedence_arrivals = ArrivalRate()
        self._service_times = ServiceTimes()
        self._delay = RecentDelay()
        self.hang_detector = HangDetector() if policies.hanging is HungRequestPolicy.LEFT else None
        self._start_with_margin = MARGINS[policies.margin]
        self._last_progress_at = -math.inf
        """When a request last started or ended."""
        self._refusing_since = -math.inf
        self._refused_at = -math.inf

    @property
    def load(self) -> int:
        """Number of requests at the back end or queued for it, without deferred ones."""
        return self.in_flight + len([item for item in self._queue if not item.is_deferred])

    @property
    def is_idle(self) -> bool:
        """Whether no request is at the back end or queued for it."""
        return not self.in_flight and not self._queue

    def advertised_slots(self, now: float) -> int:
        """Return the number of slots to advertise to other nodes.

        While the back end is cold, or names a limit: the number that its permitted rate keeps busy.
        While it hangs on part of its requests: the number that the others need.
        """
        slots = self.slots
        if self.cold is not None and self.cold.is_cold(now):
            slots = min(slots, self._slots_of_rate(self.cold.max_starts_per_second))
        elif self.hang_detector is not None:
            slots = self.hang_detector.advertised_slots(slots, now)
        if self.rate_limit.rate is not None:
            slots = min(slots, self._slots_of_rate(self.rate_limit.rate))
        return slots

    def _slots_of_rate(self, rate: float) -> int:
        """Return the number of slots that a rate of requests a second occupies, at least 1."""
        return max(1, round(rate * self._service_times.mean))

    def use_slots(self, slots: int, now: float) -> None:
        """Change the number of slots; queued requests are granted any new ones."""
        self.slots = max(1, slots)
        self._grant_waiting(now)

    def expected_time(self, route: str) -> float:
        """Return the mean time that the back end needs for the route, 0 while unknown."""
        return self._service_times.mean_of(route)

    def submit(self, ticket: AdmissionTicket, now: float) -> None:
        """Grant the ticket or queue it.

        Raises:
            QueueFullError: the queue is full.
            DeadlineUnmeetableError: the request is not expected to start in time.
        """
        ticket.submitted_at = now
        if not ticket.is_deferred:
            self._precedence_arrivals.note(now)
        if self._has_capacity(now) and not self._queue:
            self._start(ticket, now)
            return
        self._arrivals += 1
        ticket.latest_timely_start = self._latest_timely_start(ticket, now)
        ticket.sort_key = (
            *ticket.rank,
            not ticket.nested,
            ticket.latest_timely_start,
            self._arrivals,
        )
        if not self._may_be_served(ticket, now):
            message = "no slot comes free in time"
            raise DeadlineUnmeetableError(message, self._retry_after(now))
        if len(self._queue) >= QUEUE_PER_SLOT * self.slots:
            self._evict_for(ticket, now)
        ticket.check_at = self._next_check(ticket, now)
        bisect.insort(self._queue, ticket, key=lambda item: item.sort_key)

    def _has_capacity(self, now: float) -> bool:
        """Tell whether the back end may be given one more request now."""
        return (
            self.in_flight < self.slots
            and (self.cold is None or self.cold.may_start(now))
            and (self.rate_limit.rate is None or self.rate_limit.may_start(now))
        )

    def _evict_for(self, ticket: AdmissionTicket, now: float) -> None:
        """Refuse the last ticket of the queue if it is less urgent than the new one.

        Raises:
            QueueFullError: no queued ticket is less urgent than the new one.
        """
        last = self._queue[-1]
        if last.sort_key < ticket.sort_key:
            raise QueueFullError("too many requests wait", self._retry_after(now))
        self._queue.pop()
        last.refusal = QueueFullError("too many requests wait", self._retry_after(now))
        last.wake()

    def _may_be_served(self, ticket: AdmissionTicket, now: float) -> bool:
        """Tell whether the ticket is expected to start early enough to be useful."""
        if not self._is_late(ticket, now):
            ahead = self._count_before((False, ticket.sort_key), now)
            if now + self._wait_behind(ahead, ticket, now) <= ticket.latest_timely_start:
                return True
        if ticket.nested:
            return False
        if ticket.wait_policy in (
            WaitPolicy.TRY_ANOTHER_GATEWAY,
            WaitPolicy.RETRY,
        ) or self._is_stalled(now):
            return False
        return now + self._late_wait(ticket, now) <= self._latest_start(ticket, now)

    def _late_wait(self, ticket: AdmissionTicket, now: float) -> float:
        """Return the wait of a request behind all that may still be answered in time.

        Requests of higher precedence keep arriving; only the capacity they leave free counts.
        """
        free_share = 1 - self._precedence_arrivals.lower_bound(now) * self._start_interval(
            self._mean_time(now), now
        )
        if free_share <= 0:
            return math.inf
        ahead = self._count_before((True, ticket.sort_key), now)
        return self._wait_behind(ahead, ticket, now) / free_share

    def _count_before(self, precedence: Precedence, now: float) -> int:
        """Return the number of queued tickets that go before one of this precedence."""
        return len([item for item in self._queue if self._precedence(item, now) < precedence])

    def _is_stalled(self, now: float) -> bool:
        """Tell whether the back end makes no progress, so that no wait can be estimated."""
        expected = max(self._mean_time(now), self.rate_limit.interval)
        return now - self._last_progress_at > STALL_FACTOR * expected > 0

    def _latest_start(self, ticket: AdmissionTicket, now: float) -> float:
        """Return the latest start after which the request would often miss its deadline."""
        return (
            ticket.deadline
            - self._response_time(ticket, now)
            - self._service_times.spread_of(ticket.route)
        )

    def _wait_behind(self, ahead: int, ticket: AdmissionTicket, now: float) -> float:
        """Return the seconds until a request with ``ahead`` others before it starts."""
        mean = self._mean_time(now) or ticket.assumed_time
        wait = (ahead + 1) * self._slot_interval(mean, now)
        return max(wait, self.rate_limit_wait(ahead, now))

    def rate_limit_wait(self, ahead: int, now: float) -> float:
        """Return the seconds that a request with ``ahead`` others before it waits for the limit.

        0 if the back end names no limit.
        """
        limit = self.rate_limit
        if limit.rate is None:
            return 0.0
        return limit.seconds_until_start(now) + ahead * limit.interval

    def _mean_time(self, now: float) -> float:
        """Return the mean time for which a request occupies a slot, 0 while unknown."""
        return self._service_times.mean and self._service_times.mean + self._delay.at(now)

    def _start_interval(self, mean: float, now: float) -> float:
        """Return the mean seconds from one start to the next while requests are queued."""
        return max(self._slot_interval(mean, now), self.rate_limit.interval)

    def _slot_interval(self, mean: float, now: float) -> float:
        """Return the seconds from one start to the next while all slots are occupied."""
        by_slots = mean / self.slots
        if self.cold is None or not self.cold.is_cold(now):
            return by_slots
        return max(by_slots, WINDOW_SECONDS / self.cold.max_starts_per_second)

    def _execution_time(self, ticket: AdmissionTicket) -> float:
        return self.expected_time(ticket.route) or ticket.assumed_time

    def _response_time(self, ticket: AdmissionTicket, now: float) -> float:
        """Return the seconds from the start until this node has read the answer."""
        return self._execution_time(ticket) + self._delay.at(now)

    def _latest_timely_start(self, ticket: AdmissionTicket, now: float) -> float:
        """Return the latest start after which the request would often miss its objective."""
        if ticket.nested:
            return self._latest_start(ticket, now)
        latest = min(ticket.objective, ticket.deadline) - self._response_time(ticket, now)
        spread = self._service_times.spread_of(ticket.route)
        return self._start_with_margin(ticket.submitted_at, latest, spread)

    def _precedence(self, ticket: AdmissionTicket, now: float) -> Precedence:
        """Return the ticket's precedence in the queue; the smallest goes first."""
        return self._is_late(ticket, now), ticket.sort_key

    def _is_late(self, ticket: AdmissionTicket, now: float) -> bool:
        """Tell whether the request has lower precedence than all that may still be in time."""
        return ticket.is_deferred or now > ticket.latest_timely_start

    def _retry_after(self, now: float) -> float:
        """Record a refusal; return the seconds until capacity is expected to be free.

        An overload that has lasted for some time is assumed to last as long again.
        """
        if now - self._refused_at > OVERLOAD_END_SECONDS:
            self._refusing_since = now
        self._refused_at = now
        ahead = max(0, self.load - self.in_flight)
        wait = (ahead + 1) * self._start_interval(self._mean_time(now), now)
        expected = max(wait, now - self._refusing_since, MINIMUM_RETRY_AFTER)
        return min(expected, MAXIMUM_RETRY_AFTER)

    def next_check_at(self, ticket: AdmissionTicket) -> float:
        """Return when to check a queued ticket again."""
        return ticket.check_at

    def recheck(self, ticket: AdmissionTicket, now: float) -> None:
        """Refuse a queued ticket that is no longer expected to be served in time."""
        if ticket.granted or ticket.refusal is not None or now < ticket.check_at:
            return
        self._grant_waiting(now)
        if ticket.granted or ticket.refusal is not None:
            return
        if self._may_keep_waiting(ticket, now):
            ticket.check_at = self._next_check(ticket, now)
            return
        self._refuse_late(ticket, now)

    def _may_keep_waiting(self, ticket: AdmissionTicket, now: float) -> bool:
        """Tell whether a ticket may stay queued.

        A nested call that may not is refused early enough to try another gateway.
        """
        if ticket.nested:
            stalled = self.in_flight >= self.slots and self._is_stalled(now)
            return not stalled and self._may_be_served(ticket, now)
        return not self._is_late(ticket, now) or self._may_be_served(ticket, now)

    def _refuse_late(self, ticket: AdmissionTicket, now: float) -> None:
        self._queue.remove(ticket)
        message = "no slot came free in time"
        ticket.refusal = DeadlineUnmeetableError(message, self._retry_after(now))
        ticket.wake()

    def _next_check(self, ticket: AdmissionTicket, now: float) -> float:
        """Return when to check the ticket again.

        A back end that is cold or names a limit gains capacity with time, without any request
        ending.
        """
        limit_wait = self.rate_limit.seconds_until_start(now)
        if limit_wait > 0:
            return now + min(RECHECK_SECONDS, limit_wait)
        cold = self.cold is not None and self.cold.is_cold(now)
        if cold or self.rate_limit.rate is not None or ticket.nested or self._is_late(ticket, now):
            return now + RECHECK_SECONDS
        return ticket.latest_timely_start + LATE_CHECK_DELAY_SECONDS

    def apply_rate_limit(self, now: float) -> None:
        """Refuse queued tickets that a changed limit keeps from being served; recheck the rest."""
        for ticket in sorted(self._queue, key=lambda item: self._precedence(item, now)):
            if not self._may_be_served(ticket, now):
                self._refuse_late(ticket, now)
        for ticket in tuple(self._queue):
            ticket.check_at = now
            ticket.recheck()

    def withdraw(self, ticket: AdmissionTicket) -> None:
        """Remove a queued ticket whose caller has gone."""
        if ticket in self._queue:
            self._queue.remove(ticket)

    def refuse(self, ticket: AdmissionTicket, refusal: NotRunError) -> None:
        """Refuse a queued ticket with ``refusal``; a ticket that is not queued is left alone."""
        if ticket in self._queue:
            self._queue.remove(ticket)
            ticket.refusal = refusal
            ticket.wake()

    def refuse_all(self, refusal_of: Callable[[], NotRunError]) -> None:
        """Refuse all queued tickets, each with a refusal of its own."""
        for ticket in tuple(self._queue):
            self.refuse(ticket, refusal_of())

    def finish(
        self, ticket: AdmissionTicket, now: float, answered: bool, delay: float = 0.0
    ) -> None:
        """Record the end of a granted request and give its slot to the next in the queue.

        A request that ended without an answer still gives a lower bound of its time: a back end
        that has become slow answers only its quick requests.

        Args:
            ticket: the request's ticket.
            now: monotonic seconds.
            answered: whether the back end has answered.
            delay: seconds for which the answer lay unread because this node was delayed.
        """
        self.in_flight -= 1
        self._last_progress_at = now
        delay = min(delay, now - ticket.started_at)
        seconds = now - ticket.started_at - delay
        if self.hang_detector is not None:
            self.hang_detector.note_end(ticket, now, answered)
        if answered:
            self._delay.note(delay, now)
        if answered or not ticket.hung and seconds > self._execution_time(ticket):
            self._service_times.note(ticket.route, seconds)
        self._grant_waiting(now)

    def _grant_waiting(self, now: float) -> None:
        while self._queue and self._has_capacity(now):
            ticket = min(self._queue, key=lambda item: self._precedence(item, now))
            if now > self._latest_start(ticket, now):
                self._refuse_late(ticket, now)
                continue
            self._queue.remove(ticket)
            self._start(ticket, now)
            ticket.wake()

    def _start(self, ticket: AdmissionTicket, now: float) -> None:
        if self.cold is not None:
            self.cold.note_start(now)
        if self.rate_limit.rate is not None:
            self.rate_limit.note_start(now)
        self.in_flight += 1
        self._last_progress_at = now
        ticket.granted = True
        ticket.started_at = now
        if self.hang_detector is not None:
            self.hang_detector.note_start(ticket)
