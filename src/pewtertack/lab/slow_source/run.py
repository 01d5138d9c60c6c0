"""Runs a series: a slow and failing source, edits, and restarts of nodes, all concurrently."""

from __future__ import annotations

import random
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import anyio
import anyio.abc
import msgspec

from pewtertack.events import Event
from pewtertack.lab.disabled_mechanisms import disable_mechanism
from pewtertack.lab.simulation.virtual_loop import run_in_virtual_time
from pewtertack.lab.slow_source.judging import (
    AcknowledgedEdit,
    EditVerdict,
    SourceDelay,
    check_edits,
)
from pewtertack.lab.slow_source.options import SlowSourceOptions
from pewtertack.lab.store_fleet.fleet import EventHandler, NodeFleet, NodeLogLine, StoreFleet
from pewtertack.lab.store_fleet.series import FleetSeries
from pewtertack.lab.store_fleet.simulated import SimulatedStoreFleet

RESPONSE_SECONDS = (0.004, 4.0)
"""Response times of the source in seconds: of a fast response, and of the slowest."""
FAST_SHARE = 0.2
"""Fraction of the periods in which the source is fast."""
PERIOD_SECONDS = (8.0, 20.0)
"""Range of the length of a period, in seconds; some are longer than a long poll."""
BODY_BYTES_PER_SECOND = 1_000_000.0
"""Transfer rate of response bodies in some of the periods, in bytes per second."""
BODY_RATE_SHARE = 0.3
"""Fraction of the periods in which bodies have a limited transfer rate."""
EDIT_INTERVAL_SECONDS = (0.5, 4.0)
ROUTES_PER_EDIT = (1, 60)
"""Range of the number of routes that an edit adds."""
DISRUPTION_INTERVAL_SECONDS = (4.0, 10.0)
STOP_INTERVAL_SECONDS = (2.0, 6.0)

READER_EVENTS = (Event.READER_STARTED.name, Event.READER_STOPPED.name)
FAILURE_EVENTS = (Event.SOURCE_FAILED.name, Event.MACHINE_LIST_FAILED.name)


class SlowSourceResult(msgspec.Struct, kw_only=True):
    """Result of one series."""

    seed: int
    nodes: int
    seconds: float
    without: str
    edits: int
    slow_spans: int
    """Number of periods with a response time of their own."""
    troubles: dict[str, int]
    """Number of broken responses and watches, by kind."""
    starts: int
    """Number of restarts of nodes."""
    calls: int
    """Number of requests to the store."""
    reader_changes: int
    """Number of times that a node started or stopped reading the source."""
    failed_reads: dict[str, int]
    """Number of failed reads, by reason."""
    judged: int
    """Number of verdicts: edits at nodes that served until the edit was due."""
    slowest: float
    """Longest time in seconds until a checked edit was in force, beyond the response time of the
    source."""
    offences: list[str]
    """A message for each violation."""


