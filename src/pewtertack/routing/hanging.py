"""Detects requests on which a back end has most likely hung, so that it will never answer them.

A back end may hang on some of its requests while it answers the others normally. Only its age
distinguishes such a request from a slow one. So the times of answered requests are recorded, by
route as multiples of the route's mean, and for every running request two likelihoods are compared:
that it hangs, according to the share that has hung lately, and that it is one of the answers that
take this long. The share itself is estimated from the same requests, running ones included, so
that it is known before the first of them has used up its whole time.

On some routes many answers take many times the mean. There a request of that age is never taken
to hang.

Time that lies more than a mean time after the newest answer counts in part only: a back end that
answers nothing at all is stalled, slow or gone, which is detected by other means, and its requests
would fare no better elsewhere if its whole service is slow.
"""

from __future__ import annotations

import math

from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.policies import HungRequestPolicy, Parameter, PolicyKind, policy
from pewtertack.routing.service_times import ServiceTimes

ABANDON_LIKELIHOOD = 0.8
"""Likelihood of hanging from which a request is abandoned; each one abandoned needlessly costs a
second attempt out of the operator's budget. Simulated with 11 requests a second, lognormal answer
times with a spread of 0.8, and 45% of the requests hanging for 6.5 s: 225 are abandoned after 3.8
mean times (median), and 6 needlessly; with 0.9 after 4.8 mean times, and 3 needlessly. At a sound
back end 5 of 3,520 are abandoned."""
PRIOR_HANGING_SHARE = 0.001
"""Assumed share of hanging requests at an unknown back end. With 0.005, 13 of 3,520 requests to a
sound back end are abandoned, and hanging is detected no sooner."""
PRIOR_WEIGHT = 10.0
"""Number of requests that the assumed share counts as."""
MEMORY_REQUESTS = 25.0
"""Number of requests after which an observation has lost two thirds of its weight: 2.3 s at 11 a
second. With 40, requests are abandoned after 3.9 mean times (median) instead of 3.8."""
FIRST_CHECK_FACTOR = 2.0
"""Multiple of the route's mean time at which a request is checked first: by then nine in ten
answers have been received, and a check costs processor time."""
RECHECK_FACTOR = 0.25
"""Multiple of the mean time between two checks of one request."""
MIN_CHECK_SECONDS = 0.02
"""Shortest time between two checks."""
BUCKETS_PER_DOUBLING = 2
"""Histogram buckets for each doubling of a time."""
BUCKET_COUNT = 14
"""The last bucket holds all times from 90 times the mean on."""
MAX_KEPT_ANSWERS = 600
"""Number of answers in the histogram at which all weights are halved."""
SILENCE_WEIGHT = 0.25
"""Weight of time that lies more than a mean time after the newest answer. At a simulated back end
that answers nothing for 10 mean times and then everything, no request is abandoned; with 0.5 up to
16 are, with 1.0 up to 22. At one that hangs on all requests they are abandoned after 9 to 18 mean
times."""
MIN_ANSWERS = 30
"""Answers before which nothing is judged; given ``PRIOR_ANSWERS``, fewer make no difference."""
PRIOR_ANSWERS = 40.0
"""Number of answers that the assumed exponential tail, with the observed mean and deviation, counts
as. It represents long times, which few answers have shown. Where 3% of answers take seven times as
long, 27 of 3,520 requests are abandoned; with 20, 46 are."""
ESTIMATION_ROUNDS = 4
"""Iterations in which the share and the likelihoods are estimated from one another."""
MIN_ADVERTISED_SHARE = 0.1
"""Share of hanging requests from which on fewer slots are advertised to other callers."""


