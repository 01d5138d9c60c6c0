"""Replication service of one node: reads, holds, announces, pulls, reports and commits."""

from __future__ import annotations

import math
from functools import partial
from itertools import starmap
from random import Random

import msgspec

from pewtertack.core.configuration.model import RootSection
from pewtertack.core.delta import Delta, DeltaMismatchError
from pewtertack.core.effects import Effect, Log, Send, UseMachineList
from pewtertack.core.ended_evacuations import EndedEvacuations
from pewtertack.core.eras import era_of, split_tree_number
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.inputs import DocumentRead, DocumentReadFailed, DocumentUnchanged
from pewtertack.core.items import SkippedItems
from pewtertack.core.membership.ring import hash_score
from pewtertack.core.membership.service import Membership
from pewtertack.core.profile import SourceProperties, TimingProfile
from pewtertack.core.replication.announcing import Announcer
from pewtertack.core.replication.freshness import SourceFreshness
from pewtertack.core.replication.heartbeats import HeartbeatSender
from pewtertack.core.replication.machine_lists import MachineListReplica
from pewtertack.core.replication.offers import Offer, OfferQueue
from pewtertack.core.replication.pull_scheduler import PullScheduler
from pewtertack.core.replication.pull_server import PullServer
from pewtertack.core.replication.quorum import QuorumCommit
from pewtertack.core.replication.reader import PlatformReader, ReadContext
from pewtertack.core.replication.readership import READERSHIPS, ReadershipInputs
from pewtertack.core.replication.rejections import RejectionMonitor
from pewtertack.core.replication.replica import WRONG_DIGEST, ConfigurationReplica
from pewtertack.core.replication.restore_inquiry import RestoreInquiry
from pewtertack.core.replication.stage_reports import StageReports
from pewtertack.core.replication.stages import DeliveryChannel
from pewtertack.core.replication.unshared import UnsharedDocuments
from pewtertack.core.revision import RevisionId, revision_id_of
from pewtertack.core.slices import Budget
from pewtertack.events import Event
from pewtertack.wire.messages import (
    Announce,
    BackendsLeaving,
    Busy,
    DeltaAnswer,
    DocumentKind,
    EndedEvacuation,
    EvacuationsEnded,
    HeldReport,
    JoinRequest,
    LeavingBackend,
    ListOverrides,
    Pull,
    ReaderHeartbeat,
    SnapshotAnswer,
    VersionState,
)

MILLISECONDS_PER_SECOND = 1000.0
FIRST_START_SPREAD = 1.25
"""Upper bound of the random factor of the first read's delay, so that nodes that wait for the
machine list do not all read at the same time."""
FAILURE_EVENTS = {
    DocumentKind.CONFIGURATION: Event.SOURCE_FAILED,
    DocumentKind.MACHINE_LIST: Event.MACHINE_LIST_FAILED,
}


