"""Runs a schedule on a simulated fleet and checks the history for violated guarantees."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from pewtertack.core.profile import PROFILES, TimingProfile
from pewtertack.lab.history.checker import CheckGroup, check_history
from pewtertack.lab.history.verdicts import CheckBounds, Judgement, Verdict
from pewtertack.lab.records import HistoryLine
from pewtertack.lab.simulation.documents import invalid_tree_for_edit, tree_for_edit
from pewtertack.lab.simulation.fleet import DRAIN_SECONDS, FleetSettings, SimulatedFleet
from pewtertack.lab.simulation.network import NetworkImpairments
from pewtertack.lab.simulation.scheduler import Action
from pewtertack.lab.simulation.schedules import (
    AnyStep,
    CutZone,
    DegradeNetwork,
    Direction,
    DrainNode,
    EditTree,
    KillNodes,
    PauseNodes,
    Schedule,
    SourceOutage,
    SourceStale,
)

SETTLE_SECONDS = 6.0
"""Virtual seconds before the first step, in which the fleet forms."""

SIMULATION_BOUNDS = CheckBounds(convergence=8.0, recovery=40.0)

RECOVERY_SECONDS = SIMULATION_BOUNDS.recovery + SIMULATION_BOUNDS.convergence + 1.0
"""Virtual seconds after the last fault, long enough for every bound to elapse."""


@dataclass(frozen=True, slots=True)
class RunResult:
    """The history of one run and the verdicts of the checks on it."""

    history: tuple[HistoryLine, ...]
    verdicts: tuple[Verdict, ...]

    @property
    def violations(self) -> tuple[Verdict, ...]:
        """The verdicts on guarantees that were violated."""
        return tuple(
            verdict for verdict in self.verdicts if verdict.judgement is Judgement.VIOLATED
        )


class ScheduleRun:
    """Applies the steps of one schedule to a fleet, and ends each fault when it is due."""

    def __init__(self, schedule: Schedule, profile: TimingProfile | None = None) -> None:
        self._schedule = schedule
        settings = FleetSettings(
            nodes=schedule.nodes,
            zones=schedule.zones,
            seed=schedule.seed,
            profile=profile or PROFILES[schedule.profile],
        )
        self._edit_count = 1
        self._last_fault_end = 0.0
        self._active_cuts = 0
        self.fleet = SimulatedFleet(settings, tree_for_edit(self._edit_count))

    def run(self) -> None:
        """Run all steps and wait for the last fault to end; then edit and let the fleet recover."""
        self.fleet.start_all()
        self.fleet.run(SETTLE_SECONDS)
        for step in self._schedule.steps:
            self._apply_step(step)
            self.fleet.run(step.wait)
        self.fleet.run(max(0.0, self._last_fault_end - self.fleet.now))
        self._edit(EditTree())
        self.fleet.run(RECOVERY_SECONDS)
        self.fleet.heal()

    def _apply_step(self, step: AnyStep) -> None:
        match step:
            case KillNodes():
                self._kill_nodes(step)
            case PauseNodes(nodes=nodes, seconds=seconds):
                names = self._node_names(nodes)
                self.fleet.pause(names)
                self._schedule_end(seconds, lambda: self.fleet.resume(names))
            case DrainNode():
                names = self._node_names((step.node,))
                self.fleet.drain(names[0])
                self._schedule_end(DRAIN_SECONDS + step.back_after, lambda: self.fleet.start(names))
            case CutZone():
                self._cut_zone(step)
            case SourceOutage():
                self._fail_source(step)
            case SourceStale():
                self._make_source_stale(step)
            case DegradeNetwork():
                self._impair_network(step)
            case EditTree():
                self._edit(step)

    def _node_names(self, nodes: tuple[int, ...]) -> list[str]:
        names = self.fleet.names
        return [names[index] for index in sorted({node % len(names) for node in nodes})]

    def _schedule_end(self, delay: float, action: Action) -> None:
        """Run ``action``, which ends a fault, in ``delay`` seconds; the run lasts until then."""
        self._last_fault_end = max(self._last_fault_end, self.fleet.now + delay)
        self.fleet.scheduler.after(delay, action)

    def _kill_nodes(self, step: KillNodes) -> None:
        """Kill nodes, but keep a majority of the fleet alive; nodes that are down count as dead."""
        alive_needed = len(self.fleet.names) // 2 + 1
        allowed = max(0, len(self.fleet.processes) - alive_needed)
        names = [name for name in self._node_names(step.nodes) if name in self.fleet.processes]
        victims = names[:allowed]
        self.fleet.kill(victims)
        self._schedule_end(step.back_after, lambda: self.fleet.start(victims))

    def _cut_zone(self, step: CutZone) -> None:
        zones = [self.fleet.settings.zone_of(zone) for zone in range(self._schedule.zones)]
        cut_zone = zones[step.zone % len(zones)]
        for other_zone in zones:
            if other_zone != cut_zone and step.direction is not Direction.IN:
                self.fleet.cut(cut_zone, other_zone)
            if other_zone != cut_zone and step.direction is not Direction.OUT:
                self.fleet.cut(other_zone, cut_zone)
        self._active_cuts += 1
        self._schedule_end(step.seconds, self._end_cut)

    def _end_cut(self) -> None:
        """Heal the network when the last of several overlapping cuts ends."""
        self._active_cuts -= 1
        if self._active_cuts == 0:
            self.fleet.heal()

    def _fail_source(self, step: SourceOutage) -> None:
        self.fleet.record_source_fault("outage")
        self.fleet.source.fail()
        if step.machine_list:
            self.fleet.machine_list.fail()
        self._schedule_end(step.seconds, self._recover_source)

    def _make_source_stale(self, step: SourceStale) -> None:
        self.fleet.record_source_fault("stale")
        if step.share < 1.0:
            self.fleet.source.previous_version_probability = step.share
        else:
            newest = self.fleet.source.versions[-1].number
            self.fleet.source.hide_versions_above(max(1, newest - step.versions))
        self._schedule_end(step.seconds, self._recover_source)

    def _recover_source(self) -> None:
        self.fleet.source.recover()
        self.fleet.machine_list.recover()
        self.fleet.record_source_fault("none")

    def _impair_network(self, step: DegradeNetwork) -> None:
        self.fleet.network.impairments = NetworkImpairments(
            step.loss, step.duplication, step.reordering
        )
        self._schedule_end(step.seconds, self._end_impairments)

    def _end_impairments(self) -> None:
        self.fleet.network.impairments = NetworkImpairments()

    def _edit(self, step: EditTree) -> None:
        for _ in range(step.count):
            self._edit_count += 1
            build = tree_for_edit if step.valid else invalid_tree_for_edit
            number = self.fleet.edit(build(self._edit_count), step.valid)
            if step.forked:
                self._edit_count += 1
                self.fleet.fork(number, tree_for_edit(self._edit_count))


def run_schedule(
    schedule: Schedule,
    profile: TimingProfile | None = None,
    bounds: CheckBounds = SIMULATION_BOUNDS,
) -> RunResult:
    """Run ``schedule`` and check its history.

    Args:
        schedule: the fleet and the steps.
        profile: replaces the profile that the schedule names.
        bounds: time limits of the checks.
    """
    run = ScheduleRun(schedule, profile)
    run.run()
    verdicts = check_history(run.fleet.history, bounds, CheckGroup.CONFIGURATION)
    return RunResult(tuple(run.fleet.history), tuple(verdicts))


def without_mechanism(profile: TimingProfile, mechanism: str) -> TimingProfile:
    """Return ``profile`` with one mechanism disabled, to prove that the mechanism is needed."""
    return msgspec.structs.replace(
        profile, mechanisms=msgspec.structs.replace(profile.mechanisms, **{mechanism: False})
    )
