"""The place of one request at the node beside a back end."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pewtertack.routing.outcomes import NotRunError
from pewtertack.routing.wait_policy import DEFERRED, WaitPolicy

ASSUMED_TIME_SHARE = 1 / 3
"""Share of its objective that a request of unknown route is taken to need."""


def _wake_nobody() -> None:
    """Wake nobody."""


class AdmissionTicket(msgspec.Struct, eq=False):
    """One request's place: waiting, granted or refused. Times are monotonic seconds."""

    route: str
    rank: tuple[int, int]
    """Class of work and priority within it; smaller goes first."""
    objective: float
    """When its answer is wanted."""
    deadline: float
    wait_policy: WaitPolicy = WaitPolicy.WAIT
    """What becomes of it when it would have to wait."""
    nested: bool = False
    """A back end makes it while it runs another request: only its deadline counts."""
    wake: Callable[[], None] = _wake_nobody
    granted: bool = False
    answering: bool = False
    """Whether the back end's answer has begun: it does not hang on the request."""
    refusal: NotRunError | None = None
    hung: bool = False
    """Given up since the back end has most likely hung on it: says nothing of its times."""
    submitted_at: float = 0.0
    started_at: float = 0.0
    latest_timely_start: float = 0.0
    """Until when it should start."""
    check_at: float = 0.0
    """When to judge anew whether it is worth waiting."""
    sort_key: tuple[int, int, bool, float, int] = msgspec.field(default=(0, 0, False, 0.0, 0))
    """Rank, whether it is a request of its own, wanted start, arrival."""

    @property
    def is_deferred(self) -> bool:
        """Whether it lets go first all that may be in time."""
        return self.wait_policy in DEFERRED and not self.nested

    @property
    def assumed_time(self) -> float:
        """What the back end is taken to need while nothing is known of the route."""
        return ASSUMED_TIME_SHARE * max(0.0, self.objective - self.submitted_at)

    def take_refusal(self) -> NotRunError:
        """Return why it was refused, and forget it: raised, it refers to who waited."""
        assert self.refusal is not None
        try:
            return self.refusal
        finally:
            self.refusal = None

    @property
    def queued_seconds(self) -> float:
        """Seconds between its arrival and its start."""
        return self.started_at - self.submitted_at
