"""Runs a schedule on a simulated fleet and judges its history."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from pewtertack.core.profile import PROFILES, TimingProfile
from pewtertack.lab.history.checker import CheckGroup, check_history
from pewtertack.lab.history.verdicts import CheckBounds, Judgement, Verdict
from pewtertack.lab.records import HistoryLine
from pewtertack.lab.simulation.documents import broken_tree_for_edit, tree_for_edit
from pewtertack.lab.simulation.fleet import DRAIN_TIME, FleetSettings, SimulatedFleet
from pewtertack.lab.simulation.network import Weather
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

SETTLE_TIME = 6.0
"""Virtual seconds before the first step, for the fleet to form."""

SIMULATION_BOUNDS = CheckBounds(convergence=8.0, recovery=40.0)

RECOVERY_TIME = SIMULATION_BOUNDS.recovery + SIMULATION_BOUNDS.convergence + 1.0
"""Virtual seconds after the last fault, so that every bound passes."""


@dataclass(frozen=True, slots=True)
class RunResult:
    """The history of one run and what the checks say of it."""

    lines: tuple[HistoryLine, ...]
    verdicts: tuple[Verdict, ...]

    @property
    def violations(self) -> tuple[Verdict, ...]:
        """The promises that were broken."""
        return tuple(v for v in self.verdicts if v.judgement is Judgement.VIOLATED)


class ScheduleRun:
    """Applies the steps of one schedule to a fleet."""

    def __init__(self, schedule: Schedule, profile: TimingProfile | None = None) -> None:
        self._schedule = schedule
        settings = FleetSettings(
            nodes=schedule.nodes,
            zones=schedule.zones,
            seed=schedule.seed,
            profile=profile or PROFILES[schedule.profile],
        )
        self._edits = 1
        self._faults_until = 0.0
        self._cuts = 0
        self.fleet = SimulatedFleet(settings, tree_for_edit(self._edits))

    def run(self) -> None:
        """Run the whole schedule and the recovery after it."""
        self.fleet.start_all()
        self.fleet.run(SETTLE_TIME)
        for step in self._schedule.steps:
            self._begin(step)
            self.fleet.run(step.wait)
        self.fleet.run(max(0.0, self._faults_until - self.fleet.now))
        self._edit(EditTree())
        self.fleet.run(RECOVERY_TIME)
        self.fleet.heal()

    def _begin(self, step: AnyStep) -> None:
        match step:
            case KillNodes():
                self._kill(step)
            case PauseNodes(nodes=nodes, seconds=seconds):
                names = self._names(nodes)
                self.fleet.pause(names)
                self._later(seconds, lambda: self.fleet.resume(names))
            case DrainNode():
                names = self._names((step.node,))
                self.fleet.drain(names[0])
                self._later(DRAIN_TIME + step.back_after, lambda: self.fleet.start(names))
            case CutZone():
                self._cut(step)
            case SourceOutage():
                self._fail_source(step)
            case SourceStale():
                self._turn_source_stale(step)
            case DegradeNetwork():
                self._worsen_weather(step)
            case EditTree():
                self._edit(step)

    def _names(self, nodes: tuple[int, ...]) -> list[str]:
        names = self.fleet.names
        return [names[index] for index in sorted({node % len(names) for node in nodes})]

    def _later(self, delay: float, action: Action) -> None:
        """Run ``action`` in ``delay`` seconds; the run lasts at least until then."""
        self._faults_until = max(self._faults_until, self.fleet.now + delay)
        self.fleet.scheduler.after(delay, action)

    def _kill(self, step: KillNodes) -> None:
        """Kill at most a minority of the fleet, counting those already gone."""
        alive_needed = len(self.fleet.names) // 2 + 1
        spare = max(0, len(self.fleet.processes) - alive_needed)
        names = [name for name in self._names(step.nodes) if name in self.fleet.processes]
        herd = names[:spare]
        self.fleet.kill(herd)
        self._later(step.back_after, lambda: self.fleet.start(herd))

    def _cut(self, step: CutZone) -> None:
        zones = [self.fleet.settings.zone_of(zone) for zone in range(self._schedule.zones)]
        own = zones[step.zone % len(zones)]
        for other in zones:
            if other != own and step.direction is not Direction.IN:
                self.fleet.cut(own, other)
            if other != own and step.direction is not Direction.OUT:
                self.fleet.cut(other, own)
        self._cuts += 1
        self._later(step.seconds, self._end_cut)

    def _end_cut(self) -> None:
        """Heal once the last of the cuts that overlap is over."""
        self._cuts -= 1
        if self._cuts == 0:
            self.fleet.heal()

    def _fail_source(self, step: SourceOutage) -> None:
        self.fleet.record_source_fault("outage")
        self.fleet.source.fail()
        if step.machine_list:
            self.fleet.machine_list.fail()
        self._later(step.seconds, self._recover_source)

    def _turn_source_stale(self, step: SourceStale) -> None:
        self.fleet.record_source_fault("stale")
        if step.share < 1.0:
            self.fleet.source.older_share = step.share
        else:
            newest = self.fleet.source.versions[-1].number
            self.fleet.source.turn_stale(max(1, newest - step.versions))
        self._later(step.seconds, self._recover_source)

    def _recover_source(self) -> None:
        self.fleet.source.recover()
        self.fleet.machine_list.recover()
        self.fleet.record_source_fault("none")

    def _worsen_weather(self, step: DegradeNetwork) -> None:
        self.fleet.network.weather = Weather(step.loss, step.duplication, step.reordering)
        self._later(step.seconds, self._clear_weather)

    def _clear_weather(self) -> None:
        self.fleet.network.weather = Weather()

    def _edit(self, step: EditTree) -> None:
        for _ in range(step.count):
            self._edits += 1
            build = tree_for_edit if step.valid else broken_tree_for_edit
            number = self.fleet.edit(build(self._edits), step.valid)
            if step.forked:
                self._edits += 1
                self.fleet.fork(number, tree_for_edit(self._edits))


def run_schedule(
    schedule: Schedule,
    profile: TimingProfile | None = None,
    bounds: CheckBounds = SIMULATION_BOUNDS,
) -> RunResult:
    """Run ``schedule``; ``profile`` replaces the one that it names."""
    run = ScheduleRun(schedule, profile)
    run.run()
    verdicts = check_history(run.fleet.lines, bounds, CheckGroup.CONFIGURATION)
    return RunResult(tuple(run.fleet.lines), tuple(verdicts))


def without_mechanism(profile: TimingProfile, mechanism: str) -> TimingProfile:
    """Return ``profile`` with one mechanism switched off, for proofs."""
    return msgspec.structs.replace(
        profile, mechanisms=msgspec.structs.replace(profile.mechanisms, **{mechanism: False})
    )
