"""Reads the running parts of a node for its operators."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import msgspec

from pewtertack.core.configuration.findings import Finding
from pewtertack.core.configuration.resolved import DEFAULT_CRASH_LIMIT, ResolvedConfiguration
from pewtertack.core.eras import revision_of
from pewtertack.core.node import NodeCore, NodePhase
from pewtertack.core.replication.open_reads import OpenReads
from pewtertack.core.replication.replica import Rejection
from pewtertack.core.replication.stages import RevisionStages, Stage
from pewtertack.core.revision import NO_REVISION, RevisionId
from pewtertack.node import clock
from pewtertack.node.gate import ServingGate
from pewtertack.node.runtime import Runtime
from pewtertack.node.status import (
    AddressStatus,
    ByteStatus,
    FindingStatus,
    MemberView,
    NodeStatus,
    ReadStatus,
    RefusedRequestStatus,
    RejectionStatus,
    RevisionStatus,
    StagesStatus,
    TrafficStatus,
)
from pewtertack.node.traffic import Direction, Purpose, Traffic
from pewtertack.node.transport import PeerTransport
from pewtertack.wire.messages import DocumentKind


class NodeView(msgspec.Struct, frozen=True):
    """The admin interface's source. ``in_flight`` counts callers' requests."""

    core: NodeCore
    runtime: Runtime
    transport: PeerTransport
    gate: ServingGate
    traffic: Traffic
    addresses: AddressStatus
    in_flight: Callable[[], int]
    started: float
    reaches_all: Callable[[], bool]
    """Whether the proxy can reach every service; true without a proxy."""

    def status(self) -> NodeStatus:
        """Return the node's state now."""
        now = clock.now()
        identity = self.core.identity
        replication = self.core.replication
        replica = replication.replica
        in_force = replica.in_force
        answers = replication.reader.last_answer_at
        stages = replication.stages.log
        return NodeStatus(
            name=identity.name,
            zone=identity.zone,
            region=identity.region,
            incarnation=identity.incarnation,
            profile=self.core.profile.name,
            phase=self.core.phase.value,
            serving=self.gate.may_serve(),
            uptime=round(now - self.started, 3),
            addresses=self.addresses,
            held=_revision(replica.held),
            committed=_revision(replica.committed),
            in_force=_revision(in_force.revision if in_force is not None else NO_REVISION),
            in_force_since=self.runtime.in_force_since,
            evacuated=tuple(sorted(in_force.evacuated)) if in_force is not None else (),
            reading=replication.reader.reading,
            source_age=_age(now, answers.get(DocumentKind.CONFIGURATION)),
            machine_list_age=_age(now, answers.get(DocumentKind.MACHINE_LIST)),
            machine_list_number=revision_of(replication.machine_list.machines.number),
            peers=self._peers_by_status(),
            last_rejection=self._last_rejection(now),
            stale_answers=replica.stale_answers,
            conflicts=replica.conflicts,
            in_flight=self.in_flight(),
            traffic=self._traffic_status(),
            suspended=round(self.runtime.suspended_seconds, 3),
            refused_requests=self._refused_requests(now),
            items_passed_over=replication.passed_over.current,
            items_found_wrong=replication.passed_over.total,
            source_era=replication.era,
            machines_kept=replication.machine_list.returned.kept,
            newest_heard=stages.newest_heard,
            behind_for=_age(now, stages.behind_since),
            stages=_stages(now, stages.recent()),
            reads=self._reads(now),
            source_answer_seconds=self._source_answer_seconds(),
        )

    def members(self) -> tuple[MemberView, ...]:
        """Return the peers that the node knows, by name."""
        now = clock.now()
        members = self.core.membership.table.all()
        views = (
            MemberView(
                name=member.update.name,
                address=member.update.address,
                zone=member.update.zone,
                region=member.update.region,
                incarnation=member.update.incarnation,
                status=member.status.name.lower(),
                changed=round(now - member.changed_at, 3),
            )
            for member in members
        )
        return tuple(sorted(views, key=lambda view: view.name))

    def in_force(self) -> ResolvedConfiguration | None:
        """Return the configuration by which the proxy serves."""
        return self.core.replication.replica.in_force

    def is_ready(self) -> bool:
        """Tell whether callers should be sent here."""
        return self.gate.is_ready() and self.reaches_all()

    def _peers_by_status(self) -> dict[str, int]:
        members = self.core.membership.table.all()
        return dict(Counter(member.status.name.lower() for member in members))

    def _may_read(self) -> bool:
        return self.core.replication.reader.reading or self.core.phase is NodePhase.JOINING

    def _source_answer_seconds(self) -> float | None:
        mean = self.core.replication.reader.answer_times.mean
        return None if mean is None or not self._may_read() else round(mean, 3)

    def _reads(self, now: float) -> dict[str, ReadStatus]:
        """Return how reads fare; failures of a node that reads no more are past."""
        logs = self.core.replication.reader.open_reads if self._may_read() else {}
        return {kind.name.lower(): _read(now, log) for kind, log in logs.items()}

    def _last_rejection(self, now: float) -> RejectionStatus | None:
        replication = self.core.replication
        status, since = _rejection(replication.replica.last_rejection), replication.refusals.since
        if status is None or since is None:
            return status
        unix_since = round(clock.unix_time() - (now - since), 3)
        return msgspec.structs.replace(status, since=unix_since)

    def _refused_requests(self, now: float) -> tuple[RefusedRequestStatus, ...]:
        ledger = self.core.crashes.ledger
        held = [item for item in ledger if item.count >= DEFAULT_CRASH_LIMIT]
        return tuple(
            RefusedRequestStatus(
                item.fingerprint.hex(),
                item.count,
                round(now - min(item.ends.values()), 3),
                round(now - item.last_end, 3),
            )
            for item in sorted(held, key=lambda item: item.last_end, reverse=True)
        )

    def _traffic_status(self) -> TrafficStatus:
        return TrafficStatus(
            control=self._bytes(Purpose.CONTROL),
            configuration=self._bytes(Purpose.CONFIGURATION),
            machine_list=self._bytes(Purpose.MACHINE_LIST),
            refused=dict(self.traffic.refused),
            unsent=dict(self.traffic.unsent),
            failed=dict(self.runtime.failed_messages),
            by_accepted_keys=self.transport.frames_by_accepted_keys,
        )

    def _bytes(self, purpose: Purpose) -> ByteStatus:
        return ByteStatus(
            self.traffic.bytes_for(Direction.SENT, purpose),
            self.traffic.bytes_for(Direction.RECEIVED, purpose),
        )


