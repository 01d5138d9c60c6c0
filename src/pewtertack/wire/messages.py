"""Typed messages between nodes.

Every message is a msgspec struct encoded as a CBOR array whose first item is the
message's tag. Messages are idempotent: versions only grow and membership updates are
ordered by incarnation, so loss, duplication and reordering are harmless.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Any

import msgspec

from pewtertack.core.delta import Delta
from pewtertack.core.machines import Machine, MachineRole
from pewtertack.core.revision import RevisionId


class DocumentKind(IntEnum):
    """The two replicated documents."""

    CONFIGURATION = 0
    MACHINE_LIST = 1


class MemberStatus(IntEnum):
    """A member's status as seen by a node. Higher values win within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The status of one member, piggybacked on probes and join messages.

    ``incarnation`` is the start time of the process in milliseconds. The member itself
    raises it to refute a suspicion or to exceed its predecessor's.
    """

    name: str
    address: str
    zone: str
    region: str
    incarnation: int
    status: MemberStatus


class VersionState(msgspec.Struct, frozen=True, array_like=True):
    """The versions that a node has; part of every probe message.

    ``held`` is the newest configuration that is stored completely, ``committed`` the
    newest known to be held by a quorum, ``machine_list`` the number of the list in use.
    ``serving`` is false while the node joins. The committed revision is encoded only if it
    differs from the held one, which is rare.
    """

    held: RevisionId
    committed_if_different: RevisionId | None
    machine_list: int
    serving: bool

    @classmethod
    def of(
        cls, held: RevisionId, committed: RevisionId, machine_list: int, serving: bool
    ) -> VersionState:
        """Return the state in its shortest encoding."""
        return cls(held, None if committed == held else committed, machine_list, serving)

    @property
    def committed(self) -> RevisionId:
        """The newest revision known to be held by a quorum."""
        return self.held if self.committed_if_different is None else self.committed_if_different

    @property
    def newest(self) -> RevisionId:
        """The newer of the held and the committed revision."""
        committed = self.committed
        return committed if committed.number > self.held.number else self.held


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Direct probe; the acknowledgement repeats ``sequence``."""

    sequence: int
    state: VersionState
    updates: tuple[MemberUpdate, ...] = ()


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answer to a probe, direct or relayed."""

    sequence: int
    state: VersionState
    updates: tuple[MemberUpdate, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Request to a third member to probe ``target`` on behalf of the sender."""

    sequence: int
    target: str


