"""The catalogue of numbered log events. docs/EVENTS.md is generated from it.

Numbers are never reused. 1xx process life, 2xx configuration, 3xx membership,
4xx platform, 5xx peers' protocol, 6xx requests, 9xx lab.
"""

from __future__ import annotations

from enum import Enum

REQUEST_EVENTS = 6
"""The first digit of their numbers."""


class Event(Enum):
    """Number and meaning of each log event."""

    NODE_READY = (101, "The node listens on all its addresses.")
    NODE_SERVING = (102, "The node accepts callers' requests.")
    NODE_JOINING = (103, "The node refuses requests until it knows the newest version.")
    NODE_DRAINING = (104, "The node takes no new work and finishes what is in flight.")
    NODE_STOPPED = (105, "The node has finished and exits.")
    NODE_WOKE = (106, "The process was paused longer than allowed and joins again.")
    NODE_SUPERSEDED = (107, "Another process lives under this name; this one serves no more.")
    NODE_FAILED = (108, "An unexpected error ended the process with exit code 1.")
    SETTINGS_RELOADED = (109, "The settings file was read again; some changes need a restart.")
    SETTINGS_REFUSED = (110, "The settings file is wrong; the settings in use stay.")
    LOG_LINES_LEFT_OUT = (111, "So many lines were not written: too many, or nobody read them.")
    NODE_SUSPENDED = (112, "The machine was suspended; what ran out meanwhile ends now.")
    NODE_PARTS = (113, "What the process took of processor time so far, by part; where asked for.")
    REVISION_HELD = (201, "A revision is stored whole, valid, and not yet in force.")
    REVISION_COMMITTED = (202, "A quorum of replicas holds the revision.")
    REVISION_IN_FORCE = (203, "The proxy serves by this revision from now on.")
    REVISION_REJECTED = (204, "A revision breaks a rule and is refused whole.")
    REVISION_CONFLICT = (205, "Two digests for one revision number; neither replaces ours.")
    REVISION_STALE = (206, "The source answered with an older revision; ignored.")
    ZONES_EVACUATED = (207, "The zones changed whose back ends get nothing; who is left out.")
    REVISION_HEARD = (208, "A peer tells of a newer revision than any known here.")
    MEMBER_ALIVE = (301, "A member joined or refuted a suspicion.")
    MEMBER_SUSPECT = (302, "A member answered neither direct nor indirect probes.")
    MEMBER_DEAD = (303, "A suspected member did not refute in time.")
    MEMBER_LEAVING = (304, "A member is draining.")
    SOURCE_LOST = (405, "Reads of the source or the machine list fail from now on.")
    SOURCE_REGAINED = (406, "The source or the machine list answers again.")
    SOURCE_FAILED = (401, "The configuration source gave no usable answer.")
    MACHINE_LIST_FAILED = (402, "The machine list gave no usable answer.")
    READER_STARTED = (403, "This node reads the platform for its zone from now on.")
    READER_STOPPED = (404, "This node no longer reads the platform.")
    ITEM_PASSED_OVER = (407, "An item of the platform makes no sense; the others hold.")
    SOURCE_RETURNED = (408, "The source has come back from an older copy: a new era; what it lost.")
    SOURCE_BOUND_WIDER = (409, "The source accepts longer configurations than are surely taken.")
    FRAME_REFUSED = (501, "A peer's frame was refused.")
    PULL_REFUSED = (502, "A pull was answered with a come-back time.")
    REQUEST_REFUSED = (601, "A request ended without the back end's answer.")
    BACKEND_EJECTED = (602, "A back end failed repeatedly and gets no work for a while.")
    BACKEND_RETURNED = (603, "An ejected back end gets work again.")
    HTTP_SERVER_WARNING = (604, "The HTTP server cut an answer short or met an error.")
    BACKEND_SEEN = (605, "The machine list names a back end that was not on it before.")
    BACKEND_LEAVING = (606, "A back end gets no new work: the list, or its own answer, says so.")
    BACKEND_GONE = (607, "A back end is on the machine list no longer.")
    BACKEND_CRASHED = (608, "A back end ended while it ran these requests.")
    REQUEST_ENDS_BACKENDS = (609, "So many back ends ended while they ran one request.")
    REQUEST_ROUTED = (610, "The proxy chose a back end for an attempt, and why.", True)
    REQUEST_RETRIED = (611, "An attempt failed; the request is sent once more, and why.")
    REQUEST_NOT_RETRIED = (612, "An attempt failed; the request is not sent again, and why.")
    REQUEST_ANSWERED = (613, "The back end's whole answer went to the caller.", True)
    REQUEST_CUT = (614, "An answer broke off after its head had gone to the caller.")
    REQUEST_CANCELLED = (615, "The caller left before its answer.")
    REQUEST_UNFINISHED = (616, "The time to stop is over while the request is under way.")
    GATEWAY_QUEUED = (620, "A request waits at the gateway for a slot of the back end.", True)
    GATEWAY_ADMITTED = (621, "The gateway sends a request to the back end.", True)
    GATEWAY_REFUSED = (622, "The gateway refused a request before the back end saw it.")
    GATEWAY_ANSWERED = (623, "The back end's whole answer went back to the proxy.", True)
    GATEWAY_FAILED = (624, "A request that was offered to the back end has no whole answer.")
    GATEWAY_CANCELLED = (625, "The proxy gave up a request at the gateway.")
    GATEWAY_UNFINISHED = (626, "The time to stop is over while the gateway holds the request.")

    ROUTE_ORIGIN = (627, "The gateway has found who calls a route: callers, or back ends that run.")

    GATEWAY_SENT = (628, "All of a long answer has left the gateway.", True)
    SENDER_STOPS = (629, "A node that stops says until when it carries answers to its requests.")
    GATEWAY_GAVE_BACK = (
        630,
        "The gateway's or the sender's node stops before a long answer could leave: not sent on.",
    )

    def __init__(self, number: int, meaning: str, routine: bool = False) -> None:
        self.number = number
        self.meaning = meaning
        self.routine = routine
        """Of a request that goes well: left out first when too much is logged."""

    @property
    def of_request(self) -> bool:
        """Whether it tells of a request or a back end; an overload has many of them."""
        return self.number // 100 == REQUEST_EVENTS
