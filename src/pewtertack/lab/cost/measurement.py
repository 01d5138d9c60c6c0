"""Measures nodes of a small fleet of real processes, at rest and under calls."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

import anyio

from pewtertack.lab.cost.report import NodeCostReport, State, Window, cost_of
from pewtertack.lab.cost.sampling import ProcessSample, processor_share, sample_process
from pewtertack.lab.fleet.fleet import Fleet
from pewtertack.lab.fleet.history import HistoryRecorder
from pewtertack.lab.fleet.plan import FleetShape, plan_fleet
from pewtertack.lab.records import CallOutcome, CallResult
from pewtertack.lab.report.traffic import sample_traffic, traffic_between

SETTLING_SECONDS = 1.0
"""Between the start of the load and the measurement, and after the load."""
MILLISECONDS = 1000

ProgressHandler = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class NodeCostSettings:
    """Sizes of a measurement. Times in seconds, ``rate`` in calls per second."""

    rate: float = 45.0
    rounds: int = 3
    window_seconds: float = 15.0
    """Length of one window."""
    warm_up_seconds: float = 8.0
    seed: int = 1


async def measure_node_cost(
    shape: FleetShape, settings: NodeCostSettings, progress: ProgressHandler
) -> NodeCostReport:
    """Run a fleet without relay and measure two of its nodes.

    Raises:
        LabError: a process failed or did not get ready in time.
    """
    names = sorted(plan_fleet(shape).nodes)
    replica, whole = names[0], names[1]
    plan = plan_fleet(replace(shape, has_relay=False, nodes_without_proxy=(replica,)))
    with (
        tempfile.TemporaryDirectory(prefix="pewtertack-cost-") as directory,
        HistoryRecorder(Path(directory) / "history.jsonl") as recorder,
    ):
        async with Fleet(plan, Path(directory), recorder) as fleet:
            await fleet.start_nodes()
            await fleet.wait_serving()
            await fleet.wait_in_force(1)
            return await _Measurement(fleet, settings, replica, whole, progress).run()


@dataclass(slots=True)
class _Measurement:
    """Measures a running fleet: at rest and under calls in turn."""

    fleet: Fleet
    settings: NodeCostSettings
    replica: str
    whole: str
    progress: ProgressHandler

    async def run(self) -> NodeCostReport:
        """Warm up, then measure all rounds."""
        await self._under_calls("warm-up", self.settings.warm_up_seconds)
        windows: list[Window] = []
        control_bytes: list[float] = []
        for number in range(1, self.settings.rounds + 1):
            rest, control = await self._at_rest()
            loaded = await self._under_calls(f"round-{number}", self.settings.window_seconds)
            windows += [*rest, loaded]
            control_bytes.append(control)
            shares = ", ".join(f"{window.processor_share:.2%}" for window in windows[-3:])
            self.progress(f"round {number} of {self.settings.rounds}: {shares} of a core")
        return self._report(windows, control_bytes)

    async def _at_rest(self) -> tuple[list[Window], float]:
        """Return a window of either node and the control bytes per node and second."""
        first_traffic = await sample_traffic(self.fleet)
        await anyio.sleep(SETTLING_SECONDS)
        first = {name: self._sample(name) for name in (self.replica, self.whole)}
        await anyio.sleep(self.settings.window_seconds)
        windows = [
            _window(State.REPLICA, first[self.replica], self._sample(self.replica), []),
            _window(State.REST, first[self.whole], self._sample(self.whole), []),
        ]
        traffic = traffic_between(first_traffic, await sample_traffic(self.fleet))
        return windows, traffic.control

    async def _under_calls(self, name: str, seconds: float) -> Window:
        """Return a window of the whole node; calls go to it alone."""
        load = await self.fleet.start_load(
            name, self.settings.rate, self.settings.seed, [self.whole]
        )
        await anyio.sleep(SETTLING_SECONDS)
        began = len(self.fleet.recorder.lines)
        first = self._sample(self.whole)
        await anyio.sleep(seconds)
        last = self._sample(self.whole)
        lines = self.fleet.recorder.lines[began:]
        await self.fleet.stop_load(load)
        await anyio.sleep(SETTLING_SECONDS)
        return _window(
            State.LOADED, first, last, [line for line in lines if isinstance(line, CallResult)]
        )

    def _sample(self, node: str) -> ProcessSample:
        return sample_process(self.fleet.node_pid(node))

    def _report(self, windows: list[Window], control_bytes: list[float]) -> NodeCostReport:
        shape = self.fleet.plan.shape
        replica, rest, loaded = (cost_of(state, windows) for state in State)
        request_work = loaded.processor_share.median - rest.processor_share.median
        under_calls = [window for window in windows if window.state is State.LOADED]
        rate = sum(window.calls for window in under_calls) / sum(
            window.seconds for window in under_calls
        )
        return NodeCostReport(
            seed=self.settings.seed,
            deployment=shape.region,
            profile=shape.profile,
            nodes=len(self.fleet.plan.nodes),
            rate=self.settings.rate,
            windows=tuple(windows),
            states=(replica, rest, loaded),
            control_work=rest.processor_share.median,
            request_work=request_work,
            processor_per_call=request_work / max(rate, 1e-9) * MILLISECONDS,
            proxy_memory=rest.resident.median - replica.resident.median,
            control_bytes=sum(control_bytes) / len(control_bytes),
        )


def _window(
    state: State, first: ProcessSample, last: ProcessSample, told: list[CallResult]
) -> Window:
    answered = sum(line.outcome is CallOutcome.ANSWERED for line in told)
    return Window(
        state=state,
        seconds=round(last.time - first.time, 3),
        processor_share=processor_share(first, last),
        resident=last.memory.resident,
        private=last.memory.private,
        calls=answered,
        failed_calls=len(told) - answered,
    )
