"""A scale run with measured phases: formation, idle, edits, churn and storm."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from pewtertack.core.delta import Delta, compare
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.membership.gossip import GossipQueue
from pewtertack.core.profile import PROFILES
from pewtertack.core.revision import Document, revision_id_of
from pewtertack.lab.scale.memory import check_memory, resident_bytes
from pewtertack.lab.scale.meter import MeasuredEdit, PhaseMeter
from pewtertack.lab.scale.observer import Observer
from pewtertack.lab.scale.report import PhaseReport, PollingBaseline, ScaleReport
from pewtertack.lab.simulation.codec import ProcessCodec, bytes_on_link
from pewtertack.lab.simulation.documents import fleet_tree
from pewtertack.lab.simulation.fleet import FleetSettings, SimulatedFleet
from pewtertack.wire.messages import DeltaAnswer, DocumentKind, Message, SnapshotAnswer

FORMATION_SECONDS = 60.0
FORMATION_STEP_SECONDS = 2.0
SETTLE_SECONDS = 10.0
"""Pause between formation and idle, until the first machine list has reached all nodes."""
IDLE_SECONDS = 20.0
EDIT_INTERVAL_SECONDS = 4.0
CHURN_SECONDS = 40.0
CHURN_SHARE = 127 / 1700
"""Fraction of machines that fail or are replaced per day; one churn phase covers a day."""
CHURN_RESTART_SECONDS = 5.0
STORM_SECONDS = 30.0
STORM_SHARE = 0.2
STORM_RESTART_RANGE_SECONDS = (1.0, 3.0)
"""Range of the random delay until the replacement of a killed node starts."""
POLLING_INTERVALS_SECONDS = (2.0, 12.0)
MACHINE_LIST_INTERVAL_SECONDS = 5.0
"""Interval at which the platform publishes machine lists; every node reads each new one."""
PROGRESS_INTERVAL_SECONDS = 1.0
GC_THRESHOLD_ALLOCATIONS = 200_000
"""Allocations between garbage collections; a full collection of a large fleet takes seconds."""

ProgressHandler = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class ScaleSettings:
    """Size of the fleet, number of edits, seed and profile of a run."""

    nodes: int
    zones: int = 5
    regions: int = 2
    services: int = 240
    edits: int = 4
    seed: int = 1
    profile: str = "fast"


class ScaleRun:
    """Runs all phases in succession on one fleet."""

    def __init__(self, settings: ScaleSettings, progress: ProgressHandler) -> None:
        self._settings = settings
        self._progress = progress
        self._random = Random(settings.seed)
        self._document: Document = fleet_tree(settings.services)
        self._observer = Observer()
        fleet_settings = FleetSettings(
            nodes=settings.nodes,
            zones=settings.zones,
            regions=settings.regions,
            profile=PROFILES[settings.profile],
            seed=settings.seed,
            list_interval=MACHINE_LIST_INTERVAL_SECONDS,
            frames=True,
        )
        self._fleet = SimulatedFleet(fleet_settings, self._document, self._observer)
        self._observer.scheduler = self._fleet.scheduler
        self._edit_count = 1
        self._peak_bytes = 0
        self._snapshot_bytes = frame_bytes(
            SnapshotAnswer(
                DocumentKind.CONFIGURATION, revision_id_of(1, self._document), dict(self._document)
            )
        )

    def run(self) -> ScaleReport:
        """Run all phases and return the report.

        Raises:
            MemoryLimitError: the process uses half of the machine's memory.
        """
        started_at = time.monotonic()
        bytes_before = resident_bytes()
        gc.collect()
        gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)
        phases = [self._run_formation()]
        bytes_per_node = (check_memory() - bytes_before) // self._settings.nodes
        gc.freeze()
        self._advance(SETTLE_SECONDS, "settling")
        self._complete_membership()
        phases += [self._run_idle(), self._run_edits(), self._run_churn(), self._run_storm()]
        gc.unfreeze()
        return ScaleReport(
            nodes=self._settings.nodes,
            zones=self._settings.zones,
            regions=self._settings.regions,
            services=self._settings.services,
            seed=self._settings.seed,
            profile=self._settings.profile,
            real_seconds=round(time.monotonic() - started_at, 1),
            memory_bytes_per_node=bytes_per_node,
            peak_memory_bytes=self._peak_bytes,
            delta_bytes=frame_bytes(DeltaAnswer(DocumentKind.CONFIGURATION, (self._next_delta(),))),
            snapshot_bytes=self._snapshot_bytes,
            phases=phases,
            baselines=[self._polling_baseline(interval) for interval in POLLING_INTERVALS_SECONDS],
        )

    # Phases.

    def _run_formation(self) -> PhaseReport:
        meter = self._meter("formation")
        self._fleet.start_all()
        meter.record_start(self._fleet.names)
        while self._fleet.now < FORMATION_SECONDS and not self._all_serving():
            self._advance(FORMATION_STEP_SECONDS, "formation")
        return meter.end()

    def _run_idle(self) -> PhaseReport:
        meter = self._meter("idle")
        self._advance(IDLE_SECONDS, "idle")
        return meter.end()

    def _run_edits(self) -> PhaseReport:
        meter = self._meter("edits")
        for _ in range(self._settings.edits):
            self._make_edit(meter)
            self._advance(EDIT_INTERVAL_SECONDS, "edits")
        return meter.end()

    def _run_churn(self) -> PhaseReport:
        meter = self._meter("churn")
        count = max(1, round(CHURN_SHARE * self._settings.nodes))
        for index, name in enumerate(self._random.sample(self._fleet.names, count)):
            delay = index * (CHURN_SECONDS - 2 * CHURN_RESTART_SECONDS) / count
            kill_and_restart = partial(self._kill_and_restart, [name], meter, CHURN_RESTART_SECONDS)
            self._fleet.scheduler.after(delay, kill_and_restart)
        self._advance(CHURN_SECONDS / 2, "churn")
        self._make_edit(meter)
        self._advance(CHURN_SECONDS / 2, "churn")
        return meter.end()

    def _run_storm(self) -> PhaseReport:
        meter = self._meter("storm")
        count = round(STORM_SHARE * self._settings.nodes)
        for name in self._random.sample(self._fleet.names, count):
            self._kill_and_restart(
                [name], meter, self._random.uniform(*STORM_RESTART_RANGE_SECONDS)
            )
        self._advance(STORM_RESTART_RANGE_SECONDS[0], "storm")
        self._make_edit(meter)
        self._advance(STORM_SECONDS - STORM_RESTART_RANGE_SECONDS[0], "storm")
        return meter.end()

    # Steps of phases.

    def _complete_membership(self) -> None:
        """Make every node know all members, as it would many minutes after formation."""
        processes = list(self._fleet.processes.values())
        updates = [process.core.membership.own_update for process in processes]
        for process in processes:
            membership = process.core.membership
            for update in updates:
                if update.name != process.identity.name:
                    membership.table.merge(update, self._fleet.now)
            membership.gossip = GossipQueue()

    def _meter(self, name: str) -> PhaseMeter:
        meter = PhaseMeter(name, self._fleet, self._observer, self._snapshot_bytes)
        meter.begin()
        return meter

    def _all_serving(self) -> bool:
        return all(process.serving for process in self._fleet.processes.values())

    def _advance(self, seconds: float, phase: str) -> None:
        end_time = self._fleet.now + seconds
        while self._fleet.now < end_time:
            self._fleet.run(min(PROGRESS_INTERVAL_SECONDS, end_time - self._fleet.now))
            used_bytes = check_memory()
            self._peak_bytes = max(self._peak_bytes, used_bytes)
            self._progress(f"{phase}: {self._fleet.now:.0f} s, {used_bytes >> 20} MB")

    def _kill_and_restart(self, names: list[str], meter: PhaseMeter, restart_delay: float) -> None:
        meter.record_kill(names)
        self._fleet.kill(names)
        self._fleet.scheduler.after(restart_delay, lambda: self._start_nodes(names, meter))

    def _start_nodes(self, names: list[str], meter: PhaseMeter) -> None:
        self._fleet.start(names)
        meter.record_start(names)

    def _make_edit(self, meter: PhaseMeter) -> None:
        self._edit_count += 1
        document = self._next_document()
        delta_bytes = frame_bytes(DeltaAnswer(DocumentKind.CONFIGURATION, (self._next_delta(),)))
        self._document = document
        revision = self._fleet.edit(document, valid=True)
        meter.edits.append(MeasuredEdit(revision, self._fleet.now, delta_bytes))

    def _next_document(self) -> Document:
        """Return the tree with a changed default and a changed setting of one route."""
        tree = dict(self._document)
        tree["route_defaults"] = {"timeout": f"{self._edit_count + 1}s"}
        names = sorted(tree["routes"])
        name = names[self._edit_count % len(names)]
        tree["routes"] = {**tree["routes"], name: {**tree["routes"][name], "queue_limit": 10}}
        return tree

    def _next_delta(self) -> Delta:
        old, new = self._document, self._next_document()
        return Delta(revision_id_of(1, old), revision_id_of(2, new), compare(old, new))

    def _polling_baseline(self, interval: float) -> PollingBaseline:
        return PollingBaseline(
            interval=interval,
            snapshot_bytes=self._snapshot_bytes,
            bytes_per_second=round(self._snapshot_bytes / interval, 1),
            reads_per_second=round(self._settings.nodes / interval, 1),
            convergence_max=interval,
        )


def frame_bytes(message: Message) -> int:
    """Return the size of ``message`` on a link, in bytes."""
    identity = NodeIdentity("node-0000", "10.0.0.1:7000", "zone-0", "region-0", 10**12)
    return bytes_on_link(ProcessCodec(identity).encode(message))


def run_scale(settings: ScaleSettings, progress: ProgressHandler = lambda _: None) -> ScaleReport:
    """Run with ``settings``; ``progress`` is called with a line for each virtual second."""
    return ScaleRun(settings, progress).run()
