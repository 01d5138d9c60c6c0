"""Collects the status of a node's running parts; imported when an operator first asks for it."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from pewtertack.core.configuration.findings import Finding
from pewtertack.core.configuration.resolved import DEFAULT_CRASH_LIMIT
from pewtertack.core.eras import revision_of
from pewtertack.core.node import NodePhase
from pewtertack.core.replication.freshness import SourceFreshness
from pewtertack.core.replication.open_reads import OpenReads
from pewtertack.core.replication.replica import Rejection
from pewtertack.core.replication.stages import RevisionStages, Stage
from pewtertack.core.revision import NO_REVISION, RevisionId
from pewtertack.node import clock
from pewtertack.node.status import (
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
from pewtertack.node.traffic import Direction, Purpose
from pewtertack.wire.messages import DocumentKind

if TYPE_CHECKING:
    from pewtertack.node.view import NodeView


def status_of(view: NodeView) -> NodeStatus:
    """Return the node's current status."""
    now = clock.now()
    identity = view.core.identity
    replication = view.core.replication
    replica = replication.replica
    in_force = replica.in_force
    answers = replication.reader.last_answer_at
    stages = replication.stages.log
    return NodeStatus(
        name=identity.name,
        zone=identity.zone,
        region=identity.region,
        incarnation=identity.incarnation,
        profile=view.core.profile.name,
        phase=view.core.phase.value,
        serving=view.gate.may_serve(),
        uptime=round(now - view.started_at, 3),
        addresses=view.addresses,
        held=_revision_status(replica.held),
        committed=_revision_status(replica.committed),
        in_force=_revision_status(in_force.revision if in_force is not None else NO_REVISION),
        in_force_since=view.runtime.in_force_since,
        evacuated=tuple(sorted(in_force.evacuated)) if in_force is not None else (),
        reading=replication.reader.reading,
        source_age=_seconds_since(now, answers.get(DocumentKind.CONFIGURATION)),
        machine_list_age=_seconds_since(now, answers.get(DocumentKind.MACHINE_LIST)),
        machine_list_number=revision_of(replication.machine_list.machines.number),
        peers=_count_peers_by_status(view),
        last_rejection=_last_rejection(view, now),
        stale_answers=replica.stale_answers,
        conflicts=replica.conflicts,
        in_flight=view.in_flight(),
        traffic=_traffic_status(view),
        suspended=round(view.runtime.suspended_seconds, 3),
        refused_requests=_refused_request_statuses(view, now),
        confirmation_ages=_confirmation_ages(now, replication.freshness),
        answer_ages=_confirmation_ages(now, replication.freshness.answers),
        items_passed_over=replication.skipped_items.current_count,
        items_found_wrong=replication.skipped_items.total_count,
        source_era=replication.era,
        machines_kept=replication.machine_list.overrides.kept_count,
        newest_heard=stages.newest_reported,
        behind_for=_seconds_since(now, stages.behind_since),
        stages=_stage_statuses(now, stages.recent()),
        reads=_read_statuses(view, now),
        source_answer_seconds=_source_answer_seconds(view),
    )


def members_of(view: NodeView) -> tuple[MemberView, ...]:
    """Return the peers that the node knows, by name."""
    now = clock.now()
    members = view.core.membership.table.all_members()
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


def _count_peers_by_status(view: NodeView) -> dict[str, int]:
    members = view.core.membership.table.all_members()
    return dict(Counter(member.status.name.lower() for member in members))


def _confirmation_ages(now: float, times: SourceFreshness) -> dict[str, float]:
    ages = {kind.name.lower(): times.age(now, kind) for kind in DocumentKind}
    return {name: round(age, 3) for name, age in ages.items() if math.isfinite(age)}


def _is_reading(view: NodeView) -> bool:
    return view.core.replication.reader.reading or view.core.phase is NodePhase.JOINING


