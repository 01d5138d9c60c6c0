"""Admission of requests to the one back end beside a node.

Every request to the back end passes its node, so the number in flight is exact.
What finds no free slot waits, ordered by class, priority and the start that its objective
asks for: what a back end calls while it runs a request is short of time and goes first.
One that can no longer be answered within its objective, or whose caller came back
(``pewtertack.routing.wait_policy``), lets all go first that still can: in overload the back
end's time goes to answers that are in time.

A call that a back end makes while it runs another request has no worth of its own, but the
run that waits for it is lost without it (``pewtertack.routing.origins``). It goes before others
of its rank, is never late, and is refused only when its deadline cannot be met.

A request is kept while it is expected to be served: in time; or late, where its caller has no
time for another whole attempt or came back. That is judged on arrival and again while it
waits, by its place, the mean and the spread of the back end's times, and what those that go
first leave free. It is refused as soon as it is not expected any longer, before the back end
has seen a byte of it.

The caller submits an ``AdmissionTicket`` for every request, waits for its ``wake``
when it was neither granted nor refused at once, and reports its end.
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
from pewtertack.routing.policies import DEFAULT_POLICIES, HungRequestPolicy, Policies
from pewtertack.routing.recent_delay import RecentDelay
from pewtertack.routing.service_times import ServiceTimes
from pewtertack.routing.wait_policy import WaitPolicy

QUEUE_PER_SLOT = 20
"""Requests that may wait for each slot."""
STALL_FACTOR = 3.0
"""A back end that began and ended nothing for so many mean times stands still. Assumed."""
RECHECK_SECONDS = 0.05
"""How often the prospects of a late request that waits are judged anew: an eighth of an
objective of 0.4 s, up to which the users' price list takes waiting for nothing."""
LATE_CHECK_DELAY_SECONDS = 0.001
"""Seconds after the last timely start at which a waiting request is judged as late."""
MINIMUM_RETRY_AFTER = 0.05
MAXIMUM_RETRY_AFTER = 10.0
OVERLOAD_END_SECONDS = 1.0
"""So long without a refusal, and an overload is over."""


Precedence = tuple[bool, tuple[int, int, bool, float, int]]
"""Whether others go first, then the order of tickets."""


