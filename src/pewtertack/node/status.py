"""A node's status for operators: the body of ``GET /status``."""

from __future__ import annotations

import msgspec

from pewtertack.node.addresses import AddressStatus


class RevisionStatus(msgspec.Struct, frozen=True):
    """One revision; number 0 means none."""

    number: int = 0
    digest: str = ""


class FindingStatus(msgspec.Struct, frozen=True):
    """One reason for a rejection: its type, its path in the tree and an explanation."""

    code: str
    path: str
    message: str


class RejectionStatus(msgspec.Struct, frozen=True):
    """The last refused revision and the reasons."""

    revision: RevisionStatus
    findings: tuple[FindingStatus, ...]
    since: float | None = None
    """Unix time since when revisions newer than the held one are refused; none if none is."""


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
    """A request that has crashed back ends, by its fingerprint."""

    fingerprint: str
    ends: int
    """Number of back ends that have crashed while running it since it was last answered."""
    since: float
    """Seconds since the first of these crashes."""
    last: float
    """Seconds since the last one."""


class StagesStatus(msgspec.Struct, frozen=True):
    """When a revision reached its stages on this node, in Unix seconds; none where it has not."""

    number: int
    way: str
    """How it arrived: ``source``, ``heartbeat``, ``delta``, ``snapshot`` or ``unknown``."""
    heard: float
    held: float | None = None
    committed: float | None = None
    in_force: float | None = None


class ReadStatus(msgspec.Struct, frozen=True):
    """State of the reads of one document."""

    open_for: float | None = None
    """Seconds since the oldest open read began; none without one."""
    may_wait: float = 0.0
    """Seconds for which the source may keep that read open while nothing changes."""
    failures: int = 0
    """Failed reads since the last usable response."""
    failure: str = ""
    """How the last of them failed (`pewtertack.errors.ReadFailure`); empty without one."""
    open_reads: int = 0


class NodeStatus(msgspec.Struct, frozen=True):
    """Complete status of one node. Times are Unix seconds, ages and durations seconds."""

    name: str
    zone: str
    region: str
    incarnation: int
    profile: str
    phase: str
    """``joining``, ``serving``, ``leaving`` or ``superseded``."""
    serving: bool
    """Whether callers are served now."""
    uptime: float
    addresses: AddressStatus
    held: RevisionStatus
    committed: RevisionStatus
    in_force: RevisionStatus
    in_force_since: float | None
    evacuated: tuple[str, ...]
    """Zones whose back ends get no requests, by the revision in force."""
    reading: bool
    """Whether this node reads the platform for its zone."""
    source_age: float | None
    """Seconds since this node's last usable response from the source; none without one."""
    machine_list_age: float | None
    machine_list_number: int
    """Number within the era of the source."""
    peers: dict[str, int]
    """Number of known peers by status."""
    last_rejection: RejectionStatus | None
    stale_answers: int
    """Responses of the source that were older than the held revision."""
    conflicts: int
    """Documents received under a number already held with another digest."""
    in_flight: int
    """Callers' requests in flight."""
    traffic: TrafficStatus
    suspended: float = 0.0
    """Seconds for which the machine was suspended since the node started."""
    refused_requests: tuple[RefusedRequestStatus, ...] = ()
    """Requests that have crashed so many back ends that they are refused."""
    confirmation_ages: dict[str, float] = {}
    """Seconds since each document was last taken to be the source's newest, by its name."""
    answer_ages: dict[str, float] = {}
    """Seconds since an answer of the source, to this node or a reader, last proved that."""
    items_passed_over: int = 0
    """Items of the platform that were not understood when they were last read here."""
    items_found_wrong: int = 0
    """Findings about items that were not understood, since the start."""
    source_era: int = 0
    """The latest era of the source known here; 0 without eras."""
    machines_kept: int = 0
    """Machines kept although the machine list of a new era lacks them."""
    newest_heard: int = 0
    """The newest revision that the source or a peer has reported."""
    behind_for: float | None = None
    """Seconds since the node first received a report of a revision newer than the one in force;
    none if there is none."""
    stages: tuple[StagesStatus, ...] = ()
    """Stages of the latest revisions, the newest first."""
    reads: dict[str, ReadStatus] = {}
    """By document, ``configuration`` and ``machine_list``; empty while the node reads neither."""
    source_answer_seconds: float | None = None
    """Smoothed seconds that reads take beyond their waits; none while the node reads nothing."""


class MemberView(msgspec.Struct, frozen=True):
    """What this node knows of one peer; one item of ``GET /members``."""

    name: str
    address: str
    zone: str
    region: str
    incarnation: int
    status: str
    changed: float
    """Seconds since the peer's status changed."""