class IndirectAcknowledge(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Notice to the requester of an indirect probe that ``target`` has answered."""

    sequence: int
    target: str


class Announce(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Immediate notice of new versions, sent to a limited number of peers.

    ``delta`` contains the newest configuration change if it is small and the profile
    allows it.
    """

    state: VersionState
    delta: Delta | None = None


class Pull(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Request for everything after ``have`` of one document, or for ``exact`` alone.

    ``exact`` is for a node that already holds a newer revision than the committed one
    but has never held the committed one.
    """

    kind: DocumentKind
    have: RevisionId
    exact: RevisionId | None = None


class DeltaAnswer(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Deltas, oldest first, from the puller's revision to the sender's."""

    kind: DocumentKind
    deltas: tuple[Delta, ...]


class SnapshotAnswer(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A whole document, for a node that joins or is too far behind for deltas."""

    kind: DocumentKind
    revision: RevisionId
    document: dict[str, Any]


class PackedAnswer(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """A long ``DeltaAnswer`` or ``SnapshotAnswer``, compressed (``wire.packing``)."""

    kind: DocumentKind
    content: bytes


class Busy(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Refusal of a pull because the sender's snapshot limit is reached; retry after this time."""

    kind: DocumentKind
    retry_after_milliseconds: int


class HeldReport(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Report to a commit coordinator that the sender holds ``revision``."""

    revision: RevisionId


class JoinRequest(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Request of a node that starts, or resumes after a pause, for versions and members."""

    member: MemberUpdate


class JoinAnswer(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Answer with the peer's versions, the peer's own status, and a sample of members."""

    state: VersionState
    member: MemberUpdate
    members: tuple[MemberUpdate, ...]


class LeavingBackend(msgspec.Struct, frozen=True, array_like=True):
    """A back end that accepts no new work, by name, address and start time."""

    name: str
    address: str
    started_at: int = 0
    """``Machine.started_at``: the notice does not apply to a later incarnation."""


class BackendsLeaving(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Back ends that have announced to a node that they leave; each node forwards it once."""

    backends: tuple[LeavingBackend, ...]


Milliseconds = Annotated[int, msgspec.Meta(ge=0)]


class SourceAges(msgspec.Struct, frozen=True, array_like=True):
    """Time since the source last confirmed each document that the sender holds.

    ``None`` if the source has not confirmed it. Transmission time is not included.
    """

    configuration: Milliseconds | None
    machine_list: Milliseconds | None

    def of(self, kind: DocumentKind) -> int | None:
        """Return the age of one document's confirmation in milliseconds."""
        return self.configuration if kind is DocumentKind.CONFIGURATION else self.machine_list


class ReaderHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """A source reader's report of what it holds, and when the source confirmed that.

    ``deltas`` contain the newest changes if they fit into the datagram.
    """

    state: VersionState
    list_digest: bytes
    """Digest of the machine list; its number is in ``state``."""
    ages: SourceAges
    deltas: tuple[DeltaAnswer, ...] = ()
    wide_link: bool = False
    """Whether the sender takes precedence over readers with narrow links."""
    answer_ages: SourceAges | None = None
    """Like ``ages``, but by answers of the source alone, not by reads that it holds open. ``None``
    from builds that do not report them."""


class EndedBackend(msgspec.Struct, frozen=True, array_like=True):
    """One crash of a back end during a request, identified by a unique number."""

    number: Annotated[int, msgspec.Meta(ge=0)]
    age_ms: Milliseconds


class CrashedRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request during which back ends crashed, identified by its fingerprint only."""

    fingerprint: Annotated[bytes, msgspec.Meta(min_length=16, max_length=16)]
    crashes: Annotated[tuple[EndedBackend, ...], msgspec.Meta(max_length=64)]
    answered_ms_ago: Milliseconds | None = None
    """Time since a back end last answered it, which clears it of earlier crashes."""


class CrashReports(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """What the sender knows of requests during which back ends crashed."""

    requests: Annotated[tuple[CrashedRequest, ...], msgspec.Meta(max_length=256)]


class DepartedBackend(msgspec.Struct, frozen=True, array_like=True):
    """An entry of a machine list whose back end is known to have left."""

    name: str
    address: str
    service: str
    started_at: int = 0
    listed_at: int = 0

    @classmethod
    def of(cls, machine: Machine) -> DepartedBackend:
        """Return the short form of a machine list's entry."""
        return cls(
            machine.name, machine.address, machine.service, machine.started_at, machine.listed_at
        )

    def machine(self) -> Machine:
        """Return the entry as far as it is known; the message has no zone."""
        return Machine(
            self.name,
            MachineRole.BACKEND,
            "",
            self.address,
            self.service,
            started_at=self.started_at,
            listed_at=self.listed_at,
        )


class KeptBackend(Machine, frozen=True, array_like=True):
    """A back end in use although a list lacks it or lists an earlier incarnation."""

    @classmethod
    def of(cls, machine: Machine) -> KeptBackend:
        """Return the machine in the form used in messages."""
        return cls(*msgspec.structs.astuple(machine))

    def machine(self) -> Machine:
        """Return the machine in the form used in machine lists."""
        return Machine(*msgspec.structs.astuple(self))


class ListOverrides(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """The sender's overrides of a machine list of a new era of the source.

    Sent to starting peers while the overrides are valid, in several messages if necessary.
    """

    number: int
    """The number of the machine list."""
    remaining_ms: Milliseconds
    """For how much longer the overrides are valid."""
    leaving: tuple[LeavingBackend, ...] = ()
    """Back ends listed as live, but known to be leaving."""
    gone: tuple[DepartedBackend, ...] = ()
    """Back ends listed, but known to have left."""
    kept: tuple[KeptBackend, ...] = ()
    """Back ends in use that the list lacks."""


class EndedEvacuation(msgspec.Struct, frozen=True, array_like=True):
    """A zone whose evacuation has ended, although a restored copy may still contain it."""

    zone: str
    created_until_revision: Annotated[int, msgspec.Meta(ge=0)]
    """The source's item of the evacuation was created no later than this revision."""


class EvacuationsEnded(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Evacuations that the sender has seen end; sent to starting peers in the hold period."""

    era: int
    age_ms: Milliseconds
    """Time since the sender first learned of the era."""
    zones: Annotated[tuple[EndedEvacuation, ...], msgspec.Meta(max_length=64)]


Message = (
    Ping
    | Acknowledge
    | PingRequest
    | IndirectAcknowledge
    | Announce
    | Pull
    | DeltaAnswer
    | SnapshotAnswer
    | Busy
    | HeldReport
    | JoinRequest
    | JoinAnswer
    | BackendsLeaving
    | ReaderHeartbeat
    | PackedAnswer
    | CrashReports
    | ListOverrides
    | EvacuationsEnded
)
