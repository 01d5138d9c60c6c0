"""Typed messages between nodes.

Every message is a msgspec struct encoded as a CBOR array whose first item is
the message's tag. Messages are idempotent: versions only grow and membership
updates are ordered by incarnation, so loss, repetition and reordering do no harm.
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
    """What a node believes of another. Higher values win within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A statement about one member, spread by piggyback.

    ``incarnation`` is the start time of the process in milliseconds, raised by
    the member itself to refute a suspicion or to outlive its predecessor.
    """

    name: str
    address: str
    zone: str
    region: str
    incarnation: int
    status: MemberStatus


class VersionState(msgspec.Struct, frozen=True, array_like=True):
    """The versions that a node has; rides on every probe.

    ``held`` is the newest configuration stored whole, ``committed`` the newest
    known to be held by a quorum, ``machine_list`` the number of the list in use.
    ``serving`` is false while the node joins. Most of the time the committed
    revision is the held one, so only another one is encoded.
    """

    held: RevisionId
    committed_if_not_held: RevisionId | None
    machine_list: int
    serving: bool

    @classmethod
    def of(
        cls, held: RevisionId, committed: RevisionId, machine_list: int, serving: bool
    ) -> VersionState:
        """Return the state in its shortest form."""
        return cls(held, None if committed == held else committed, machine_list, serving)

    @property
    def committed(self) -> RevisionId:
        """The newest revision known to be held by a quorum."""
        return self.held if self.committed_if_not_held is None else self.committed_if_not_held

    @property
    def newest(self) -> RevisionId:
        """The newest revision that this tells of."""
        committed = self.committed
        return committed if committed.number > self.held.number else self.held


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Direct probe; ``sequence`` comes back in the acknowledgement."""

    sequence: int
    state: VersionState
    updates: tuple[MemberUpdate, ...] = ()


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answer to a probe, direct or relayed."""

    sequence: int
    state: VersionState
    updates: tuple[MemberUpdate, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Ask a third member to probe ``target`` on the sender's behalf."""

    sequence: int
    target: str


class IndirectAcknowledge(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Tell the requester of an indirect probe that ``target`` answered."""

    sequence: int
    target: str


class Announce(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Eager notice of new versions, sent to a bounded number of peers.

    ``delta`` carries the newest configuration edit inline when it is small and
    the profile allows it.
    """

    state: VersionState
    delta: Delta | None = None


class Pull(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Ask for everything after ``have`` of one document, or for ``exact`` alone.

    ``exact`` serves a node that already holds something newer than the committed
    revision but never held that one.
    """

    kind: DocumentKind
    have: RevisionId
    exact: RevisionId | None = None


class DeltaAnswer(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Deltas, oldest first, that lead from the puller's revision to the sender's."""

    kind: DocumentKind
    deltas: tuple[Delta, ...]


class SnapshotAnswer(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A whole document, for a joiner or a node too far behind."""

    kind: DocumentKind
    revision: RevisionId
    document: dict[str, Any]


class PackedAnswer(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """A long ``DeltaAnswer`` or ``SnapshotAnswer``, compressed (``wire.packing``)."""

    kind: DocumentKind
    content: bytes


class Busy(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The sender serves as many snapshots as it may; pull again after this long."""

    kind: DocumentKind
    retry_after_milliseconds: int


class HeldReport(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Tell a commit coordinator that the sender holds ``revision``."""

    revision: RevisionId


class JoinRequest(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """A starting or woken node asks a peer for versions and members."""

    member: MemberUpdate


class JoinAnswer(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Versions of the answering peer, the peer itself, and a sample of members."""

    state: VersionState
    member: MemberUpdate
    members: tuple[MemberUpdate, ...]


class LeavingBackend(msgspec.Struct, frozen=True, array_like=True):
    """A back end, by name, address and start, that takes no new work."""

    name: str
    address: str
    started_at: int = 0
    """``Machine.started_at``: what is told of one life says nothing of the next."""


class BackendsLeaving(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Back ends that told a node they are leaving; passed on once by each node."""

    backends: tuple[LeavingBackend, ...]


Milliseconds = Annotated[int, msgspec.Meta(ge=0)]


class SourceAges(msgspec.Struct, frozen=True, array_like=True):
    """How long ago the source confirmed each document that the sender holds.

    ``None`` where it has not. Time on the way is not counted.
    """

    configuration: Milliseconds | None
    machine_list: Milliseconds | None

    def of(self, kind: DocumentKind) -> int | None:
        """Return the age of one document's confirmation in milliseconds."""
        return self.configuration if kind is DocumentKind.CONFIGURATION else self.machine_list


class ReaderHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """A reader of the source tells what it holds and how old the source's word on it is.

    ``deltas`` bring the newest changes along when they fit one datagram.
    """

    state: VersionState
    list_digest: bytes
    """Digest of the machine list, whose number stands in ``state``."""
    ages: SourceAges
    deltas: tuple[DeltaAnswer, ...] = ()
    wide_link: bool = False
    """Whether the sender goes before readers with narrow links."""


class EndedBackend(msgspec.Struct, frozen=True, array_like=True):
    """The end of a back end under a request, by a number that no other end has."""

    number: Annotated[int, msgspec.Meta(ge=0)]
    age_ms: Milliseconds


class CrashedRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request that ran when back ends ended, by its fingerprint alone."""

    fingerprint: Annotated[bytes, msgspec.Meta(min_length=16, max_length=16)]
    crashes: Annotated[tuple[EndedBackend, ...], msgspec.Meta(max_length=64)]
    answered_ms_ago: Milliseconds | None = None
    """How long ago a back end last answered it, which clears it of earlier ends."""


class CrashReports(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """What the sender knows of requests under which back ends ended."""

    requests: Annotated[tuple[CrashedRequest, ...], msgspec.Meta(max_length=256)]


class DepartedBackend(msgspec.Struct, frozen=True, array_like=True):
    """An entry of a machine list whose back end is known to have gone."""

    name: str
    address: str
    service: str
    started_at: int = 0
    listed_at: int = 0

    @classmethod
    def of(cls, machine: Machine) -> DepartedBackend:
        """Return the short form of a list's entry."""
        return cls(
            machine.name, machine.address, machine.service, machine.started_at, machine.listed_at
        )

    def machine(self) -> Machine:
        """Return the entry as far as it is told; its zone is not."""
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
    """A back end that is in use although a list does not name it, or names an earlier life."""

    @classmethod
    def of(cls, machine: Machine) -> KeptBackend:
        """Return the form for messages."""
        return cls(*msgspec.structs.astuple(machine))

    def machine(self) -> Machine:
        """Return the entry as lists hold it."""
        return Machine(*msgspec.structs.astuple(self))


class ListOverrides(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """What the sender holds against a machine list of a new era of the source.

    Told to starting peers, in several messages if need be, while it holds.
    """

    number: int
    """Of the list."""
    remaining_ms: Milliseconds
    """For how much longer it holds."""
    leaving: tuple[LeavingBackend, ...] = ()
    """Listed as live, known to be leaving."""
    gone: tuple[DepartedBackend, ...] = ()
    kept: tuple[KeptBackend, ...] = ()


class EndedEvacuation(msgspec.Struct, frozen=True, array_like=True):
    """A zone whose evacuation has ended, though a copy of the source may still show it."""

    zone: str
    created_until_revision: Annotated[int, msgspec.Meta(ge=0)]
    """A revision up to which the source's item of the evacuation was made."""


class EvacuationsEnded(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Which evacuations the sender has seen to end; told to starting peers while that holds."""

    era: int
    age_ms: Milliseconds
    """Since the sender first heard of the era."""
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
