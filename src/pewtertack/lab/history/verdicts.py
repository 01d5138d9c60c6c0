"""What a check says of one promise."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

import msgspec


class Guarantee(StrEnum):
    """The promises that a history is judged by."""

    REVISIONS_MONOTONIC = "no-proxy-goes-back"
    ROUTES_COMPLETE = "routes-have-service-and-secrets"
    REVISIONS_INTACT = "no-revision-in-part"
    REJECTED_NEVER_IN_FORCE = "rejected-never-in-force"
    IN_FORCE_EVERYWHERE = "accepted-in-force-everywhere"
    NEVER_REVERTED = "accepted-never-reverted"
    RESPONSES_INTACT_AND_MATCHING = "answers-whole-and-own"
    NOT_RUN_IS_ACCURATE = "not-run-is-true"
    AT_MOST_ONCE = "non-repeatable-at-most-once"
    LEAVING_GETS_NO_WORK = "leaving-gets-no-new-work"
    SHUTDOWN_CUTS_NOTHING = "planned-stop-cuts-nothing"
    SHUTDOWN_ANSWERS_ALL = "planned-stop-answers-what-was-sent"
    RUNNING_NODE_ANSWERS_ALL = "answered-while-node-runs"
    CRASHING_REQUESTS_LIMITED = "ending-requests-held"
    EVACUATED_GETS_NO_REQUESTS = "evacuated-gets-nothing"


class Judgement(StrEnum):
    """The outcome of one check."""

    HELD = "held"
    VIOLATED = "violated"
    UNTESTED = "too-thin"
    """Nothing in the history put the promise to the test."""


class Violation(msgspec.Struct, frozen=True):
    """One event that breaks a promise. ``time`` is the history's, in seconds."""

    time: float
    subject: str
    """Node, request or back end."""
    message: str


class Verdict(msgspec.Struct, frozen=True):
    """The result of one check; ``judged`` counts the events that it weighed."""

    promise: Guarantee
    judgement: Judgement
    judged: int
    offences: tuple[Violation, ...] = ()


class CheckBounds(msgspec.Struct, frozen=True):
    """How long the fleet may take, in seconds."""

    convergence: float = 12.0
    """From the first proxy that has a revision in force to the last one."""
    recovery: float = 60.0
    """From an edit, or from the last fault after it, to the edit in force everywhere."""
    wake_grace: float = 1.0
    """How long a resumed process may take to find out that it was paused."""
    leaving: float = 5.0
    """After this long a leaving back end gets no new work."""
    evacuated: float = 1.0
    """What a node had sent when an evacuation came into force there has begun after this long."""
    unread: float = 0.2
    """A request sent whole this long before its connection ended has been read."""
    unplanned: float = 1.0
    """What was sent within this time of a pause of its node is not judged by its cut."""


def judge(promise: Guarantee, judged: int, offences: Iterable[Violation]) -> Verdict:
    """Return the verdict that follows from the offences found among ``judged`` events."""
    found = tuple(offences)
    if found:
        return Verdict(promise, Judgement.VIOLATED, judged, found)
    judgement = Judgement.HELD if judged else Judgement.UNTESTED
    return Verdict(promise, judgement, judged)