def _source_answer_seconds(view: NodeView) -> float | None:
    mean = view.core.replication.reader.answer_times.mean_seconds
    return None if mean is None or not _is_reading(view) else round(mean, 3)


def _read_statuses(view: NodeView, now: float) -> dict[str, ReadStatus]:
    """Return the state of reads; failures of a node that no longer reads are omitted."""
    logs = view.core.replication.reader.open_reads if _is_reading(view) else {}
    return {kind.name.lower(): _read_status(now, log) for kind, log in logs.items()}


def _last_rejection(view: NodeView, now: float) -> RejectionStatus | None:
    replication = view.core.replication
    status, since = (
        _rejection_status(replication.replica.last_rejection),
        replication.rejections.since,
    )
    if status is None or since is None:
        return status
    unix_since = round(clock.unix_time() - (now - since), 3)
    return msgspec.structs.replace(status, since=unix_since)


def _refused_request_statuses(view: NodeView, now: float) -> tuple[RefusedRequestStatus, ...]:
    ledger = view.core.crashes.ledger
    refused = [item for item in ledger if item.crash_count >= DEFAULT_CRASH_LIMIT]
    return tuple(
        RefusedRequestStatus(
            item.fingerprint.hex(),
            item.crash_count,
            round(now - min(item.crashes.values()), 3),
            round(now - item.last_crash_at, 3),
        )
        for item in sorted(refused, key=lambda item: item.last_crash_at, reverse=True)
    )


def _traffic_status(view: NodeView) -> TrafficStatus:
    return TrafficStatus(
        control=_byte_status(view, Purpose.CONTROL),
        configuration=_byte_status(view, Purpose.CONFIGURATION),
        machine_list=_byte_status(view, Purpose.MACHINE_LIST),
        refused=dict(view.traffic.refused),
        unsent=dict(view.traffic.unsent),
        failed=dict(view.runtime.failed_messages),
        by_accepted_keys=view.transport.frames_by_accepted_keys,
    )


def _byte_status(view: NodeView, purpose: Purpose) -> ByteStatus:
    return ByteStatus(
        view.traffic.bytes_for(Direction.SENT, purpose),
        view.traffic.bytes_for(Direction.RECEIVED, purpose),
    )


def _revision_status(revision: RevisionId) -> RevisionStatus:
    return RevisionStatus(revision.number, revision.digest.hex())


def _seconds_since(now: float, answered_at: float | None) -> float | None:
    return None if answered_at is None else round(now - answered_at, 3)


def _stage_statuses(now: float, recent: tuple[RevisionStages, ...]) -> tuple[StagesStatus, ...]:
    offset = clock.unix_time() - now
    return tuple(
        StagesStatus(
            item.number,
            item.channel.value,
            round(item.reached_at[Stage.REPORTED] + offset, 3),
            _to_unix_time(offset, item.reached_at.get(Stage.HELD)),
            _to_unix_time(offset, item.reached_at.get(Stage.COMMITTED)),
            _to_unix_time(offset, item.reached_at.get(Stage.IN_FORCE)),
        )
        for item in recent
    )


def _to_unix_time(offset: float, moment: float | None) -> float | None:
    return None if moment is None else round(moment + offset, 3)


def _read_status(now: float, reads: OpenReads) -> ReadStatus:
    failure = reads.last_failure.value if reads.last_failure is not None else ""
    oldest = reads.oldest
    if oldest is None:
        return ReadStatus(failures=reads.failure_count, failure=failure)
    open_for = _seconds_since(now, oldest.opened_at)
    return ReadStatus(open_for, oldest.effect.wait, reads.failure_count, failure, len(reads))


def _rejection_status(rejection: Rejection | None) -> RejectionStatus | None:
    if rejection is None:
        return None
    findings = tuple(_finding_status(finding) for finding in rejection.findings)
    return RejectionStatus(_revision_status(rejection.revision), findings)


def _finding_status(finding: Finding) -> FindingStatus:
    return FindingStatus(finding.code.label, finding.dotted_path, finding.message)
