"""The coordination core of one node: inputs in, effects out.

    JOINING --holds the newest version--> SERVING --drain--> LEAVING
       ^                                     |
       +------- resumed after a pause -------+
    any --a newer process runs under this name--> SUPERSEDED

The core does no I/O and has no clock or randomness of its own, so the daemon, the
lightweight nodes of a scale test and the simulated network all use the same class.
"""

from __future__ import annotations

import math
from enum import StrEnum
from random import Random

import msgspec

from pewtertack.core.crashes.gossip import CrashGossip
from pewtertack.core.effects import BringIntoForce, ContinueWork, Effect, Log, Send, SetServing
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.inputs import (
    BackendCrashed,
    BackendLeavingObserved,
    DocumentRead,
    DocumentReadFailed,
    DocumentUnchanged,
    DrainRequested,
    FrameArriving,
    Input,
    MessageReceived,
    SuspectAnswered,
    Ticked,
    WorkContinued,
)
from pewtertack.core.membership.service import Membership
from pewtertack.core.profile import SourceProperties, TimingProfile
from pewtertack.core.replication.join import Joiner
from pewtertack.core.replication.service import Replication
from pewtertack.core.slices import UNITS_PER_TURN, Budget
from pewtertack.errors import ProtocolError
from pewtertack.events import Event
from pewtertack.wire.messages import (
    Acknowledge,
    Announce,
    BackendsLeaving,
    Busy,
    CrashReports,
    DeltaAnswer,
    DocumentKind,
    EvacuationsEnded,
    HeldReport,
    IndirectAcknowledge,
    JoinAnswer,
    JoinRequest,
    LeavingBackend,
    ListOverrides,
    MemberUpdate,
    Message,
    PackedAnswer,
    Ping,
    PingRequest,
    Pull,
    ReaderHeartbeat,
    SnapshotAnswer,
    VersionState,
)
from pewtertack.wire.packing import unpack

MEMBERS_PER_JOIN_ANSWER = 8
"""Number of sampled members in a join answer, besides the joiner itself."""
JOIN_RETRY_AFTER_SECONDS = 1.0
"""Time after which callers should retry while the node does not serve."""
PAUSE_BACKLOG_SECONDS = 0.3
"""Time after a pause in which messages that arrived during the pause are processed."""
READING_SEEDS = 3
"""Number of seeds that read the platform while a new fleet starts."""


class NodePhase(StrEnum):
    """Whether a node serves callers, and if not, why."""

    JOINING = "joining"
    SERVING = "serving"
    LEAVING = "leaving"
    SUPERSEDED = "superseded"


