"""How long a request may wait at a gateway, by what its caller can still do.

A caller with time for a whole further attempt is better told at once to come back than made
to wait until its answer is late: what waits long makes all behind it late as well, and an
overload outlasts its cause. A caller with little time left cannot come back; it may wait
while it is expected to be served.
Where callers of the route usually have more time, it has been refused before: it goes
behind those that have not, or in a lasting overload everyone would have to come back.
"""

from __future__ import annotations

from collections.abc import Container
from enum import StrEnum

ROOM = 4.0
"""A caller may come back when the time it has left is so many times its objective."""


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
        return self in (Lateness.YIELDING, Lateness.PROMPT_YIELDING)

    @property
    def yielding(self) -> Lateness:
        """The same for a request that lets others go first for another reason."""
        return YIELDING_ALSO.get(self, self)


YIELDING_ALSO = {
    Lateness.ALLOWED: Lateness.YIELDING,
    Lateness.PROMPT: Lateness.PROMPT_YIELDING,
}

FORGETTING = 0.01
"""Each caller with less time brings the longest time down by this share of the difference."""
CAME_BACK_SHARE = 0.95
"""A caller with less than this share of the time that others had has been here before."""


class CallerPatience:
    """The longest time for which callers of each route wait, as one proxy has seen lately."""

    __slots__ = ("longest",)

    def __init__(self) -> None:
        self.longest: dict[str, float] = {}
        """Seconds by the route's name."""

    def keep_only(self, routes: Container[str]) -> None:
        """Forget routes that are in force no longer."""
        self.longest = {name: item for name, item in self.longest.items() if name in routes}

    def classify(self, route: str, objective: float, time_left: float) -> Lateness:
        """Note a request's arrival; return what to do with it when it would have to wait."""
        longest = self._note(route, time_left)
        came_back = may_come_back(objective, longest) and time_left < CAME_BACK_SHARE * longest
        if may_come_back(objective, time_left):
            return Lateness.PROMPT_YIELDING if came_back else Lateness.PROMPT
        return Lateness.YIELDING if came_back else Lateness.ALLOWED

    def _note(self, route: str, time_left: float) -> float:
        """Return the longest time, which shorter ones bring down slowly."""
        known = self.longest.get(route, time_left)
        longest = max(time_left, known + FORGETTING * (time_left - known))
        self.longest[route] = longest
        return longest


def may_come_back(objective: float, time_left: float) -> bool:
    """Tell whether a caller that is refused has time for another whole attempt.

    Args:
        objective: seconds within which an answer is wanted.
        time_left: seconds for which the caller will wait, over all its attempts.
    """
    return time_left >= ROOM * objective
