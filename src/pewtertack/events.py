"""The catalogue of numbered log events. docs/EVENTS.md is generated from it.

Numbers are never reused. 1xx: process life cycle, 2xx: configuration, 3xx: membership,
4xx: platform, 5xx: peer protocol, 6xx: requests, 9xx: lab.
"""

from __future__ import annotations

from enum import Enum

REQUEST_EVENT_SERIES = 6
"""The hundreds digit of the numbers of request events."""


class Event(Enum):
    """Number and description of each log event, and whether it is routine."""

    NODE_READY = (101, "The node listens on all its addresses.")
    NODE_SERVING = (102, "The node accepts requests of callers.")
    NODE_JOINING = (103, "The node rejects requests until it has the newest version.")
    NODE_DRAINING = (104, "The node accepts no new requests and finishes those in flight.")
    NODE_STOPPED = (105, "The node has shut down and exits.")
    NODE_WOKE = (106, "The process was paused for longer than allowed and rejoins the fleet.")
    NODE_SUPERSEDED = (107, "A newer process uses this node's name; this process stops serving.")
    NODE_FAILED = (108, "An unexpected error terminated the process with exit code 1.")
    SETTINGS_RELOADED = (109, "The settings file was reloaded; some changes need a restart.")
    SETTINGS_REFUSED = (110, "The settings file is invalid; the current settings stay in use.")
    LOG_LINES_LEFT_OUT = (
        111,
        "Log lines were dropped: too many, or the reader stalled; with counts.",
    )
    NODE_SUSPENDED = (112, "The machine was suspended; timers that expired meanwhile fire now.")
    NODE_PARTS = (113, "Processor time of the process so far, by part; only if enabled.")
    REVISION_HELD = (201, "A complete and valid revision is stored but not yet in force.")
    REVISION_COMMITTED = (202, "A quorum of replicas stores the revision.")
    REVISION_IN_FORCE = (203, "The proxy serves according to this revision from now on.")
    REVISION_REJECTED = (204, "A revision violates a validation rule and is rejected as a whole.")
    REVISION_CONFLICT = (205, "A revision number has two digests; the stored document is kept.")
    REVISION_STALE = (206, "The source returned an older revision, which is ignored.")
    ZONES_EVACUATED = (
        207,
        "The set of evacuated zones changed; with services that have back ends only in these.",
    )
    REVISION_HEARD = (208, "A peer reported a newer revision than any known to this node.")
    MEMBER_ALIVE = (301, "A member joined or refuted a suspicion.")
    MEMBER_SUSPECT = (302, "A member answered neither direct nor indirect probes.")
    MEMBER_DEAD = (303, "A suspected member did not refute the suspicion in time.")
    MEMBER_LEAVING = (304, "A member is draining.")
    SOURCE_LOST = (405, "Reads of the source or of the machine list have started to fail.")
    SOURCE_REGAINED = (406, "The source or the machine list responds again.")
    SOURCE_FAILED = (401, "A read of the configuration source failed.")
    MACHINE_LIST_FAILED = (402, "A read of the machine list failed.")
    READER_STARTED = (403, "This node starts to read the platform for its zone.")
    READER_STOPPED = (404, "This node stops reading the platform.")
    ITEM_PASSED_OVER = (407, "An invalid item of the platform is skipped; other items are used.")
    SOURCE_RETURNED = (
        408,
        "The source was restored from an older copy; with the eras and what its list lacks.",
    )
    SOURCE_BOUND_WIDER = (
        409,
        "The source accepts longer configurations than nodes are guaranteed to accept.",
    )
    FRAME_REFUSED = (501, "A frame from a peer was rejected.")
    PULL_REFUSED = (502, "A pull was rejected with a retry delay.")
    REQUEST_REFUSED = (601, "A request ended without a response of a back end.")
    BACKEND_EJECTED = (602, "A back end failed repeatedly and gets no requests for a while.")
    BACKEND_RETURNED = (603, "An ejected back end gets requests again.")
    HTTP_SERVER_WARNING = (604, "The HTTP server truncated a response or reported an error.")
    BACKEND_SEEN = (605, "A back end was added to the machine list.")
    BACKEND_LEAVING = (606, "The list or a response says that a back end takes no new requests.")
    BACKEND_GONE = (607, "A back end was removed from the machine list.")
    BACKEND_CRASHED = (608, "A back end crashed while it executed these requests.")
    REQUEST_ENDS_BACKENDS = (
        609,
        "Back ends crashed while executing one request; with their number.",
    )
    REQUEST_ROUTED = (610, "The proxy chose a back end for an attempt; with the reason.", True)
    REQUEST_RETRIED = (611, "An attempt failed and the request is retried; with the reason.")
    REQUEST_NOT_RETRIED = (
        612,
        "An attempt failed and the request is not retried; with the reason.",
    )
    REQUEST_ANSWERED = (613, "The complete response of the back end was sent to the caller.", True)
    REQUEST_CUT = (614, "A response was truncated after its head had been sent to the caller.")
    REQUEST_CANCELLED = (615, "The caller disconnected before the response.")
    REQUEST_UNFINISHED = (616, "The shutdown deadline passed while the request was in flight.")
    GATEWAY_QUEUED = (620, "A request waits at the gateway for a slot of the back end.", True)
    GATEWAY_ADMITTED = (621, "The gateway sends a request to the back end.", True)
    GATEWAY_REFUSED = (622, "The gateway rejected a request before the back end received it.")
    GATEWAY_ANSWERED = (
        623,
        "The complete response of the back end was returned to the proxy.",
        True,
    )
    GATEWAY_FAILED = (624, "A request forwarded to the back end got no complete response.")
    GATEWAY_CANCELLED = (625, "The proxy cancelled a request at the gateway.")
    GATEWAY_UNFINISHED = (626, "The shutdown deadline passed while the gateway held the request.")

    ROUTE_ORIGIN = (
        627,
        "The gateway inferred who sends a route's requests: callers or nested calls.",
    )

    GATEWAY_SENT = (628, "All of a long response has left the gateway.", True)
    SENDER_STOPS = (629, "A stopping node announced until when it forwards responses.")
    GATEWAY_GAVE_BACK = (
        630,
        "A request was handed back: its gateway or proxy stops before a long response is sent.",
    )
    BACKEND_RATE_NAMED = (
        631,
        "A back end named the requests a second that it takes from all nodes; with the source.",
    )
    BACKEND_RATE_ENDED = (632, "A back end's answers name no limit of requests any more.")
    BACKEND_RATE_INVALID = (
        633,
        "A back end named a limit that is no decimal number; the earlier one stays in force.",
    )

    def __init__(self, number: int, meaning: str, routine: bool = False) -> None:
        self.number = number
        self.meaning = meaning
        self.routine = routine
        """Whether it records successful processing; dropped first when too much is logged."""
