"""Which requests a back end has most likely hung on: it will never answer them.

A back end may hang on a part of its requests while it answers the others as always. Nothing
but time tells such a request from one that takes long. So the times of those that it answers
are kept, by route as multiples of the route's mean, and every request that runs is weighed:
how likely is it to hang, by the share that has hung lately, against being one of the answers
that take so long? The share itself is estimated from the same requests, those that run
included, so that it is known before the first of them has used up its whole time.

Requests that take many times the mean are usual for some routes. Where so many of the answers
take as long, the weighing never comes out for hanging.

What lies further back than a mean time after the newest answer counts in part: a back end that
answers nothing at all stands still, is slow or is gone, which is told otherwise, and its requests
would fare no better elsewhere if its whole service is slow.
"""

from __future__ import annotations

import math

from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.policies import HungRequestPolicy, Parameter, PolicyKind, policy
from pewtertack.routing.service_times import ServiceTimes

ABANDON_LIKELIHOOD = 0.8
"""A request is taken to hang when that is so likely: each that is given up needlessly costs a
second attempt out of the operator's budget. Of answers with a lognormal spread of 0.8, 11 a
second, of which 45 in 100 hang for 6.5 s, 225 were left after 3.8 mean times (median) and 6
needlessly; with 0.9 after 4.8 and 3. At a sound back end 5 of 3,520 were (tests' generator, 8
seeds)."""
PRIOR_HANGING_SHARE = 0.001
"""Share of requests that hang at a back end of which nothing is known: with 0.005, 13 of
3,520 were left at a sound one, and hanging was found no sooner."""
PRIOR_WEIGHT = 10.0
"""The same counts as so many requests."""
MEMORY_REQUESTS = 25.0
"""Requests after which what was seen of hanging has lost two thirds of its weight: 2.3 s of
11 a second. With 40 the median was 3.9 mean times."""
FIRST_CHECK_FACTOR = 2.0
"""Multiples of the route's mean time before which no request is weighed: nine in ten answers
are there before, and a look costs processor time."""
RECHECK_FACTOR = 0.25
"""Multiples of the mean time between two looks at one request."""
MIN_CHECK_SECONDS = 0.02
"""Seconds between two looks at least."""
BUCKETS_PER_DOUBLING = 2
"""Buckets for each doubling of a time."""
BUCKET_COUNT = 14
"""The last one holds all from 90 times the mean on."""
MAX_KEPT_ANSWERS = 600
"""Answers whose times are kept, older ones with half the weight."""
SILENCE_WEIGHT = 0.25
"""Seconds for which a second counts that lies further back than a mean time after the newest
answer. Where nothing was answered for 10 mean times and then all, none was given up so; with
0.5 up to 16, with 1.0 up to 22. One that hangs on all requests is left after 9 to 18 mean times
(tests' generator, 8 seeds)."""
MIN_ANSWERS = 30
"""Answers before which nothing is judged; beside the guessed ones fewer make no difference."""
PRIOR_ANSWERS = 40.0
"""The exponential tail that the mean and deviation make likely counts as so many answers: it
stands in for the times that few answers have shown. With 20, 46 of 3,520 were given up where
3 in 100 answers take seven times as long, with 40, 27."""
ESTIMATION_ROUNDS = 4
"""Of estimating the share and the likelihoods from one another."""
MIN_ADVERTISED_SHARE = 0.1
"""Share of hanging requests from which on the back end's other callers are told of fewer slots."""


