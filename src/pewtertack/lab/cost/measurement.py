"""Measures nodes of a small fleet of real processes, idle and under load."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

import anyio

from pewtertack.lab.cost.report import MeasuredState, NodeCostReport, Window, state_cost
from pewtertack.lab.cost.sampling import TimedProcessSample, processor_share, sample_process
from pewtertack.lab.fleet.fleet import Fleet
from pewtertack.lab.fleet.history import HistoryRecorder
from pewtertack.lab.fleet.plan import FleetShape, plan_fleet
from pewtertack.lab.records import CallOutcome, CallResult
from pewtertack.lab.report.traffic import sample_traffic, traffic_between

SETTLING_SECONDS = 1.0
"""Pause between the start of the load and the measurement, and after the load."""
MILLISECONDS_PER_SECOND = 1000

ProgressHandler = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class NodeCostSettings:
    """Parameters of a measurement. ``rate`` is in calls per second."""

    rate: float = 45.0
    rounds: int = 3
    window_seconds: float = 15.0
    warm_up_seconds: float = 8.0
    seed: int = 1


async def measure_node_cost(
    shape: FleetShape, settings: NodeCostSettings, progress: ProgressHandler
) -> NodeCostReport:
    """Run a fleet without a relay and measure two of its nodes, one of them without a proxy.

    Raises:
        LabError: a process failed or was not ready in time.
    """
    names = sorted(plan_fleet(shape).nodes)
    replica_node, complete_node = names[0], names[1]
    plan = plan_fleet(replace(shape, has_relay=False, nodes_without_proxy=(replica_node,)))
    with (
        tempfile.TemporaryDirectory(prefix="pewtertack-cost-") as directory,
        HistoryRecorder(Path(directory) / "history.jsonl") as recorder,
    ):
        async with Fleet(plan, Path(directory), recorder) as fleet:
            await fleet.start_nodes()
            await fleet.wait_serving()
            await fleet.wait_in_force(1)
            return await _Measurement(fleet, settings, replica_node, complete_node, progress).run()


@dataclass(slots=True)
class _Measurement:
    """Measures two nodes of a running fleet, idle and under load in turn."""

    fleet: Fleet
    settings: NodeCostSettings
    replica_node: str
    complete_node: str
    progress: ProgressHandler

    async def run(self) -> NodeCostReport:
        """Warm up, then measure all rounds and return the report."""
        await self._measure_loaded("warm-up", self.settings.warm_up_seconds)
        windows: list[Window] = []
        control_rates: list[float] = []
        for number in range(1, self.settings.rounds + 1):
            idle_windows, control_rate = await self._measure_idle()
            loaded = await self._measure_loaded(f"round-{number}", self.settings.window_seconds)
            windows += [*idle_windows, loaded]
            control_rates.append(control_rate)
            shares = ", ".join(f"{window.processor_share:.2%}" for window in windows[-3:])
            self.progress(f"round {number} of {self.settings.rounds}: {shares} of a core")
        return self._report(windows, control_rates)

    async def _measure_idle(self) -> tuple[list[Window], float]:
        """Return one window for each node, and the control bytes per node and second."""
        first_traffic = await sample_traffic(self.fleet)
        await anyio.sleep(SETTLING_SECONDS)
        first_samples = {
            name: self._sample(name) for name in (self.replica_node, self.complete_node)
        }
        await anyio.sleep(self.settings.window_seconds)
        windows = [
            _window(
                MeasuredState.REPLICA_ONLY,
                first_samples[self.replica_node],
                self._sample(self.replica_node),
                [],
            ),
            _window(
                MeasuredState.IDLE,
                first_samples[self.complete_node],
                self._sample(self.complete_node),
                [],
            ),
        ]
        traffic = traffic_between(first_traffic, await sample_traffic(self.fleet))
        return windows, traffic.control

    async def _measure_loaded(self, name: str, seconds: float) -> Window:
        """Return a window of the complete node; only this node receives calls."""
        load = await self.fleet.start_load(
            name, self.settings.rate, self.settings.seed, [self.complete_node]
        )
        await anyio.sleep(SETTLING_SECONDS)
        first_line = len(self.fleet.recorder.lines)
        first = self._sample(self.complete_node)
        await anyio.sleep(seconds)
        last = self._sample(self.complete_node)
        lines = self.fleet.recorder.lines[first_line:]
        await self.fleet.stop_load(load)
        await anyio.sleep(SETTLING_SECONDS)
        return _window(
            MeasuredState.LOADED,
            first,
            last,
            [line for line in lines if isinstance(line, CallResult)],
        )

    def _sample(self, node: str) -> TimedProcessSample:
        return sample_process(self.fleet.node_pid(node))

    def _report(self, windows: list[Window], control_rates: list[float]) -> NodeCostReport:
        shape = self.fleet.plan.shape
        replica, idle, loaded = (state_cost(state, windows) for state in MeasuredState)
        request_work = loaded.processor_share.median - idle.processor_share.median
        loaded_windows = [window for window in windows if window.state is MeasuredState.LOADED]
        rate = sum(window.calls for window in loaded_windows) / sum(
            window.seconds for window in loaded_windows
        )
        return NodeCostReport(
            seed=self.settings.seed,
            deployment=shape.region,
            profile=shape.profile,
            nodes=len(self.fleet.plan.nodes),
            rate=self.settings.rate,
            windows=tuple(windows),
            states=(replica, idle, loaded),
            control_work=idle.processor_share.median,
            request_work=request_work,
            processor_per_call=request_work / max(rate, 1e-9) * MILLISECONDS_PER_SECOND,
            proxy_memory=idle.resident.median - replica.resident.median,
            control_bytes=sum(control_rates) / len(control_rates),
        )


def _window(
    state: MeasuredState,
    first: TimedProcessSample,
    last: TimedProcessSample,
    results: list[CallResult],
) -> Window:
    answered = sum(line.outcome is CallOutcome.ANSWERED for line in results)
    return Window(
        state=state,
        seconds=round(last.time - first.time, 3),
        processor_share=processor_share(first, last),
        resident=last.memory.resident_bytes,
        private=last.memory.private_bytes,
        calls=answered,
        failed_calls=len(results) - answered,
    )
