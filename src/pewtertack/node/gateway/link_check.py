"""Predicts, before a request runs, whether its long response can be sent in time.

Three limits apply: the caller's objective and deadline, the shutdown of the node that sent the
request, and the shutdown of this node. The bytes already in the link queue are counted in.
"""

from __future__ import annotations

import math

from pewtertack.node.pacing import LinkPacer
from pewtertack.routing.admission import Admission
from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.long_body import RECEIVER_STOPPING, Rank
from pewtertack.routing.outcomes import DeadlineUnmeetableError, DrainingError

QUEUE_TIME_MARGIN = 1.5
"""The bytes queued before a response may take this many times as long to send as predicted:
lengths vary, and short responses are not predicted."""


class LinkCheck:
    """Checks one request. Times are in monotonic seconds.

    Args:
        pacer: paces the machine's link; ``None`` if long responses are sent without pacing.
        admission: the back end's admission control.
        ticket: the request's ticket; its deadline is brought forward if another limit is earlier.
        sender_stops_at: when the node that sent the request stops relaying the response.
    """

    __slots__ = ("_admission", "_pacer", "_ticket", "sender_stops_at")

    def __init__(
        self,
        pacer: LinkPacer | None,
        admission: Admission,
        ticket: AdmissionTicket,
        sender_stops_at: float = math.inf,
    ) -> None:
        self._pacer = pacer
        self._admission = admission
        self._ticket = ticket
        self.sender_stops_at = sender_stops_at

    @property
    def sender_stopping(self) -> bool:
        """Whether the node that sent the request is shutting down."""
        return self.sender_stops_at < math.inf

    @property
    def rank(self) -> Rank:
        """The response's rank in the link queue."""
        return RECEIVER_STOPPING if self.sender_stopping else self._ticket.rank

    @property
    def _transfer_seconds(self) -> float:
        """Seconds that the response takes on an idle link; 0 if it is short or unknown."""
        return (
            self._pacer.scheduler.transfer_time(self._ticket.route)
            if self._pacer is not None
            else 0.0
        )

    def check(self, now: float) -> None:
        """Refuse a request whose response would be late because others occupy the link.

        A response that would miss its objective even on an idle link is not refused for that
        reason. One that would miss its deadline even then is refused, except for one probe a
        second: only responses update the known times and lengths of a route, which would
        otherwise never change again.

        Raises:
            DeadlineUnmeetableError: the long response would be sent too late.
        """
        if self._pacer is None and self.sender_stops_at == math.inf:
            return
        transfer, queued = self._transfer_seconds, 0.0
        if transfer and self._pacer is not None:
            queued = self._pacer.scheduler.queue_time(self.rank, now)
            if not (self._fits(now, transfer, queued) or self._may_probe(queued, now)):
                raise DeadlineUnmeetableError("the link is taken for too long", queued + transfer)
        self._limit_deadline(self.sender_stops_at - transfer - queued)

    def _fits(self, now: float, transfer: float, queued: float) -> bool:
        """Tell whether the response would be sent early enough.

        A response that is cut at the hard limit also wastes its execution, so that limit is
        checked with a safety factor (``QUEUE_TIME_MARGIN``).
        """
        ticket = self._ticket
        idle_end = now + transfer + self._admission.expected_time(ticket.route)
        hard_limit = min(ticket.deadline, self.sender_stops_at)
        preferred_limit = hard_limit if ticket.nested else min(ticket.objective, hard_limit)
        limit = preferred_limit if idle_end <= preferred_limit else hard_limit
        return idle_end + queued <= limit and idle_end + QUEUE_TIME_MARGIN * queued <= hard_limit

    def _may_probe(self, queued: float, now: float) -> bool:
        """Tell whether to let a response through to learn the length of its route's responses."""
        if self._pacer is None or queued > 0 or self.sender_stopping:
            return False
        return self._pacer.scheduler.may_probe(self._ticket.route, now)

    def _limit_deadline(self, moment: float) -> None:
        """Bring the deadline forward, if it is known how long the back end takes."""
        if self._admission.expected_time(self._ticket.route):
            self._ticket.deadline = min(self._ticket.deadline, moment)

    def finish_by(self, moment: float) -> None:
        """Note that the node that sent the request is shutting down and ends at ``moment``."""
        self.sender_stops_at = min(self.sender_stops_at, moment)
        self._limit_deadline(self.sender_stops_at - self._transfer_seconds)

    def check_before_run(self) -> None:
        """Refuse a request that got its slot too late for its response to be sent before shutdown.

        Raises:
            DrainingError: the request has not run, and another gateway may be tried.
        """
        if self._pacer is None:
            return
        route = self._ticket.route
        execution_seconds = self._admission.expected_time(route)
        if self._pacer.stops_before(route, self.rank, execution_seconds):
            error = DrainingError("the node beside the back end is stopping")
            error.reached_backend = False
            raise error