class NodeCore:
    """Membership, replication and joining of one node.

    Args:
        identity: the node's identity; ``identity.incarnation`` differs for each process.
        profile: periods and limits.
        random: the node's only source of randomness.
        now: monotonic seconds.
        seeds: peer addresses (``ip:port``) to ask first.
        source: known properties of the configuration source.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        profile: TimingProfile,
        random: Random,
        now: float,
        seeds: tuple[str, ...] = (),
        source: SourceProperties | None = None,
    ) -> None:
        self.identity = identity
        self.profile = profile
        self.phase = NodePhase.JOINING
        self.source = source or SourceProperties()
        self._random = random
        self._last_tick = now
        self._continuation_requested = False
        """Whether a ``ContinueWork`` is outstanding."""
        self.membership = Membership(identity, profile, random, now)
        self.crashes = CrashGossip(identity, self.membership, random)
        is_seed = identity.address in seeds[:READING_SEEDS]
        self.replication = Replication(
            identity, profile, self.membership, random, now, is_seed, self.source
        )
        other_seeds = tuple(seed for seed in seeds if seed != identity.address)
        self._joiner = Joiner(identity.zone, profile, self.membership.table, other_seeds, random)
        self._joiner.start(now)

    def handle(self, now: float, event: Input) -> list[Effect]:
        """Process one input and return the effects for the runtime to execute.

        ``now`` is monotonic seconds and must not decrease.
        """
        effects = self._notice_pause(now)
        self.replication.budget = self._turn_budget()
        self.replication.quorum.may_commit = self._may_commit(now)
        effects += self._dispatch(now, event)
        effects += self._notice_replacement()
        if self.phase is NodePhase.JOINING:
            effects += self._finish_joining(now)
        elif self.phase is NodePhase.SERVING and self._may_resolve(event):
            effects += self._advance_in_force(now)
        effects += self.replication.due_heartbeats(now)
        return effects + self._request_continuation()

    def _turn_budget(self) -> Budget:
        """Return the work budget of a turn: unlimited while joining, as no request waits then."""
        return Budget(math.inf if self.phase is NodePhase.JOINING else UNITS_PER_TURN)

    def _may_resolve(self, event: Input) -> bool:
        """Tell whether ``event`` may advance a resolution: once started, only ``WorkContinued``."""
        return isinstance(event, WorkContinued) or not self.replication.replica.is_resolving

    def _request_continuation(self) -> list[Effect]:
        replication = self.replication
        is_resolving = replication.replica.is_resolving and self.phase is NodePhase.SERVING
        if self._continuation_requested or not (replication.is_working or is_resolving):
            return []
        self._continuation_requested = True
        return [ContinueWork()]

    def _continue_work(self, now: float) -> list[Effect]:
        """Resolve held revisions before processing offers, because new offers may keep arriving."""
        self._continuation_requested = False
        effects = self._advance_in_force(now) if self.phase is NodePhase.SERVING else []
        return effects + self.replication.continue_work(now)

    def _dispatch(self, now: float, event: Input) -> list[Effect]:
        match event:
            case Ticked():
                return self._tick(now)
            case MessageReceived():
                return self._on_message(now, event)
            case FrameArriving(host):
                self.replication.on_frame_arriving(now, host)
                return []
            case DocumentRead() | DocumentUnchanged() | DocumentReadFailed():
                return self._on_source(now, event)
            case BackendLeavingObserved(name, address, started_at):
                notice = LeavingBackend(name, address, started_at)
                return self.replication.on_backends_leaving((notice,))
            case BackendCrashed() | SuspectAnswered():
                return self._on_suspect(now, event)
            case DrainRequested():
                return self._drain()
            case WorkContinued():
                return self._continue_work(now)

    def _on_source(
        self, now: float, event: DocumentRead | DocumentUnchanged | DocumentReadFailed
    ) -> list[Effect]:
        match event:
            case DocumentRead():
                return self.replication.on_document_read(now, event)
            case DocumentUnchanged():
                return self.replication.on_document_unchanged(now, event)
            case DocumentReadFailed():
                return self.replication.on_read_failed(now, event)

    def _on_suspect(self, now: float, event: BackendCrashed | SuspectAnswered) -> list[Effect]:
        match event:
            case BackendCrashed(fingerprints, number):
                return self.crashes.on_crash(now, fingerprints, number)
            case SuspectAnswered(fingerprint):
                return self.crashes.on_answer(now, fingerprint)

    def _tick(self, now: float) -> list[Effect]:
        self._last_tick = now
        effects = self.membership.tick(now, self.replication.state())
        effects += self.crashes.tick(now)
        joining = self.phase is NodePhase.JOINING
        effects += self.replication.tick(now, self._may_read(now), joining)
        if self.phase is NodePhase.JOINING:
            effects += self._request_joins(now)
        return effects

    def _may_read(self, now: float) -> bool:
        """Tell whether to read the platform; joining nodes do so only if no peer can answer."""
        if self.source.durable:
            return self.phase in (NodePhase.JOINING, NodePhase.SERVING)
        if self.phase is NodePhase.JOINING:
            return self._joiner.may_bootstrap(now)
        return self.phase is NodePhase.SERVING

    def _may_commit(self, now: float) -> bool:
        if self.phase is NodePhase.JOINING:
            return self._joiner.may_commit(now)
        return self.phase is NodePhase.SERVING

    # Pauses and replacement by another process.

    def _notice_pause(self, now: float) -> list[Effect]:
        """Join again after a gap between ticks, because everything known may be out of date."""
        gap = now - self._last_tick
        if gap < self.profile.pause_threshold or not self.profile.mechanisms.pause_detection:
            return []
        self._last_tick = now
        self.membership.detector.after_pause(now)
        self.replication.after_pause(now, PAUSE_BACKLOG_SECONDS)
        if self.phase not in (NodePhase.JOINING, NodePhase.SERVING):
            return []
        self._joiner.start(now)
        effects: list[Effect] = [Log(Event.NODE_WOKE, {"paused_seconds": round(gap, 3)})]
        if self.phase is NodePhase.SERVING:
            effects += self._enter_joining()
        return effects

    def _enter_joining(self) -> list[Effect]:
        self.phase = NodePhase.JOINING
        self.replication.serving = False
        return [SetServing(False, JOIN_RETRY_AFTER_SECONDS), Log(Event.NODE_JOINING, {})]

    def _notice_replacement(self) -> list[Effect]:
        if not self.membership.superseded or self.phase is NodePhase.SUPERSEDED:
            return []
        self.phase = NodePhase.SUPERSEDED
        self.replication.serving = False
        return [SetServing(False, JOIN_RETRY_AFTER_SECONDS), Log(Event.NODE_SUPERSEDED, {})]

    def _drain(self) -> list[Effect]:
        if self.phase in (NodePhase.LEAVING, NodePhase.SUPERSEDED):
            return []
        self.phase = NodePhase.LEAVING
        self.replication.serving = False
        self.membership.announce_leaving()
        ping = Ping(0, self.replication.state(), (self.membership.own_update,))
        names = self.membership.table.reachable.sample(self._random, self.profile.join_peers)
        effects: list[Effect] = [Log(Event.NODE_DRAINING, {})]
        for name in names:
            effects += self.membership.send(name, ping)
        return effects

    # Joining.

    def _request_joins(self, now: float) -> list[Effect]:
        request = JoinRequest(self.membership.own_update)
        return [
            Send(name, address, request) for name, address in self._joiner.addresses_to_ask(now)
        ]

    def _finish_joining(self, now: float) -> list[Effect]:
        """Start serving once the newest committed version known to peers is in force here."""
        if self.profile.mechanisms.join_before_serving and not self._is_up_to_date(now):
            return []
        effects = self._advance_in_force(now)
        if self.replication.replica.in_force is None:
            return effects
        self.phase = NodePhase.SERVING
        self.replication.serving = True
        self.membership.detect_replacements()
        return [*effects, SetServing(True), Log(Event.NODE_SERVING, {})]

    def _is_up_to_date(self, now: float) -> bool:
        replica = self.replication.replica
        if (
            replica.committed.number == 0
            or replica.store.recent_document(replica.committed) is None
        ):
            return False
        if self._joiner.newest_machine_list and self.replication.machine_list.machines.number == 0:
            return False
        if self.replication.restore_inquiry.is_pending(now):
            return False
        if self.source.durable:
            return self._is_up_to_date_with_source(now)
        if not self._joiner.is_held_wait_over(now, replica.committed):
            return False
        return self._joiner.knows_enough(now, self.membership.table.quorum_members(now))

    def _is_up_to_date_with_source(self, now: float) -> bool:
        """Tell whether the source or a serving peer has reported its newest revision since start.

        A node that has waited for both without result serves with what it holds: no node
        that it can reach has anything newer in force.
        """
        replication = self.replication
        if replication.era:
            return self._is_up_to_date_with_peers(now)
        read_at = replication.reader.last_answer_at
        if all(self._joiner.started_before(read_at.get(kind)) for kind in DocumentKind):
            return True
        if replication.freshness.max_age(now) <= self.profile.reader_lease:
            return True
        return self._is_up_to_date_with_peers(now)

    def _is_up_to_date_with_peers(self, now: float) -> bool:
        """Tell whether this node has what peers report as in force, or no peer could report it.

        A source that was restored from a copy may have older documents than the peers.
        """
        if self.replication.machine_list.machines.number == 0:
            return False
        if self._joiner.has_serving_answer:
            newest = self._joiner.newest_committed
            return self.replication.replica.committed.number >= newest.number
        return self._joiner.waited_without_result(now)

    def _on_join_request(
        self, now: float, sender: MessageReceived, request: JoinRequest
    ) -> list[Effect]:
        effects = self.membership.on_self_report(now, request.member)
        effects += self.replication.messages_for_joiner(now, sender.sender, sender.sender_address)
        effects += self.crashes.reports_for_joiner(now, sender.sender, sender.sender_address)
        members = self._members_for_joiner(sender.sender)
        answer = JoinAnswer(self.replication.state(), self.membership.own_update, members)
        effects.append(Send(sender.sender, sender.sender_address, answer))
        return effects

    def _members_for_joiner(self, joiner: str) -> tuple[MemberUpdate, ...]:
        """Return a sample of members, including the state known for the joiner's name."""
        table = self.membership.table
        names = [*table.reachable.sample(self._random, MEMBERS_PER_JOIN_ANSWER), joiner]
        members = [table.get(name) for name in dict.fromkeys(names)]
        return tuple(member.update for member in members if member is not None)

    def _on_join_answer(
        self, now: float, event: MessageReceived, answer: JoinAnswer
    ) -> list[Effect]:
        effects = self.membership.merge_updates(now, (answer.member, *answer.members))
        self._joiner.on_answer(now, event.sender, answer.member.zone, answer.state)
        return effects + self.replication.on_join_answer(
            now, event.sender, event.sender_address, answer.state
        )

    # Configurations in force.

    def _advance_in_force(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        while True:
            configuration = self.replication.replica.advance_in_force(self.replication.budget)
            if configuration is None:
                return effects
            reports = self.replication.stages.on_in_force(now, configuration)
            effects += [BringIntoForce(configuration), *reports]

    # Messages.

    def _on_message(self, now: float, event: MessageReceived) -> list[Effect]:
        if event.sender == self.identity.name:
            return []
        sender, address = event.sender, event.sender_address
        self.membership.table.record_contact(sender, address, event.incarnation, now)
        match event.message:
            case Ping() as ping:
                effects = self._learn_from_probe(now, event, ping.state)
                state = self.replication.state()
                return effects + self.membership.on_ping(now, sender, address, ping, state)
            case Acknowledge() as answer:
                effects = self._learn_from_probe(now, event, answer.state)
                return effects + self.membership.on_acknowledge(now, answer)
            case PingRequest() as request:
                return self.membership.on_ping_request(sender, request, self.replication.state())
            case IndirectAcknowledge() as answer:
                self.membership.on_indirect_acknowledge(answer)
                return []
            case JoinRequest() as request:
                return self._on_join_request(now, event, request)
            case JoinAnswer() as answer:
                return self._on_join_answer(now, event, answer)
            case _:
                return self._on_replication_message(now, event)

    def _on_replication_message(self, now: float, event: MessageReceived) -> list[Effect]:
        sender, address = event.sender, event.sender_address
        match event.message:
            case Announce() as announce:
                return self.replication.on_announce(now, sender, address, announce)
            case Pull() as pull:
                return self.replication.on_pull(now, sender, address, pull)
            case DeltaAnswer() as answer:
                return self.replication.on_deltas(now, answer)
            case SnapshotAnswer() as answer:
                return self.replication.on_snapshot(now, answer)
            case PackedAnswer() as packed:
                return self._on_packed_answer(now, event, packed)
            case Busy() as busy:
                self.replication.on_busy(now, busy)
                return []
            case HeldReport() as report:
                incarnation = event.incarnation
                return self.replication.on_held_report(now, sender, incarnation, report)
            case ReaderHeartbeat() as heartbeat:
                return self.replication.on_heartbeat(now, sender, address, heartbeat)
            case _:
                return self._on_backend_message(now, event.message)

    def _on_backend_message(self, now: float, message: Message) -> list[Effect]:
        match message:
            case BackendsLeaving(backends):
                return self.replication.on_backends_leaving(backends)
            case ListOverrides() as report:
                return self.replication.on_list_overrides(now, report)
            case EvacuationsEnded() as report:
                self.replication.on_evacuations_ended(now, report)
                return []
            case CrashReports() as reports:
                return self.crashes.on_reports(now, reports)
            case _:
                return []

    def _on_packed_answer(
        self, now: float, event: MessageReceived, packed: PackedAnswer
    ) -> list[Effect]:
        try:
            answer = unpack(packed)
        except ProtocolError as error:
            return [Log(Event.FRAME_REFUSED, {"reason": f"{error.code}: {error}"})]
        return self._on_replication_message(now, msgspec.structs.replace(event, message=answer))

    def _learn_from_probe(
        self, now: float, event: MessageReceived, state: VersionState
    ) -> list[Effect]:
        if not self.profile.mechanisms.lazy_repair:
            return []
        return self.replication.on_peer_state(now, event.sender, event.sender_address, state)