@policy(
    PolicyKind.HANGING,
    HungRequestPolicy.LEFT,
    "A repeatable request on which its back end has most likely hung is sent to another back end.",
    Parameter("sure", ABANDON_LIKELIHOOD, "", "needless second attempts against late responses"),
    Parameter(
        "usual share", PRIOR_HANGING_SHARE, "", "needless second attempts at a sound back end"
    ),
    Parameter("memory", MEMORY_REQUESTS, "requests", "a few seconds of a busy back end"),
    Parameter("first look", FIRST_CHECK_FACTOR, "mean times", "no response is late before"),
)
class HangDetector:
    """Requests of one incarnation of a back end. Times are monotonic seconds."""

    __slots__ = (
        "_answer_histogram",
        "_answer_count",
        "_attempt_count",
        "_hung_count",
        "_last_answer_at",
        "_running",
        "_times",
    )

    def __init__(self) -> None:
        self._times = ServiceTimes()
        """Of answers only; a request that hangs says nothing about how long answers take."""
        self._answer_histogram = [0.0] * BUCKET_COUNT
        """Number of answers by time, as a multiple of the mean of their route."""
        self._answer_count = 0.0
        self._attempt_count = 0.0
        self._hung_count = 0.0
        """Decaying counts of recent attempts and of those that have most likely hung."""
        self._running: dict[AdmissionTicket, None] = {}
        self._last_answer_at = -math.inf
        """When the newest answer came."""

    def note_start(self, ticket: AdmissionTicket) -> None:
        """Record that a request goes to the back end."""
        self._running[ticket] = None

    def note_end(self, ticket: AdmissionTicket, now: float, answered: bool) -> None:
        """Record the end of a request; one without an answer may have hung until then."""
        likely = 0.0 if answered else self._likelihood(ticket, now)
        if self._running.pop(ticket, ticket) is ticket:
            return
        decay = 1 - 1 / MEMORY_REQUESTS
        self._attempt_count = self._attempt_count * decay + 1
        self._hung_count = self._hung_count * decay + likely
        if answered:
            self._last_answer_at = now
            self._note_answer(ticket.route, now - ticket.started_at)

    def _note_answer(self, route: str, seconds: float) -> None:
        mean = self._times.mean_of(route)
        self._times.note(route, seconds)
        if mean <= 0:
            return
        self._answer_histogram[_bucket_of(seconds / mean)] += 1
        self._answer_count += 1
        if self._answer_count >= MAX_KEPT_ANSWERS:
            self._answer_histogram = [count / 2 for count in self._answer_histogram]
            self._answer_count /= 2

    def first_check(self, ticket: AdmissionTicket) -> float | None:
        """Return the seconds after which to check a request first, ``None`` for never."""
        mean = self._times.mean_of(ticket.route)
        return max(MIN_CHECK_SECONDS, FIRST_CHECK_FACTOR * mean) if mean > 0 else None

    def next_check(self, ticket: AdmissionTicket) -> float:
        """Return the seconds after which to check a request again."""
        return max(MIN_CHECK_SECONDS, RECHECK_FACTOR * self._times.mean_of(ticket.route))

    def should_abandon(self, ticket: AdmissionTicket, now: float) -> bool:
        """Tell whether to abandon a request while another back end can still answer it."""
        mean = self._times.mean_of(ticket.route)
        if now + mean >= ticket.deadline:
            return False
        return self._likelihood(ticket, now) >= ABANDON_LIKELIHOOD

    def hanging_share(self, now: float, without: AdmissionTicket | None = None) -> float:
        """Return the share of requests that hang, by those that have ended and those that run.

        ``without`` is excluded, so that its own age does not count against it.
        """
        late = [
            self._tail_share(ticket, now)
            for ticket in self._running
            if ticket is not without and not ticket.answering
        ]
        prior = PRIOR_HANGING_SHARE * PRIOR_WEIGHT
        total = PRIOR_WEIGHT + self._attempt_count + len(late)
        share = (prior + self._hung_count) / total
        for _ in range(ESTIMATION_ROUNDS):
            share = (
                prior + self._hung_count + sum(_hang_likelihood(share, tail) for tail in late)
            ) / total
        return share

    def advertised_slots(self, slots: int, now: float) -> int:
        """Return the slots to advertise: as many as the answered share of requests needs."""
        share = self.hanging_share(now)
        return slots if share < MIN_ADVERTISED_SHARE else max(1, round(slots * (1 - share)))

    def _likelihood(self, ticket: AdmissionTicket, now: float) -> float:
        if ticket not in self._running or ticket.answering:
            return 0.0
        return _hang_likelihood(self.hanging_share(now, ticket), self._tail_share(ticket, now))

    def _tail_share(self, ticket: AdmissionTicket, now: float) -> float:
        """Return the share of answers that take longer than the request has run."""
        mean = self._times.mean_of(ticket.route)
        if self._answer_count < MIN_ANSWERS or mean <= 0:
            return 1.0
        multiple = self._age(ticket, now) / mean
        if multiple < FIRST_CHECK_FACTOR:
            return 1.0
        beyond = sum(self._answer_histogram[_bucket_of(multiple) :])
        spread = max(mean, self._times.spread_of(ticket.route)) / mean
        expected_beyond = PRIOR_ANSWERS * math.exp((1 - multiple) / spread)
        return (beyond + expected_beyond) / (self._answer_count + PRIOR_ANSWERS)

    def _age(self, ticket: AdmissionTicket, now: float) -> float:
        """Return the time for which a request has run; time without any answer counts in part."""
        silent_since = max(ticket.started_at, self._last_answer_at + self._times.mean)
        silence = max(0.0, now - silent_since)
        return now - ticket.started_at - silence * (1 - SILENCE_WEIGHT)


def _bucket_of(multiple: float) -> int:
    if multiple <= 1:
        return 0
    return min(BUCKET_COUNT - 1, int(math.log2(multiple) * BUCKETS_PER_DOUBLING))


def _hang_likelihood(share: float, tail: float) -> float:
    """Return the likelihood that a request hangs if a share ``tail`` of answers takes as long.

    A request that is no older than any answer may be gives no information.
    """
    return 0.0 if tail >= 1 else share / (share + (1 - share) * tail)