def _revision(revision: RevisionId) -> RevisionStatus:
    return RevisionStatus(revision.number, revision.digest.hex())


def _age(now: float, answered_at: float | None) -> float | None:
    return None if answered_at is None else round(now - answered_at, 3)


def _stages(now: float, recent: tuple[RevisionStages, ...]) -> tuple[StagesStatus, ...]:
    offset = clock.unix_time() - now
    return tuple(
        StagesStatus(
            item.number,
            item.way.value,
            round(item.reached_at[Stage.HEARD] + offset, 3),
            _unix(offset, item.reached_at.get(Stage.HELD)),
            _unix(offset, item.reached_at.get(Stage.COMMITTED)),
            _unix(offset, item.reached_at.get(Stage.IN_FORCE)),
        )
        for item in recent
    )


def _unix(offset: float, at: float | None) -> float | None:
    return None if at is None else round(at + offset, 3)


def _read(now: float, reads: OpenReads) -> ReadStatus:
    failure = reads.last_failure.value if reads.last_failure is not None else ""
    oldest = reads.oldest
    if oldest is None:
        return ReadStatus(failures=reads.failures, failure=failure)
    open_for = _age(now, oldest.opened_at)
    return ReadStatus(open_for, oldest.effect.wait, reads.failures, failure, len(reads))


def _rejection(rejection: Rejection | None) -> RejectionStatus | None:
    if rejection is None:
        return None
    findings = tuple(_finding(finding) for finding in rejection.findings)
    return RejectionStatus(_revision(rejection.revision), findings)


def _finding(finding: Finding) -> FindingStatus:
    return FindingStatus(finding.code.label, finding.place, finding.message)
