"""How long a request may wait at a gateway, by what its caller can still do.

A caller with time for a whole further attempt is better told at once to come back than made
to wait until its answer is late: what waits long makes all behind it late as well, and an
overload outlasts its cause. A caller with little time left cannot come back; it may wait
while it is expected to be served.
Where callers of the route usually have more time, and some were refused lately, it has been
refused before: it goes behind those that have not, or in a lasting overload everyone would have
to come back. How little time callers have that come for the first time is learned while nobody
can have come back: where their time is drawn from a range of 16 in 100, taking the longest of
it for usual made every second request go last, on a quiet day as well.
"""

from __future__ import annotations

import math
from collections.abc import Container
from enum import StrEnum

from pewtertack.routing.outcomes import DEFAULT_RETRY_AFTER
from pewtertack.routing.policies import Parameter, PolicyKind, RetryLaterPolicy, policy

ROOM = 4.0
"""A caller may come back when the time it has left is so many times its objective."""
LEAST_ROOM = 2.0
"""The same where as many are told to come back as can: an answer within the objective, after a
pause as long. Late answers of those that cannot take slots in which others of their rank could be
in time, and what is less urgent has few of these in an overload."""


@policy(
    PolicyKind.RETURNING,
    RetryLaterPolicy.FOUR,
    "who has four times its objective left is told to come back; others wait and may be late",
    Parameter("room", ROOM, "objectives", "assumed"),
)
def room_of_four() -> float:
    """Return how many times its objective a caller must have left to come back."""
    return ROOM


@policy(
    PolicyKind.RETURNING,
    RetryLaterPolicy.TWO,
    "who has twice its objective left is told to come back; others wait and may be late",
    Parameter("room", LEAST_ROOM, "objectives", "an answer in time after a pause as long"),
)
def room_of_two() -> float:
    """Return the same."""
    return LEAST_ROOM


ROOMS = {RetryLaterPolicy.FOUR: room_of_four(), RetryLaterPolicy.TWO: room_of_two()}


class Lateness(StrEnum):
    """What a gateway does with a request that would have to wait."""

    ALLOWED = "allowed"
    """It may wait for a slot that lets it miss its objective."""
    REFUSED = "refused"
    """It is rather refused than answered after its objective: another gateway may do better."""
    PROMPT = "prompt"
    """It is refused unless its turn comes soon enough to be answered within its objective."""
    YIELDING = "yielding"
    """As ``ALLOWED``, but its caller came back: it lets go first all that may be in time."""
    PROMPT_YIELDING = "prompt-yielding"
    """As ``PROMPT``, but its caller came back."""

    @property
    def prompt(self) -> bool:
        """Whether the caller is rather told to come back than made to wait."""
        return self in (Lateness.PROMPT, Lateness.PROMPT_YIELDING)

    @property
    def yields(self) -> bool:
        """Whether requests whose callers did not come back go first."""
        return self in YIELDING

    @property
    def yielding(self) -> Lateness:
        """The same for a request that lets others go first for another reason."""
        return YIELDING_ALSO.get(self, self)


YIELDING = (Lateness.YIELDING, Lateness.PROMPT_YIELDING)
"""A tuple: the members of a set would be hashed, by a function of Python's own."""
YIELDING_ALSO = {
    Lateness.ALLOWED: Lateness.YIELDING,
    Lateness.PROMPT: Lateness.PROMPT_YIELDING,
}

FORGETTING = 0.01
"""Each caller with less time brings the longest time down by this share of the difference."""
CAME_BACK_SHARE = 0.95
"""A caller with less than this share of the least time that others had has been here before."""
SHORTENING = 0.25
"""Each caller with less time, while nobody can have come back, brings the least time down by this
share of the difference. With ``FORGETTING`` it stays at a fifth of the range from which callers'
times are drawn, if they are drawn evenly."""

SOON_SHARE = 1 / 8
"""Share of its objective after which a caller comes back that might be served at once: the
users' price list takes waiting so long for nothing."""
FRESH_LEAST = 10
"""So many callers must have come while nobody can have come back to know their times."""
GUESSED_SHARE = 0.85
"""Before that the least time is taken to be at most this share of the longest. Assumed."""


class _Known:
    """What is known of one route's callers. Times in seconds."""

    __slots__ = ("failed_at", "fresh", "longest", "shortest")

    def __init__(self, time_left: float) -> None:
        self.longest = time_left
        self.shortest = time_left
        """Of those that came for the first time."""
        self.fresh = 0
        """How many of those were seen."""
        self.failed_at = -math.inf
        """When a request last ended so that its caller may come back."""

    @property
    def usual(self) -> float:
        """The least time that a caller has who comes for the first time."""
        least = 1.0 if self.fresh >= FRESH_LEAST else GUESSED_SHARE
        return min(self.shortest, least * self.longest)


class CallerPatience:
    """For how long callers of each route wait, as one proxy has seen lately."""

    __slots__ = ("_room", "_routes")

    def __init__(self, returning: RetryLaterPolicy = RetryLaterPolicy.FOUR) -> None:
        self._room = ROOMS[returning]
        self._routes: dict[str, _Known] = {}

    def keep_only(self, routes: Container[str]) -> None:
        """Forget routes that are in force no longer."""
        self._routes = {name: item for name, item in self._routes.items() if name in routes}

    def note_failed(self, route: str, now: float) -> None:
        """A request of the route ended without a good answer: its caller may come back."""
        known = self._routes.get(route)
        if known is not None:
            known.failed_at = now

    def classify(self, route: str, objective: float, time_left: float, now: float) -> Lateness:
        """Note a request's arrival; return what to do with it when it would have to wait."""
        known = self._note(route, time_left, now)
        came_back = (
            may_come_back(objective, known.longest, self._room)
            and time_left < CAME_BACK_SHARE * known.usual
            and now <= known.failed_at + known.longest
        )
        if may_come_back(objective, time_left, self._room):
            return Lateness.PROMPT_YIELDING if came_back else Lateness.PROMPT
        return Lateness.YIELDING if came_back else Lateness.ALLOWED

    def _note(self, route: str, time_left: float, now: float) -> _Known:
        """Return what is known: the longest time comes down slowly, the shortest goes up so."""
        known = self._routes.get(route)
        if known is None:
            known = self._routes[route] = _Known(time_left)
        known.longest = max(time_left, known.longest + FORGETTING * (time_left - known.longest))
        if now > known.failed_at + known.longest:
            weight = FORGETTING if time_left > known.shortest else SHORTENING
            known.shortest += weight * (time_left - known.shortest)
            known.fresh += 1
        known.shortest = min(known.shortest, known.longest)
        return known


def pause_after_shedding(objective: float, has_room: bool) -> float:
    """Return when a caller is to come back whose request a back end shed without saying when.

    One that has free slots sheds for another reason than want of room: the next attempt may well
    end in time, if its caller is not told to come after the objective.
    """
    return SOON_SHARE * objective if has_room else DEFAULT_RETRY_AFTER


def may_come_back(objective: float, time_left: float, room: float = ROOM) -> bool:
    """Tell whether a caller that is refused has time for another whole attempt.

    Args:
        objective: seconds within which an answer is wanted.
        time_left: seconds for which the caller will wait, over all its attempts.
        room: how many times its objective that must be.
    """
    return time_left >= room * objective
