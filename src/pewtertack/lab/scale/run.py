"""A scale run: formation, idle, edits, churn and a storm, each measured."""

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
from pewtertack.lab.scale.meter import EditMade, PhaseMeter
from pewtertack.lab.scale.observer import Observer
from pewtertack.lab.scale.report import PhaseReport, PollingBaseline, ScaleReport
from pewtertack.lab.simulation.codec import ProcessCodec, bytes_on_link
from pewtertack.lab.simulation.documents import fleet_tree
from pewtertack.lab.simulation.fleet import FleetSettings, SimulatedFleet
from pewtertack.wire.messages import DeltaAnswer, DocumentKind, Message, SnapshotAnswer

FORMATION_SECONDS = 60.0
FORMATION_STEP = 2.0
SETTLE_SECONDS = 10.0
"""Between formation and idle, for the first machine list to arrive everywhere."""
IDLE_SECONDS = 20.0
EDIT_INTERVAL = 4.0
CHURN_SECONDS = 40.0
CHURN_SHARE = 127 / 1700
"""Machines that fail or are replaced on one day; the phase packs them all together."""
CHURN_BACK_AFTER = 5.0
STORM_SECONDS = 30.0
STORM_SHARE = 0.2
STORM_BACK_AFTER = (1.0, 3.0)
"""Range from which the time until a replacement starts is drawn."""
POLLING_INTERVALS = (2.0, 12.0)
LIST_INTERVAL = 5.0
"""How often the platform makes a new machine list; each costs every node a rereading."""
PROGRESS_SECONDS = 1.0
GARBAGE_THRESHOLD = 200_000
"""Allocations between collections: a full collection of a large fleet takes seconds."""

Progress = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class ScaleSettings:
    """Size and shape of a run."""

    nodes: int
    zones: int = 5
    regions: int = 2
    services: int = 240
    edits: int = 4
    seed: int = 1
    profile: str = "fast"


