"""The catalogue of numbered log events. docs/EVENTS.md is generated from it.

Numbers are never reused. 1xx process life, 2xx configuration, 3xx membership,
4xx platform, 5xx peers' protocol, 6xx requests, 9xx lab.
"""

from __future__ import annotations

from enum import Enum


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
    REVISION_HELD = (201, "A revision is stored whole, valid, and not yet in force.")
    REVISION_COMMITTED = (202, "A quorum of replicas holds the revision.")
    REVISION_IN_FORCE = (203, "The proxy serves by this revision from now on.")
    REVISION_REJECTED = (204, "A revision breaks a rule and is refused whole.")
    REVISION_CONFLICT = (205, "Two digests for one revision number; neither replaces ours.")
    REVISION_STALE = (206, "The source answered with an older revision; ignored.")
    MEMBER_ALIVE = (301, "A member joined or refuted a suspicion.")
    MEMBER_SUSPECT = (302, "A member answered neither direct nor indirect probes.")
    MEMBER_DEAD = (303, "A suspected member did not refute in time.")
    MEMBER_LEAVING = (304, "A member is draining.")
    SOURCE_FAILED = (401, "The configuration source gave no usable answer.")
    MACHINE_LIST_FAILED = (402, "The machine list gave no usable answer.")
    READER_STARTED = (403, "This node reads the platform for its zone from now on.")
    READER_STOPPED = (404, "This node no longer reads the platform.")
    FRAME_REFUSED = (501, "A peer's frame was refused.")
    PULL_REFUSED = (502, "A pull was answered with a come-back time.")
    REQUEST_REFUSED = (601, "A request ended without the back end's answer.")
    BACKEND_EJECTED = (602, "A back end failed repeatedly and gets no work for a while.")
    BACKEND_RETURNED = (603, "An ejected back end gets work again.")
    HTTP_SERVER_WARNING = (604, "The HTTP server cut an answer short or met an error.")

    def __init__(self, number: int, meaning: str) -> None:
        self.number = number
        self.meaning = meaning