class Admission:
    """Slots and queue of one incarnation of a back end.

    Args:
        slots: requests that the back end works on at once.
        cold: what it may be given while it is cold; ``None`` bounds nothing.
        policies: the way of each decision that has several.
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
        """Requests at the back end and waiting for it, without those that let others go first."""
        return self.in_flight + sum(not item.is_deferred for item in self._queue)

    @property
    def is_idle(self) -> bool:
        """Whether no request is at the back end or waits for it."""
        return not self.in_flight and not self._queue

    def advertised_slots(self, now: float) -> int:
        """Return the slots to tell other nodes: while it is cold, how many its rate keeps busy.

        Of one that hangs on a part of its requests: as many as the others need.
        """
        if self.cold is None or not self.cold.is_cold(now):
            return (
                self.slots
                if self.hang_detector is None
                else self.hang_detector.advertised_slots(self.slots, now)
            )
        return max(
            1, min(self.slots, round(self.cold.max_starts_per_second * self._service_times.mean))
        )

    def use_slots(self, slots: int, now: float) -> None:
        """Work with so many slots from now on; what waits gets those that are new."""
        self.slots = max(1, slots)
        self._grant_waiting(now)

    def expected_time(self, route: str) -> float:
        """Return the mean time that the back end takes for the route, 0 while unknown."""
        return self._service_times.mean_of(route)

    def submit(self, ticket: AdmissionTicket, now: float) -> None:
        """Grant the ticket or let it wait.

        Raises:
            QueueFullError: as many wait as may.
            DeadlineUnmeetableError: its turn would come too late.
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
        return self.in_flight < self.slots and (self.cold is None or self.cold.may_start(now))

    def _evict_for(self, ticket: AdmissionTicket, now: float) -> None:
        """Refuse the last that waits if it is less urgent, else the new one.

        Raises:
            QueueFullError: nothing less urgent than the ticket waits.
        """
        last = self._queue[-1]
        if last.sort_key < ticket.sort_key:
            raise QueueFullError("too many requests wait", self._retry_after(now))
        self._queue.pop()
        last.refusal = QueueFullError("too many requests wait", self._retry_after(now))
        last.wake()

    def _may_be_served(self, ticket: AdmissionTicket, now: float) -> bool:
        """Tell whether the ticket is expected to start while that is of use."""
        if not self._is_late(ticket, now):
            turn = (False, ticket.sort_key)
            ahead = sum(self._precedence(item, now) < turn for item in self._queue)
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
        """Return the wait of a request behind all that may still be in time.

        Those that go first keep coming; what they leave free serves the others.
        """
        free = 1 - self._precedence_arrivals.lower_bound(now) * self._start_interval(
            self._mean_time(now), now
        )
        if free <= 0:
            return math.inf
        turn = (True, ticket.sort_key)
        ahead = sum(self._precedence(item, now) < turn for item in self._queue)
        return self._wait_behind(ahead, ticket, now) / free

    def _is_stalled(self, now: float) -> bool:
        """Tell whether the back end stands still, so that nothing is known of any wait."""
        return now - self._last_progress_at > STALL_FACTOR * self._mean_time(now) > 0

    def _latest_start(self, ticket: AdmissionTicket, now: float) -> float:
        """Return until when it should start: later, it would often miss its deadline."""
        return (
            ticket.deadline
            - self._response_time(ticket, now)
            - self._service_times.spread_of(ticket.route)
        )

    def _wait_behind(self, ahead: int, ticket: AdmissionTicket, now: float) -> float:
        """Return in how many seconds a request starts that lets ``ahead`` others go first."""
        return (ahead + 1) * self._start_interval(self._mean_time(now) or ticket.assumed_time, now)

    def _mean_time(self, now: float) -> float:
        """Return for how long a request takes a slot, 0 while unknown."""
        return self._service_times.mean and self._service_times.mean + self._delay.at(now)

    def _start_interval(self, mean: float, now: float) -> float:
        """Return the seconds from one request's start to the next, where all slots are taken."""
        by_slots = mean / self.slots
        if self.cold is None or not self.cold.is_cold(now):
            return by_slots
        return max(by_slots, WINDOW_SECONDS / self.cold.max_starts_per_second)

    def _execution_time(self, ticket: AdmissionTicket) -> float:
        return self.expected_time(ticket.route) or ticket.assumed_time

    def _response_time(self, ticket: AdmissionTicket, now: float) -> float:
        """Return the seconds from its start to its answer, as read by this node."""
        return self._execution_time(ticket) + self._delay.at(now)

    def _latest_timely_start(self, ticket: AdmissionTicket, now: float) -> float:
        """Return until when it should start: later, it would often miss its objective."""
        if ticket.nested:
            return self._latest_start(ticket, now)
        latest = min(ticket.objective, ticket.deadline) - self._response_time(ticket, now)
        spread = self._service_times.spread_of(ticket.route)
        return self._start_with_margin(ticket.submitted_at, latest, spread)

    def _precedence(self, ticket: AdmissionTicket, now: float) -> Precedence:
        """Return the ticket's place among those that wait; the smallest goes first."""
        return self._is_late(ticket, now), ticket.sort_key

    def _is_late(self, ticket: AdmissionTicket, now: float) -> bool:
        """Tell whether a request lets go first what may still be in time."""
        return ticket.is_deferred or now > ticket.latest_timely_start

    def _retry_after(self, now: float) -> float:
        """Note a refusal; return in how many seconds there will be room, as far as known.

        An overload that has lasted for some time is taken to last as long again.
        """
        if now - self._refused_at > OVERLOAD_END_SECONDS:
            self._refusing_since = now
        self._refused_at = now
        ahead = max(0, self.load - self.in_flight)
        wait = (ahead + 1) * self._start_interval(self._mean_time(now), now)
        expected = max(wait, now - self._refusing_since, MINIMUM_RETRY_AFTER)
        return min(expected, MAXIMUM_RETRY_AFTER)

    def next_check_at(self, ticket: AdmissionTicket) -> float:
        """Return when to look at a waiting ticket again."""
        return ticket.check_at

    def recheck(self, ticket: AdmissionTicket, now: float) -> None:
        """Refuse a waiting ticket which is not expected to be served in time any longer."""
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
        """Tell whether a ticket may go on waiting; a call within that may not has time to ask
        another gateway.
        """
        if ticket.nested:
            stalls = self.in_flight >= self.slots and self._is_stalled(now)
            return not stalls and self._may_be_served(ticket, now)
        return not self._is_late(ticket, now) or self._may_be_served(ticket, now)

    def _refuse_late(self, ticket: AdmissionTicket, now: float) -> None:
        self._queue.remove(ticket)
        message = "no slot came free in time"
        ticket.refusal = DeadlineUnmeetableError(message, self._retry_after(now))
        ticket.wake()

    def _next_check(self, ticket: AdmissionTicket, now: float) -> float:
        """Return when to judge it anew; a cold back end has room without any request's end."""
        cold = self.cold is not None and self.cold.is_cold(now)
        if cold or ticket.nested or self._is_late(ticket, now):
            return now + RECHECK_SECONDS
        return ticket.latest_timely_start + LATE_CHECK_DELAY_SECONDS

    def withdraw(self, ticket: AdmissionTicket) -> None:
        """Take a waiting ticket out, since its caller has gone."""
        if ticket in self._queue:
            self._queue.remove(ticket)

    def refuse(self, ticket: AdmissionTicket, refusal: NotRunError) -> None:
        """End a ticket's waiting with ``refusal``; one that does not wait is left alone."""
        if ticket in self._queue:
            self._queue.remove(ticket)
            ticket.refusal = refusal
            ticket.wake()

    def refuse_all(self, refusal_of: Callable[[], NotRunError]) -> None:
        """End the waiting of all tickets, each with a refusal of its own."""
        for ticket in tuple(self._queue):
            self.refuse(ticket, refusal_of())

    def finish(
        self, ticket: AdmissionTicket, now: float, answered: bool, delay: float = 0.0
    ) -> None:
        """A granted request has ended; its slot goes to the next that waits.

        One that ended without an answer tells how long it takes at least: a back end
        that has turned slow answers only what is quick.

        Args:
            ticket: the request's place.
            now: monotonic seconds.
            answered: whether the back end has answered.
            delay: seconds for which the answer lay unread, since this node was held up.
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
        self.in_flight += 1
        self._last_progress_at = now
        ticket.granted = True
        ticket.started_at = now
        if self.hang_detector is not None:
            self.hang_detector.note_start(ticket)