class ScaleRun:
    """Runs the phases one after the other on one fleet."""

    def __init__(self, settings: ScaleSettings, progress: Progress) -> None:
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
            list_interval=LIST_INTERVAL,
            frames=True,
        )
        self._fleet = SimulatedFleet(fleet_settings, self._document, self._observer)
        self._observer.scheduler = self._fleet.scheduler
        self._edits = 1
        self._peak = 0
        self._snapshot_bytes = frame_bytes(
            SnapshotAnswer(
                DocumentKind.CONFIGURATION, revision_id_of(1, self._document), dict(self._document)
            )
        )

    def run(self) -> ScaleReport:
        """Run everything and return the report.

        Raises:
            MemoryLimitError: the fleet would take half of the machine's memory.
        """
        began = time.monotonic()
        before = resident_bytes()
        gc.collect()
        gc.set_threshold(GARBAGE_THRESHOLD)
        phases = [self._formation()]
        memory = (check_memory() - before) // self._settings.nodes
        gc.freeze()
        self._pass_time(SETTLE_SECONDS, "settling")
        self._complete_views()
        phases += [self._idle(), self._edit_phase(), self._churn(), self._storm()]
        gc.unfreeze()
        return ScaleReport(
            nodes=self._settings.nodes,
            zones=self._settings.zones,
            regions=self._settings.regions,
            services=self._settings.services,
            seed=self._settings.seed,
            profile=self._settings.profile,
            real_seconds=round(time.monotonic() - began, 1),
            memory_bytes_per_node=memory,
            peak_memory_bytes=self._peak,
            delta_bytes=frame_bytes(DeltaAnswer(DocumentKind.CONFIGURATION, (self._delta(),))),
            snapshot_bytes=self._snapshot_bytes,
            phases=phases,
            baselines=[self._baseline(interval) for interval in POLLING_INTERVALS],
        )

    # Phases.

    def _formation(self) -> PhaseReport:
        meter = self._meter("formation")
        self._fleet.start_all()
        meter.note_start(self._fleet.names)
        while self._fleet.now < FORMATION_SECONDS and not self._all_serve():
            self._pass_time(FORMATION_STEP, "formation")
        return meter.end()

    def _idle(self) -> PhaseReport:
        meter = self._meter("idle")
        self._pass_time(IDLE_SECONDS, "idle")
        return meter.end()

    def _edit_phase(self) -> PhaseReport:
        meter = self._meter("edits")
        for _ in range(self._settings.edits):
            self._edit(meter)
            self._pass_time(EDIT_INTERVAL, "edits")
        return meter.end()

    def _churn(self) -> PhaseReport:
        meter = self._meter("churn")
        count = max(1, round(CHURN_SHARE * self._settings.nodes))
        for index, name in enumerate(self._random.sample(self._fleet.names, count)):
            delay = index * (CHURN_SECONDS - 2 * CHURN_BACK_AFTER) / count
            replace = partial(self._replace, [name], meter, CHURN_BACK_AFTER)
            self._fleet.scheduler.after(delay, replace)
        self._pass_time(CHURN_SECONDS / 2, "churn")
        self._edit(meter)
        self._pass_time(CHURN_SECONDS / 2, "churn")
        return meter.end()

    def _storm(self) -> PhaseReport:
        meter = self._meter("storm")
        count = round(STORM_SHARE * self._settings.nodes)
        for name in self._random.sample(self._fleet.names, count):
            self._replace([name], meter, self._random.uniform(*STORM_BACK_AFTER))
        self._pass_time(STORM_BACK_AFTER[0], "storm")
        self._edit(meter)
        self._pass_time(STORM_SECONDS - STORM_BACK_AFTER[0], "storm")
        return meter.end()

    # Parts of phases.

    def _complete_views(self) -> None:
        """Let all know all, as they would many minutes after a large fleet's formation."""
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

    def _all_serve(self) -> bool:
        return all(process.serving for process in self._fleet.processes.values())

    def _pass_time(self, seconds: float, phase: str) -> None:
        end = self._fleet.now + seconds
        while self._fleet.now < end:
            self._fleet.run(min(PROGRESS_SECONDS, end - self._fleet.now))
            used = check_memory()
            self._peak = max(self._peak, used)
            self._progress(f"{phase}: {self._fleet.now:.0f} s, {used >> 20} MB")

    def _replace(self, names: list[str], meter: PhaseMeter, back_after: float) -> None:
        meter.note_kill(names)
        self._fleet.kill(names)
        self._fleet.scheduler.after(back_after, lambda: self._start(names, meter))

    def _start(self, names: list[str], meter: PhaseMeter) -> None:
        self._fleet.start(names)
        meter.note_start(names)

    def _edit(self, meter: PhaseMeter) -> None:
        self._edits += 1
        edited = self._edited()
        size = frame_bytes(DeltaAnswer(DocumentKind.CONFIGURATION, (self._delta(),)))
        self._document = edited
        revision = self._fleet.edit(edited, valid=True)
        meter.edits.append(EditMade(revision, self._fleet.now, size))

    def _edited(self) -> Document:
        """Return the tree with another default and another setting of one route."""
        tree = dict(self._document)
        tree["route_defaults"] = {"timeout": f"{self._edits + 1}s"}
        names = sorted(tree["routes"])
        name = names[self._edits % len(names)]
        tree["routes"] = {**tree["routes"], name: {**tree["routes"][name], "queue_limit": 10}}
        return tree

    def _delta(self) -> Delta:
        old, new = self._document, self._edited()
        return Delta(revision_id_of(1, old), revision_id_of(2, new), compare(old, new))

    def _baseline(self, interval: float) -> PollingBaseline:
        return PollingBaseline(
            interval=interval,
            snapshot_bytes=self._snapshot_bytes,
            bytes_per_second=round(self._snapshot_bytes / interval, 1),
            reads_per_second=round(self._settings.nodes / interval, 1),
            convergence_max=interval,
        )


def frame_bytes(message: Message) -> int:
    """Return the bytes that ``message`` takes on a link."""
    identity = NodeIdentity("node-0000", "10.0.0.1:7000", "zone-0", "region-0", 10**12)
    return bytes_on_link(ProcessCodec(identity).encode(message))


def run_scale(settings: ScaleSettings, progress: Progress = lambda _: None) -> ScaleReport:
    """Run at the size of ``settings``; ``progress`` gets a line for each virtual second."""
    return ScaleRun(settings, progress).run()
