"""What a check says of one promise."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

import msgspec


class Promise(StrEnum):
    """The promises that a history is judged by."""

    NEVER_BACK = "no-proxy-goes-back"
    ROUTES_COMPLETE = "routes-have-service-and-secrets"
    REVISIONS_WHOLE = "no-revision-in-part"
    REJECTED_UNUSED = "rejected-never-in-force"
    IN_FORCE_EVERYWHERE = "accepted-in-force-everywhere"
    NEVER_REVERTED = "accepted-never-reverted"
    ANSWERS_WHOLE_AND_OWN = "answers-whole-and-own"
    NOT_RUN_IS_TRUE = "not-run-is-true"
    AT_MOST_ONCE = "non-repeatable-at-most-once"
    LEAVING_UNUSED = "leaving-gets-no-new-work"
    STOP_CUTS_NOTHING = "planned-stop-cuts-nothing"
    STOP_ANSWERS_ALL = "planned-stop-answers-what-was-sent"
    SENT_IS_ANSWERED = "answered-while-node-runs"
    ENDING_REQUESTS_HELD = "ending-requests-held"
    EVACUATED_UNUSED = "evacuated-gets-nothing"


class Judgement(StrEnum):
    """The outcome of one check."""

    HELD = "held"
    VIOLATED = "violated"
    TOO_THIN = "too-thin"
    """Nothing in the history put the promise to the test."""


class Offence(msgspec.Struct, frozen=True):
    """One event that breaks a promise. ``time`` is the history's, in seconds."""

    time: float
    subject: str
    """Node, request or back end."""
    message: str


class Verdict(msgspec.Struct, frozen=True):
    """The result of one check; ``judged`` counts the events that it weighed."""

    promise: Promise
    judgement: Judgement
    judged: int
    offences: tuple[Offence, ...] = ()


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


def judge(promise: Promise, judged: int, offences: Iterable[Offence]) -> Verdict:
    """Return the verdict that follows from the offences found among ``judged`` events."""
    found = tuple(offences)
    if found:
        return Verdict(promise, Judgement.VIOLATED, judged, found)
    judgement = Judgement.HELD if judged else Judgement.TOO_THIN
    return Verdict(promise, judgement, judged)
