"""The guarantees that a history is checked against, and the verdicts of the checks."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

import msgspec


class Guarantee(StrEnum):
    """The guarantees that a history is checked against."""

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
    RATE_LIMIT_KEPT = "named-limit-kept"
    LEAVING_ANSWERS_OBEYED = "leaving-in-answers-obeyed"


class Judgement(StrEnum):
    """The outcome of one check."""

    HELD = "held"
    VIOLATED = "violated"
    UNTESTED = "too-thin"
    """The history contains no event that tests the guarantee."""


class Violation(msgspec.Struct, frozen=True):
    """One event that violates a guarantee. ``time`` is that of the history, in seconds."""

    time: float
    subject: str
    """The name of a node or back end, or the id of a request."""
    message: str


class Verdict(msgspec.Struct, frozen=True):
    """The result of one check; ``judged`` is the number of events that it examined."""

    promise: Guarantee
    judgement: Judgement
    judged: int
    offences: tuple[Violation, ...] = ()


class CheckBounds(msgspec.Struct, frozen=True):
    """Time limits that the checks allow the fleet, in seconds."""

    convergence: float = 12.0
    """From a revision in force on the first proxy to the same on the last one."""
    recovery: float = 60.0
    """From an edit, or the last fault after it, to the edit in force on all nodes."""
    wake_grace: float = 1.0
    """For a resumed process to detect that it was paused."""
    leaving: float = 5.0
    """From the start of leaving until the back end receives no new requests."""
    evacuated: float = 1.0
    """From an evacuation in force on a node to the start of the last request sent before it."""
    rate_notice: float = 3.0
    """From the first naming of a limit until it binds."""
    rate_known: float = 0.5
    """A node's requests count this long after it has passed on an answer that names the limit."""
    rate_window: float = 4.0
    """Length of the windows in which requests to a back end that names a limit are counted."""
    rate_factor: float = 1.5
    rate_slack: float = 5.0
    """In a window it may get this multiple of what its limit allows, and so many requests more."""
    leaving_known: float = 2.0
    """From an answer, passed on by a node, that says that its back end leaves until callers'
    requests to that node no longer reach the back end."""
    unread: float = 0.2
    """A request sent completely this long before its connection ended counts as read."""
    unplanned: float = 1.0
    """How long after a pause or kill of a node its effects on exchanges are excused."""


def judge(guarantee: Guarantee, judged: int, violations: Iterable[Violation]) -> Verdict:
    """Return the verdict for the violations found among ``judged`` events."""
    found = tuple(violations)
    if found:
        return Verdict(guarantee, Judgement.VIOLATED, judged, found)
    judgement = Judgement.HELD if judged else Judgement.UNTESTED
    return Verdict(guarantee, judgement, judged)