@policy(
    PolicyKind.HANGING,
    HungRequestPolicy.LEFT,
    "what may be repeated is left when the back end has most likely hung on it",
    Parameter("sure", ABANDON_LIKELIHOOD, "", "needless second attempts against late answers"),
    Parameter(
        "usual share", PRIOR_HANGING_SHARE, "", "needless second attempts at a sound back end"
    ),
    Parameter("memory", MEMORY_REQUESTS, "requests", "a few seconds of a busy back end"),
    Parameter("first look", FIRST_CHECK_FACTOR, "mean times", "no answer is late before"),
)
class HangDetector:
    """The requests of one incarnation of a back end. Times are monotonic seconds."""

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
        """Of answers alone; a request that hangs says nothing of how long answers take."""
        self._answer_histogram = [0.0] * BUCKET_COUNT
        """How many answers took so many times the mean of their route."""
        self._answer_count = 0.0
        self._attempt_count = 0.0
        self._hung_count = 0.0
        """Of so many attempts lately so many have most likely hung."""
        self._running: dict[AdmissionTicket, None] = {}
        self._last_answer_at = -math.inf
        """When the newest answer came."""

    def note_start(self, ticket: AdmissionTicket) -> None:
        """A request goes to the back end."""
        self._running[ticket] = None

    def note_end(self, ticket: AdmissionTicket, now: float, answered: bool) -> None:
        """A request has ended; one without an answer may have hung until then."""
        likely = 0.0 if answered else self._likelihood(ticket, now)
        if self._running.pop(ticket, ticket) is ticket:
            return
        fading = 1 - 1 / MEMORY_REQUESTS
        self._attempt_count = self._attempt_count * fading + 1
        self._hung_count = self._hung_count * fading + likely
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
        """Return after how many seconds to look at a request first, ``None`` for never."""
        mean = self._times.mean_of(ticket.route)
        return max(MIN_CHECK_SECONDS, FIRST_CHECK_FACTOR * mean) if mean > 0 else None

    def next_check(self, ticket: AdmissionTicket) -> float:
        """Return after how many seconds to look at a request again."""
        return max(MIN_CHECK_SECONDS, RECHECK_FACTOR * self._times.mean_of(ticket.route))

    def should_abandon(self, ticket: AdmissionTicket, now: float) -> bool:
        """Tell whether to give up a request so that it can still be answered elsewhere."""
        mean = self._times.mean_of(ticket.route)
        if now + mean >= ticket.deadline:
            return False
        return self._likelihood(ticket, now) >= ABANDON_LIKELIHOOD

    def hanging_share(self, now: float, without: AdmissionTicket | None = None) -> float:
        """Return the share of requests that hang, by those that have ended and those that run.

        What is weighed by the share is left out: no request speaks against itself.
        """
        late = [
            self._tail_share(ticket, now)
            for ticket in self._running
            if ticket is not without and not ticket.answering
        ]
        usual = PRIOR_HANGING_SHARE * PRIOR_WEIGHT
        total = PRIOR_WEIGHT + self._attempt_count + len(late)
        share = (usual + self._hung_count) / total
        for _ in range(ESTIMATION_ROUNDS):
            share = (
                usual + self._hung_count + sum(_hang_likelihood(share, tail) for tail in late)
            ) / total
        return share

    def advertised_slots(self, slots: int, now: float) -> int:
        """Return for how many requests there is room, by the share of them that is answered."""
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
        times = self._age(ticket, now) / mean
        if times < FIRST_CHECK_FACTOR:
            return 1.0
        beyond = sum(self._answer_histogram[_bucket_of(times) :])
        spread = max(mean, self._times.spread_of(ticket.route)) / mean
        guessed = PRIOR_ANSWERS * math.exp((1 - times) / spread)
        return (beyond + guessed) / (self._answer_count + PRIOR_ANSWERS)

    def _age(self, ticket: AdmissionTicket, now: float) -> float:
        """Return for how long a request has run, of which silence counts in part."""
        heard_until = max(ticket.started_at, self._last_answer_at + self._times.mean)
        silent = max(0.0, now - heard_until)
        return now - ticket.started_at - silent * (1 - SILENCE_WEIGHT)


def _bucket_of(times: float) -> int:
    if times <= 1:
        return 0
    return min(BUCKET_COUNT - 1, int(math.log2(times) * BUCKETS_PER_DOUBLING))


def _hang_likelihood(share: float, tail: float) -> float:
    """Return how likely a request hangs of which ``tail`` of the answers would take as long.

    A request that has run no longer than any answer may says nothing.
    """
    return 0.0 if tail >= 1 else share / (share + (1 - share) * tail)
