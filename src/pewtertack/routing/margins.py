"""Until when a request should start to be answered in time, where times differ much.

What is kept for an answer that takes long is the spread of the route's times. Where that is all
the time there is, a request that finds no free slot could never wait: it would be refused or
served late, and a slot that comes free a moment later would stand idle. Callers get more where a
request then waits for the next slots while its answer is more likely in time than not.
"""

from __future__ import annotations

from pewtertack.routing.policies import Parameter, PolicyKind, WaitMarginPolicy, policy

MAX_RESERVED_SHARE = 0.5
"""At most so much of the time that a request may wait is kept. In virtual time a third and two
thirds earn the same within noise; nothing kept earns less."""


@policy(
    PolicyKind.MARGIN,
    WaitMarginPolicy.SPREAD,
    "a request waits while its answer is seldom late, however much answers' times differ",
)
def reserve_spread(arrived_at: float, latest: float, spread: float) -> float:
    """Return until when to start what arrived and may start at ``latest``, at a usual answer."""
    return latest - spread


@policy(
    PolicyKind.MARGIN,
    WaitMarginPolicy.HALF,
    "a request waits for half the time that a usual answer leaves, or longer where it is safe",
    Parameter(
        "kept_most", MAX_RESERVED_SHARE, "", "in virtual time a third to two thirds are alike"
    ),
)
def reserve_half(arrived_at: float, latest: float, spread: float) -> float:
    """Return the same; the spread takes no more than half of the time from its arrival on."""
    return latest - min(spread, MAX_RESERVED_SHARE * max(0.0, latest - arrived_at))


MARGINS = {WaitMarginPolicy.SPREAD: reserve_spread, WaitMarginPolicy.HALF: reserve_half}
