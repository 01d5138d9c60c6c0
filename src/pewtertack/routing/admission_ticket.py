"""The ticket of one request at the gateway of a back end."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pewtertack.routing.outcomes import NotRunError
from pewtertack.routing.patience import DEFERRED, WaitPolicy

ASSUMED_TIME_SHARE = 1 / 3
"""Share of its objective that a request is assumed to need while its route is unknown."""


def _wake_nobody() -> None:
    """Do nothing: the default of ``AdmissionTicket.wake`` and ``AdmissionTicket.recheck``."""


class AdmissionTicket(msgspec.Struct, eq=False):
    """State of one request: queued, granted or refused. Times are monotonic seconds."""

    route: str
    rank: tuple[int, int]
    """Class of work and priority within it; the smallest goes first."""
    objective: float
    """When its answer is wanted."""
    deadline: float
    wait_policy: WaitPolicy = WaitPolicy.WAIT
    """What to do with the request if it would have to wait."""
    nested: bool = False
    """A back end makes it while it runs another request, so only its deadline counts."""
    wake: Callable[[], None] = _wake_nobody
    recheck: Callable[[], None] = _wake_nobody
    """Called while the ticket is queued, to check it now rather than at ``check_at``."""
    granted: bool = False
    answering: bool = False
    """Whether the back end has begun to answer, so that it does not hang on the request."""
    refusal: NotRunError | None = None
    hung: bool = False
    """Abandoned because the back end has most likely hung on it; not a sample of its times."""
    submitted_at: float = 0.0
    started_at: float = 0.0
    latest_timely_start: float = 0.0
    """Latest start after which it would often miss its objective."""
    check_at: float = 0.0
    """When to check again whether it should stay queued."""
    sort_key: tuple[int, int, bool, float, int] = msgspec.field(default=(0, 0, False, 0.0, 0))
    """Rank, whether it is not nested, latest timely start, order of arrival."""

    @property
    def is_deferred(self) -> bool:
        """Whether it has lower precedence than all that may be answered in time."""
        return self.wait_policy in DEFERRED and not self.nested

    @property
    def assumed_time(self) -> float:
        """Time that the back end is assumed to need while nothing is known of the route."""
        return ASSUMED_TIME_SHARE * max(0.0, self.objective - self.submitted_at)

    def take_refusal(self) -> NotRunError:
        """Return and clear the refusal: once raised, its traceback refers to the waiting task."""
        assert self.refusal is not None
        try:
            return self.refusal
        finally:
            self.refusal = None

    @property
    def queued_seconds(self) -> float:
        """Seconds between its arrival and its start."""
        return self.started_at - self.submitted_at