class Replication:
    """Replicates both documents and decides when a configuration is committed."""

    def __init__(
        self,
        identity: NodeIdentity,
        profile: TimingProfile,
        membership: Membership,
        random: Random,
        now: float,
        is_seed: bool = False,
        source: SourceProperties | None = None,
    ) -> None:
        self._identity = identity
        self._profile = profile
        self._membership = membership
        self._random = random
        self._source = source or SourceProperties()
        self.replica = ConfigurationReplica(identity.zone, profile.mechanisms)
        self.rejections = RejectionMonitor(self.replica)
        self.machine_list = MachineListReplica(self._source.hold_after_return, now)
        self.era = 0
        """The latest era of the source that is known to this node."""
        self._era_since = now
        self.restore_inquiry = RestoreInquiry(
            profile, membership.table, random, self._source.hold_after_return, now
        )
        self._ended_evacuations = EndedEvacuations()
        self._source_silence_seconds = math.inf
        """Time between the source's last confirmation and the beginning of this era."""
        stores = {
            DocumentKind.CONFIGURATION: self.replica.store,
            DocumentKind.MACHINE_LIST: self.machine_list.store,
        }
        self._pull_server = PullServer(stores, profile, random, now, self._source.wide_link)
        self._offer_queue = OfferQueue()
        self._pull_scheduler = PullScheduler(
            self.replica, self.machine_list, self._offer_queue, profile.pull_timeout
        )
        self.quorum = QuorumCommit(identity, profile, membership, now)
        self.freshness = SourceFreshness(SourceFreshness())
        first_read_at = now + self._first_read_delay()
        inputs = ReadershipInputs(
            identity,
            profile,
            membership.table,
            self.freshness,
            is_seed,
            first_read_at,
            self._source.wide_link,
        )
        readership = READERSHIPS[profile.readership](inputs)
        self.reader = PlatformReader(
            profile,
            readership,
            self.freshness,
            random,
            first_read_at,
            self._source.narrow_link,
        )
        self._announcer = Announcer(identity, profile, membership, random)
        self._unshared = UnsharedDocuments()
        self._heartbeats = HeartbeatSender(
            identity, profile, membership, self.freshness, stores, self._source.wide_link
        )
        self.skipped_items = SkippedItems()
        self.budget = Budget()
        """The amount of sliced work that may be done in the current turn."""
        self.stages = StageReports()
        self.serving = False

    def _first_read_delay(self) -> float:
        """Return the seconds for which a new fleet waits for its machine list before it reads."""
        if not self._source.first_start:
            return 0.0
        return self._profile.first_start_delay * self._random.uniform(1.0, FIRST_START_SPREAD)

    def state(self) -> VersionState:
        """Return the versions to advertise to peers."""
        return VersionState.of(
            self.replica.held,
            self.replica.committed,
            self.machine_list.revision.number,
            self.serving,
        )

    def after_pause(self, now: float, ignore_reports_seconds: float) -> None:
        """Discard confirmations from before a pause; ignore reports that arrived during it."""
        self.freshness.reset(now, ignore_reports_seconds)
        self.reader.after_pause()
        self.restore_inquiry.restart(now)
        self.machine_list.overrides.new_entries.began_at = now

    def held_number(self, kind: DocumentKind) -> int:
        """Return the number of the held revision of a document."""
        if kind is DocumentKind.CONFIGURATION:
            return self.replica.held.number
        return self.machine_list.revision.number

    def tick(self, now: float, may_read: bool, joining: bool = False) -> list[Effect]:
        """Return the reads, pulls and reports that are due.

        A joiner reads a durable source itself, because that is sufficient for it to serve.
        """
        numbers = {kind: self.held_number(kind) for kind in DocumentKind}
        effects = self.machine_list.tick(now) + self.rejections.tick(now) + self._due_inquiries(now)
        effects += self.reader.tick(
            now, may_read, numbers, joining and self._source.durable, self._read_context(now)
        )
        effects += self._pull_scheduler.due_pulls(now)
        if self._has_uncommitted():
            effects += self.quorum.report_if_due(now, self.replica.held)
            effects += self._commit_if_allowed(now, self.replica.held)
        return effects

    def _due_inquiries(self, now: float) -> list[Effect]:
        """Return the requests for peers' overrides of the lists of a new era."""
        request = JoinRequest(self._membership.own_update)
        names = self.restore_inquiry.peers_to_ask(now)
        return [effect for name in names for effect in self._membership.send(name, request)]

    def on_join_answer(
        self, now: float, sender: str, address: str, state: VersionState
    ) -> list[Effect]:
        """Process a peer's versions; inform it of the era if it does not know it."""
        effects = self.on_peer_state(now, sender, address, state)
        if self.restore_inquiry.on_join_answer(sender, state):
            effects.append(Send(sender, address, Announce(self.state())))
        if self.restore_inquiry.is_answered:
            effects += self.machine_list.trust_new_entries(now)
        return effects

    def _read_context(self, now: float) -> ReadContext:
        """Return the context of a read, also in era 0: the read may be the first of a new era."""
        held, doubts_copy = self.replica.held, self.restore_inquiry.doubts_copy(now)
        if held.number == 0:
            return ReadContext(self.era, self._era_since, doubts_copy=doubts_copy)
        tree, ended = self.replica.store.document, dict(self._ended_evacuations.ended)
        evacuated = self._evacuated_zones()
        return ReadContext(self.era, self._era_since, evacuated, ended, doubts_copy, held, tree)

    def _evacuated_zones(self) -> tuple[str, ...]:
        """Return the zones that the held tree names as evacuated."""
        return tuple(self.replica.store.document.get(RootSection.EVACUATED_ZONES.value, ()))

    # Answers of the platform.

    def on_document_read(self, now: float, read: DocumentRead) -> list[Effect]:
        """Process a document that this node read."""
        kind, number, document = read.kind, read.number, read.document
        if kind is DocumentKind.MACHINE_LIST:
            self._observe_era(now, number)
        effects = self._log_regained(kind) + self.skipped_items.record(kind, read.findings)
        effects += self.skipped_items.record_answer(kind, read.answer_findings)
        if kind is DocumentKind.CONFIGURATION:
            self.freshness.suspend(kind, number)
        if read.stale:
            self.reader.on_stale_document(now, read)
        else:
            self.reader.on_document(now, read, self.held_number(kind))
        if kind is DocumentKind.MACHINE_LIST:
            if number > self.machine_list.revision.number:
                self._unshared.add(kind, number)
            offered = self.machine_list.offer(now, revision_id_of(number, document), document)
            return effects + self._after_machine_list(now, offered)
        if self.stages.log.record_reported(now, number):
            self._unshared.add(kind, number)
        make_work = partial(self.replica.offer_document_in_slices, number, document)
        return effects + self._offer(now, Offer(number, DeliveryChannel.SOURCE, make_work))

    def on_document_unchanged(self, now: float, answer: DocumentUnchanged) -> list[Effect]:
        """Process the source's answer that a document has not changed."""
        kind = answer.kind
        effects = self._log_regained(kind)
        effects += self.skipped_items.record_answer(kind, answer.answer_findings)
        self.reader.on_answer(now, answer)
        return effects

    def _log_regained(self, kind: DocumentKind) -> list[Effect]:
        if not self.reader.is_failing(kind):
            return []
        return [Log(Event.SOURCE_REGAINED, {"document": kind.name})]

    def on_read_failed(self, now: float, failed: DocumentReadFailed) -> list[Effect]:
        """Record a failed read and delay the next one."""
        kind = failed.kind
        was_failing = self.reader.is_failing(kind)
        fields = self.reader.on_failure(now, failed)
        effects: list[Effect] = [Log(FAILURE_EVENTS[kind], fields)]
        if failed.answer_findings:
            effects += self.skipped_items.record_answer(kind, failed.answer_findings)
        if not was_failing:
            effects.append(Log(Event.SOURCE_LOST, {"document": kind.name}))
        return effects

    # Versions that peers report.

    def on_peer_state(
        self, now: float, sender: str, address: str, state: VersionState
    ) -> list[Effect]:
        """Process a peer's versions: adopt its commit mark and pull newer documents."""
        effects = self.stages.on_reported(now, sender, state.newest)
        effects += self._adopt_commit(now, state.committed)
        self._observe_era(now, state.machine_list)
        self._pull_scheduler.on_peer_state(sender, address, state)
        effects += self._pull_scheduler.due_pulls(now)
        return effects

    def on_heartbeat(
        self, now: float, sender: str, address: str, heartbeat: ReaderHeartbeat
    ) -> list[Effect]:
        """Process a reader's heartbeat: its changes, its versions and the ages of confirmations."""
        effects: list[Effect] = []
        for answer in heartbeat.deltas:
            effects += self._offer_delta_answer(now, answer, DeliveryChannel.HEARTBEAT)
        list_revision = RevisionId(heartbeat.state.machine_list, heartbeat.list_digest)
        self._observe_era(now, list_revision.number)
        effects += self._after_machine_list(now, self.machine_list.renumber(now, list_revision))
        effects += self.on_peer_state(now, sender, address, heartbeat.state)
        if era_of(list_revision.number) < self.era:
            return effects  # confirmations from before the restore of the source are void
        self._record_peer_ages(now, heartbeat)
        lease = self._profile.reader_lease
        ages = (heartbeat.ages.of(kind) for kind in DocumentKind)
        if all(age is not None and age <= lease * MILLISECONDS_PER_SECOND for age in ages):
            member = self._membership.table.get(sender)
            in_own_zone = member is not None and member.update.zone == self._identity.zone
            self.reader.readership.on_heartbeat(now, sender, in_own_zone, heartbeat.wide_link)
            if heartbeat.answer_ages and hash_score(sender) < hash_score(self._identity.name):
                self.reader.on_preceding_reader(now)
        else:
            self.reader.readership.on_unconfirmed_heartbeat(sender)
        return effects

    def _observe_era(self, now: float, number: int) -> None:
        """Switch to the era of a machine list that is known to exist, if that era is newer."""
        if era_of(number) > self.era:
            self.era = era_of(number)
            self._era_since = now
            self.restore_inquiry.begin_era(now, self.era)
            self._source_silence_seconds = self.freshness.age(now, DocumentKind.MACHINE_LIST)

    def _record_peer_ages(self, now: float, heartbeat: ReaderHeartbeat) -> None:
        """Apply a peer's confirmations to documents that are at least as new as the peer's."""
        peer_numbers = {
            DocumentKind.CONFIGURATION: heartbeat.state.held.number,
            DocumentKind.MACHINE_LIST: heartbeat.state.machine_list,
        }
        for kind, number in peer_numbers.items():
            if self.held_number(kind) < number:
                continue
            age = heartbeat.ages.of(kind)
            if age is not None:
                self.freshness.record_peer_age(now, kind, age)
            answer_age = heartbeat.answer_ages.of(kind) if heartbeat.answer_ages else None
            if answer_age is not None:
                self.freshness.answers.record_peer_age(now, kind, answer_age)

    def due_heartbeats(self, now: float) -> list[Effect]:
        """Return the heartbeats to send now, if this node is a reader.

        A node whose read is answered after it has stopped reading announces the document instead.
        No other node may have it.
        """
        if not self.reader.readership.sends_heartbeats:
            return []
        has_unshared = self._unshared.pop_held(self.held_number)
        if self.reader.reading:
            return self._heartbeats.due_heartbeats(now, self.state())
        if not (has_unshared and self.serving):
            return []
        announce = Announce(self.state())
        targets = self._heartbeats.targets()
        return [effect for name in targets for effect in self._membership.send(name, announce)]

    def messages_for_joiner(self, now: float, name: str, address: str) -> list[Effect]:
        """Return the messages with knowledge that only serving peers have.

        These are the back ends that have announced that they leave, the overrides of the machine
        list, the ended evacuations and a heartbeat if the source's last confirmation is recent.
        """
        effects: list[Effect] = [
            Send(name, address, message) for message in self.machine_list.override_messages(now)
        ]
        notices = self.machine_list.leaving_notices
        if notices:
            effects.append(Send(name, address, BackendsLeaving(notices)))
        age = now - self._era_since
        if self.era and self._ended_evacuations.ended and age < self._source.hold_after_return:
            zones = starmap(EndedEvacuation, self._ended_evacuations.ended.items())
            ended = EvacuationsEnded(self.era, round(age * MILLISECONDS_PER_SECOND), tuple(zones))
            effects.append(Send(name, address, ended))
        if self.reader.readership.sends_heartbeats:
            effects += self._heartbeats.for_joiner(now, name, address, self.state())
        return effects

    def on_announce(self, now: float, sender: str, address: str, message: Announce) -> list[Effect]:
        """Process an announcement; apply its inline delta if it fits the held revision."""
        effects: list[Effect] = []
        delta = message.delta
        if delta is not None and delta.base == self.replica.held:
            effects += self._offer_deltas(now, (delta,), DeliveryChannel.DELTA)
        effects += self.on_peer_state(now, sender, address, message.state)
        if message.state.held.number < self.replica.held.number:
            effects.append(Send(sender, address, Announce(self.state())))
        return effects

    # Answers to pulls.

    def on_pull(self, now: float, sender: str, address: str, pull: Pull) -> list[Effect]:
        """Answer the pull of a peer."""
        answer = self._pull_server.answer(now, pull)
        if answer is None:
            return []
        effects: list[Effect] = [Send(sender, address, answer)]
        if isinstance(answer, Busy):
            effects.append(Log(Event.PULL_REFUSED, {"peer": sender}))
        return effects

    def on_frame_arriving(self, now: float, host: str) -> None:
        """Extend the timeouts of pulls from ``host``: an answer may be arriving."""
        self._pull_scheduler.on_frame_arriving(now, host)

    def on_deltas(self, now: float, answer: DeltaAnswer) -> list[Effect]:
        """Apply the deltas that a peer sent."""
        self._pull_scheduler.on_answer(answer.kind)
        return self._offer_delta_answer(now, answer, DeliveryChannel.DELTA)

    def _offer_delta_answer(
        self, now: float, answer: DeltaAnswer, channel: DeliveryChannel
    ) -> list[Effect]:
        if answer.kind is DocumentKind.CONFIGURATION:
            return self._offer_deltas(now, answer.deltas, channel)
        return self._after_machine_list(now, self.machine_list.offer_deltas(now, answer.deltas))

    def on_snapshot(self, now: float, answer: SnapshotAnswer) -> list[Effect]:
        """Process a snapshot if its digest matches."""
        self._pull_scheduler.on_answer(answer.kind)
        revision, document = answer.revision, answer.document
        if answer.kind is DocumentKind.CONFIGURATION:
            make_work = partial(self.replica.offer_snapshot_in_slices, revision, document)
            return self._offer(now, Offer(revision.number, DeliveryChannel.SNAPSHOT, make_work))
        if revision_id_of(revision.number, document) != revision:
            return [Log(Event.FRAME_REFUSED, {"reason": WRONG_DIGEST})]
        return self._after_machine_list(now, self.machine_list.offer(now, revision, document))

    def on_busy(self, now: float, busy: Busy) -> None:
        """Retry after the delay that the busy peer asked for, possibly with another peer."""
        self._pull_scheduler.on_busy(now, busy)

    def _offer_deltas(
        self, now: float, deltas: tuple[Delta, ...], channel: DeliveryChannel
    ) -> list[Effect]:
        if not deltas:
            return []
        make_work = partial(self.replica.offer_deltas_in_slices, deltas)
        return self._offer(now, Offer(deltas[-1].target.number, channel, make_work))

    # Holding and committing.

    @property
    def is_working(self) -> bool:
        """Whether an offered configuration is being processed; ``continue_work`` must be called."""
        return self._offer_queue.is_working

    def _offer(self, now: float, offered: Offer) -> list[Effect]:
        """Queue an offered configuration; process it within this turn if the queue was idle."""
        was_idle = not self._offer_queue.is_working
        self._offer_queue.add(offered)
        return self.continue_work(now) if was_idle else []

    def continue_work(self, now: float) -> list[Effect]:
        """Process offered configurations until none is left or the budget is spent."""
        try:
            return self._advance_offers(now)
        finally:
            if not self._offer_queue.is_working:
                self.freshness.resume(DocumentKind.CONFIGURATION)

    def _advance_offers(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        while self._offer_queue.is_working:
            before = self.replica.held
            try:
                done = self._offer_queue.advance(self.budget)
            except DeltaMismatchError as error:
                effects.append(Log(Event.FRAME_REFUSED, {"reason": str(error)}))
                continue
            if done is None:
                return effects
            effects += self._after_offer(now, before, done)
            if self._offer_queue.is_working:
                self.freshness.resume(DocumentKind.CONFIGURATION, self.replica.held.number)
        return effects

    def _after_offer(self, now: float, before: RevisionId, done: Offer) -> list[Effect]:
        """Report and announce the held revision if the completed offer changed it."""
        effects = list(done.effects)
        held, rejection = self.replica.held, self.replica.current_rejection
        newest = held if rejection is None else rejection.revision
        self._pull_scheduler.forget_up_to(DocumentKind.CONFIGURATION, newest.number)
        if held == before:
            return effects
        effects += self.stages.on_held(now, held.number, done.channel, effects)
        self._ended_evacuations.record_tree(
            self._evacuated_zones(), split_tree_number(held.number)[1], self.era
        )
        if self._has_uncommitted() and not self._source.durable:
            effects += self.quorum.report(now, held)
        effects += self._announce(self._announcer.inline_delta(self.replica.store))
        effects += self._commit_if_allowed(now, held)
        return effects

    def _has_uncommitted(self) -> bool:
        return self.replica.held.number > self.replica.committed.number

    def on_held_report(
        self, now: float, sender: str, incarnation: int, report: HeldReport
    ) -> list[Effect]:
        """Record a holder; commit the revision if a quorum holds it."""
        if report.revision.number <= self.replica.committed.number:
            return self._membership.send(sender, Announce(self.state()))
        effects = self.stages.on_reported(now, sender, report.revision)
        self.quorum.record_holder(sender, incarnation, report.revision)
        return effects + self._commit_if_allowed(now, report.revision)

    def _commit_if_allowed(self, now: float, revision: RevisionId) -> list[Effect]:
        """Commit a newer revision if a quorum holds it or the source is durable."""
        if revision.number <= self.replica.committed.number:
            return []
        if self._source.durable or self.quorum.has_quorum(now, revision):
            return self._adopt_commit(now, revision)
        return []

    def _adopt_commit(self, now: float, revision: RevisionId) -> list[Effect]:
        if not self.replica.mark_committed(revision):
            return []
        self.quorum.on_commit(revision)
        return [*self.stages.on_committed(now, revision), *self._announce(None)]

    # Announcements.

    def _announce(self, delta: Delta | None) -> list[Effect]:
        """Announce new versions to peers, unless readers send them with heartbeats."""
        if self.reader.readership.sends_heartbeats:
            return []
        return self._announcer.send(Announce(self.state(), delta))

    # The machine list.

    def _after_machine_list(self, now: float, effects: list[Effect]) -> list[Effect]:
        """If a new list came into use, add its nodes to the members and announce it."""
        if not any(isinstance(effect, UseMachineList) for effect in effects):
            return effects
        number = self.machine_list.revision.number
        self._observe_era(now, number)
        self._pull_scheduler.forget_up_to(DocumentKind.MACHINE_LIST, number)
        self._membership.use_machine_list(self.machine_list.nodes(), now)
        return [*effects, *self._log_era_change(), *self._announce(None)]

    def _log_era_change(self) -> list[Effect]:
        change, self.machine_list.era_change = self.machine_list.era_change, None
        if change is None:
            return []
        fields = msgspec.structs.asdict(change)
        if not math.isinf(self._source_silence_seconds):
            fields["away_seconds"] = round(self._source_silence_seconds, 3)
        return [Log(Event.SOURCE_RETURNED, fields)]

    def on_backends_leaving(self, notices: tuple[LeavingBackend, ...]) -> list[Effect]:
        """Mark back ends as leaving before the list does; forward new notices once."""
        new_notices = self.machine_list.mark_leaving(notices)
        if not new_notices:
            return []
        machines = self.machine_list.machines
        return [UseMachineList(machines), *self._announcer.send(BackendsLeaving(new_notices))]

    def on_list_overrides(self, now: float, report: ListOverrides) -> list[Effect]:
        """Apply a peer's overrides of the lists of a new era."""
        self._observe_era(now, report.number)
        return self.machine_list.on_overrides(now, report)

    def on_evacuations_ended(self, now: float, report: EvacuationsEnded) -> None:
        """Record evacuations that a peer has seen end, which override an old copy of the source."""
        if report.era != self.era:
            return
        self._era_since = min(self._era_since, now - report.age_ms / MILLISECONDS_PER_SECOND)
        for ended in report.zones:
            self._ended_evacuations.record_report(ended.zone, ended.created_until_revision)
