"""Whether a long answer can leave this machine in time, judged before its request runs.

Three ends bound it: its caller's objective and deadline, the end of the node that sent the
request, and the end of this node. What stands before it on the link's line is reckoned with.
"""

from __future__ import annotations

import math

from pewtertack.node.pacing import LinkPacer
from pewtertack.routing.admission import Admission
from pewtertack.routing.long_body import RECEIVER_STOPS, Rank
from pewtertack.routing.outcomes import DeadlineUnmeetableError, DrainingError
from pewtertack.routing.places import AdmissionTicket

QUEUE_TIME_MARGIN = 1.5
"""What stands before an answer on a link may take so many times as long as reckoned: lengths
differ, and what is short isn't foreseen."""


class LinkCheck:
    """Judges one request. Times are monotonic seconds.

    Args:
        pacer: of the machine's link; ``None`` where long answers leave at once.
        admission: of the back end.
        ticket: the request's place, whose deadline is made earlier where another end asks for it.
        gone_at: when the node that sent the request carries its answer no longer.
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
        """Whether the node that sent the request has been told to stop."""
        return self.sender_stops_at < math.inf

    @property
    def rank(self) -> Rank:
        """The answer's rank on the link."""
        return RECEIVER_STOPS if self.sender_stopping else self._ticket.rank

    @property
    def _transfer_seconds(self) -> float:
        """Seconds that the answer takes the link alone; 0 where it is short or not known."""
        return self._pacer.share.own_time(self._ticket.route) if self._pacer is not None else 0.0

    def check(self, now: float) -> None:
        """Refuse at once what would be answered too late because others take the link.

        What would be late with the link to itself is not refused for its objective, and but for
        a probe a second for its deadline, or its route's times and lengths, which answers alone
        teach, would stay as they are for good.

        Raises:
            DeadlineUnmeetableError: its long answer would leave too late.
        """
        if self._pacer is None and self.sender_stops_at == math.inf:
            return
        own, ahead = self._transfer_seconds, 0.0
        if own and self._pacer is not None:
            ahead = self._pacer.share.time_ahead(self.rank, now)
            if not (self._fits(now, own, ahead) or self._may_probe(ahead, now)):
                raise DeadlineUnmeetableError("the link is taken for too long", ahead + own)
        self._limit_deadline(self.sender_stops_at - own - ahead)

    def _fits(self, now: float, own: float, ahead: float) -> bool:
        """Tell whether the answer would leave early enough.

        To be late is a loss; to be broken off at the last moment is a run for nothing as well, so
        that one is kept with a margin.
        """
        ticket = self._ticket
        alone = now + own + self._admission.expected_time(ticket.route)
        last = min(ticket.deadline, self.sender_stops_at)
        wanted = last if ticket.within else min(ticket.objective, last)
        latest = wanted if alone <= wanted else last
        return alone + ahead <= latest and alone + QUEUE_TIME_MARGIN * ahead <= last

    def _may_probe(self, ahead: float, now: float) -> bool:
        """Tell whether an answer may be let through to learn how long those of its route are."""
        if self._pacer is None or ahead > 0 or self.sender_stopping:
            return False
        return self._pacer.share.may_probe(self._ticket.route, now)

    def _limit_deadline(self, moment: float) -> None:
        """Judge by an earlier end, where it is known how long the back end takes."""
        if self._admission.expected_time(self._ticket.route):
            self._ticket.deadline = min(self._ticket.deadline, moment)

    def finish_by(self, moment: float) -> None:
        """The node that sent the request has been told to stop, and ends at that moment."""
        self.sender_stops_at = min(self.sender_stops_at, moment)
        self._limit_deadline(self.sender_stops_at - self._transfer_seconds)

    def check_before_run(self) -> None:
        """Refuse what waited for its slot, and could not leave any more before this node stops.

        Raises:
            DrainingError: it has not run, and another gateway may be asked.
        """
        if self._pacer is None:
            return
        route = self._ticket.route
        run_seconds = self._admission.expected_time(route)
        if self._pacer.ends_before(route, self.rank, run_seconds):
            error = DrainingError("the node beside the back end is stopping")
            error.offered = False
            raise error