class SlowSourceRun(FleetSeries[NodeFleet]):
    """One series on its own fleet.

    Args:
        options: options of the series.
        make_fleet: creates the fleet; its argument is called with each event of the nodes.
    """

    def __init__(
        self, options: SlowSourceOptions, make_fleet: Callable[[EventHandler], NodeFleet]
    ) -> None:
        super().__init__(options.seed, make_fleet)
        self._options = options
        self._delays: list[SourceDelay] = []
        self._edits: list[AcknowledgedEdit] = []
        self._disruptions: Counter[str] = Counter()
        self._failed_reads: Counter[str] = Counter()
        self._reader_changes = 0

    async def run(self) -> SlowSourceResult:
        """Run the series.

        Raises:
            LabError: the fleet could not be started or did not form.
        """
        async with anyio.create_task_group() as tasks:
            try:
                await self._fleet.start(tasks)
                await self._wait_for_formation()
                await self._make_faults(tasks)
                await anyio.sleep(RESPONSE_SECONDS[1] + self._options.bound)
            finally:
                await self._fleet.end()
                tasks.cancel_scope.cancel()
        return self._result()

    async def _make_faults(self, tasks: anyio.abc.TaskGroup) -> None:
        self._faults_end_at = anyio.current_time() + self._options.seconds
        async with anyio.create_task_group() as fault_tasks:
            fault_tasks.start_soon(self._change_delays, self._create_random("slow"))
            fault_tasks.start_soon(self._edit, self._create_random("edit"))
            fault_tasks.start_soon(self._disrupt_reads, self._create_random("trouble"))
            restart_choices = self._create_random("stop")
            fault_tasks.start_soon(
                self._restart_nodes, tasks, restart_choices, STOP_INTERVAL_SECONDS
            )

    # Concurrent tasks that make faults; each ends when the time for faults is over.

    async def _change_delays(self, choices: random.Random) -> None:
        continues = True
        while continues:
            fast = choices.random() < FAST_SHARE
            seconds = RESPONSE_SECONDS[0] if fast else choices.uniform(0.3, RESPONSE_SECONDS[1])
            rate = BODY_BYTES_PER_SECOND if choices.random() < BODY_RATE_SHARE else 0.0
            self._change_faults(delay=seconds, body_rate=rate)
            self._delays.append(SourceDelay(anyio.current_time(), seconds))
            continues = await self._wait_for_next(choices, *PERIOD_SECONDS)

    async def _edit(self, choices: random.Random) -> None:
        while await self._wait_for_next(choices, *EDIT_INTERVAL_SECONDS):
            edited_store = self._fleet.edited_store
            version = edited_store.add_routes(choices.randint(*ROUTES_PER_EDIT))
            rate = self._fleet.store.faults.body_rate
            transfer = edited_store.configuration_bytes / rate if rate else 0.0
            self._edits.append(AcknowledgedEdit(version, anyio.current_time(), transfer))

    async def _disrupt_reads(self, choices: random.Random) -> None:
        """Break single responses and watches; a node gets what it misses from other readers."""
        while await self._wait_for_next(choices, *DISRUPTION_INTERVAL_SECONDS):
            kind = choices.choice(("lost answer", "history gone", "watches cut"))
            self._disruptions[kind] += 1
            if kind == "lost answer":
                self._change_faults(lost_answers=1)
            elif kind == "history gone":
                self._change_faults(gone_watches=1)
            else:
                self._fleet.cut_watches()

    def _change_faults(self, **changes: float) -> None:
        store = self._fleet.store
        store.faults = msgspec.structs.replace(store.faults, **changes)

    def _record_event(self, name: str, line: NodeLogLine) -> None:
        super()._record_event(name, line)
        if line.event in READER_EVENTS:
            self._reader_changes += 1
        elif line.event in FAILURE_EVENTS:
            self._failed_reads[line.reason] += 1

    def _result(self) -> SlowSourceResult:
        options, histories = self._options, list(self._nodes.values())
        ended_at = anyio.current_time()
        verdicts = list(check_edits(self._edits, self._delays, histories, options.bound, ended_at))
        late = [str(item) for item in verdicts if item.is_late]
        reversions = [text for node in histories for text in node.reversions]
        return SlowSourceResult(
            seed=options.seed,
            nodes=options.nodes,
            seconds=options.seconds,
            without=options.without,
            edits=len(self._edits),
            slow_spans=len(self._delays),
            troubles=dict(sorted(self._disruptions.items())),
            starts=self._restarts,
            calls=self._fleet.store.calls,
            reader_changes=self._reader_changes,
            failed_reads=dict(sorted(self._failed_reads.items())),
            judged=len(verdicts),
            slowest=round(max(map(self._seconds_beyond_source, verdicts), default=0.0), 3),
            offences=[*self._violations, *reversions, *late],
        )

    def _seconds_beyond_source(self, verdict: EditVerdict) -> float:
        elapsed_seconds = (
            verdict.elapsed_seconds if verdict.elapsed_seconds is not None else float("inf")
        )
        return elapsed_seconds - (verdict.limit_seconds - self._options.bound)


async def run_slow_source(options: SlowSourceOptions) -> SlowSourceResult:
    """Run one series.

    Raises:
        LabError: the fleet could not be started or did not form.
    """
    with tempfile.TemporaryDirectory(prefix="pewtertack-slow-source-") as name:

        def make_fleet(handle_event: EventHandler) -> NodeFleet:
            return StoreFleet(options.nodes, options.without, Path(name), handle_event)

        return await SlowSourceRun(options, make_fleet).run()


async def _run_simulated(options: SlowSourceOptions) -> SlowSourceResult:
    def make_fleet(handle_event: EventHandler) -> NodeFleet:
        return SimulatedStoreFleet(options.nodes, options.seed, handle_event)

    return await SlowSourceRun(options, make_fleet).run()


def simulate_slow_source(options: SlowSourceOptions) -> SlowSourceResult:
    """Run one series in virtual time.

    Raises:
        LabError: the fleet did not form.
    """
    if options.without:
        disable_mechanism(options.without)
    result: SlowSourceResult = run_in_virtual_time(_run_simulated, options)
    return result
