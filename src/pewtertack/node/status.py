"""What a node tells operators about itself: the body of ``GET /status``."""

from __future__ import annotations

import msgspec

from pewtertack.node.addresses import AddressStatus


class RevisionStatus(msgspec.Struct, frozen=True):
    """One revision; number 0 stands for none."""

    number: int = 0
    digest: str = ""


class FindingStatus(msgspec.Struct, frozen=True):
    """One reason for a rejection: its type, place in the tree and explanation."""

    code: str
    path: str
    message: str


class RejectionStatus(msgspec.Struct, frozen=True):
    """The last refused revision and why."""

    revision: RevisionStatus
    findings: tuple[FindingStatus, ...]
    since: float | None = None
    """Unix seconds since when newer revisions than the held one are refused; none if none is."""


class ByteStatus(msgspec.Struct, frozen=True):
    """Bytes of frames exchanged with peers since the start."""

    sent: int
    received: int


class TrafficStatus(msgspec.Struct, frozen=True):
    """Peer traffic by purpose, and frames refused by type."""

    control: ByteStatus
    configuration: ByteStatus
    machine_list: ByteStatus
    refused: dict[str, int]
    unsent: dict[str, int]
    failed: dict[str, int]
    by_accepted_keys: int = 0
    """Frames signed with one of ``peers.accepted_keys``."""


class RefusedRequestStatus(msgspec.Struct, frozen=True):
    """A request under which back ends have ended, by its fingerprint."""

    fingerprint: str
    ends: int
    """Back ends that ended under it since it was last answered."""
    since: float
    """Seconds since the first of them."""
    last: float
    """Seconds since the last."""


class StagesStatus(msgspec.Struct, frozen=True):
    """When a revision reached its stages here, in Unix seconds; none where it has not."""

    number: int
    way: str
    """How it came: ``source``, ``heartbeat``, ``delta``, ``snapshot`` or ``unknown``."""
    heard: float
    held: float | None = None
    committed: float | None = None
    in_force: float | None = None


class ReadStatus(msgspec.Struct, frozen=True):
    """How reads of one document fare."""

    open_for: float | None = None
    """Since the oldest open read began; none without one."""
    may_wait: float = 0.0
    """For how long the source may keep that read open while nothing changes."""
    failures: int = 0
    """Failed reads since the last usable answer."""
    failure: str = ""
    """How the last of them ended (`pewtertack.errors.ReadFailure`); empty without one."""
    open_reads: int = 0


class NodeStatus(msgspec.Struct, frozen=True):
    """Everything of one node. Times are Unix seconds, ages and spans seconds."""

    name: str
    zone: str
    region: str
    incarnation: int
    profile: str
    phase: str
    """``joining``, ``serving``, ``leaving`` or ``superseded``."""
    serving: bool
    """Whether callers are served at this moment."""
    uptime: float
    addresses: AddressStatus
    held: RevisionStatus
    committed: RevisionStatus
    in_force: RevisionStatus
    in_force_since: float | None
    evacuated: tuple[str, ...]
    """Zones whose back ends are sent nothing, by the revision in force."""
    reading: bool
    """Whether this node reads the platform for its zone."""
    source_age: float | None
    """Since this node's last usable answer of the source; none without one."""
    machine_list_age: float | None
    machine_list_number: int
    """Within the era of the source."""
    peers: dict[str, int]
    """Known peers by status."""
    last_rejection: RejectionStatus | None
    stale_answers: int
    """Answers of the source that were older than what is held."""
    conflicts: int
    """Documents that came under a number already held with another digest."""
    in_flight: int
    """Callers' requests under way."""
    traffic: TrafficStatus
    suspended: float = 0.0
    """Seconds for which the machine was suspended since the node began."""
    refused_requests: tuple[RefusedRequestStatus, ...] = ()
    """Requests under which so many back ends have ended that they are refused."""
    items_passed_over: int = 0
    """Items of the platform that made no sense when they were last read here."""
    items_found_wrong: int = 0
    """Findings about such items since the start."""
    source_era: int = 0
    """The latest era of the source that is known here; 0 without eras."""
    machines_kept: int = 0
    """Machines still believed in although the list of a new era lacks them."""
    newest_heard: int = 0
    """The newest revision of which the source or a peer has told."""
    behind_for: float | None = None
    """Since the node first heard of a newer revision than is in force; none without one."""
    stages: tuple[StagesStatus, ...] = ()
    """Of the latest revisions, the newest first."""
    reads: dict[str, ReadStatus] = {}
    """By document, ``configuration`` and ``machine_list``; empty while the node reads neither."""
    source_answer_seconds: float | None = None
    """What reads take beyond their waits, smoothed; none while the node reads nothing."""


class MemberView(msgspec.Struct, frozen=True):
    """What this node believes of one peer; one item of ``GET /members``."""

    name: str
    address: str
    zone: str
    region: str
    incarnation: int
    status: str
    changed: float
    """Seconds since the belief changed."""
