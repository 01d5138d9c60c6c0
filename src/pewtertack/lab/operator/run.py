"""Random edits and evacuations on a fleet in virtual time, at any revision of the store.

Each acknowledged version must be in force within the bound at every node that serves throughout,
none may be followed by an older one, and the zones that a node takes for evacuated must be those of
the store once the bound has passed since their last change.
"""

from __future__ import annotations

from collections import Counter
from random import Random

import anyio
import anyio.abc
import msgspec

from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.simulation.virtual_loop import run_in_virtual_time
from pewtertack.lab.slow_source.judging import (
    AcknowledgedEdit,
    SourceDelay,
    check_edits,
)
from pewtertack.lab.store_fleet.edited_store import ZONES
from pewtertack.lab.store_fleet.fleet import EventHandler
from pewtertack.lab.store_fleet.series import FleetSeries
from pewtertack.lab.store_fleet.simulated import SimulatedStoreFleet

BOUND_SECONDS = 3.0
"""Seconds after the acknowledgement within which a change must be in force."""
ANSWER_SECONDS = 0.004
"""Response time of the store."""
EDIT_INTERVAL_SECONDS = (0.5, 6.0)
EVACUATION_INTERVAL_SECONDS = (1.0, 12.0)
ENTRY_INTERVAL_SECONDS = (0.05, 0.5)
DISRUPTION_INTERVAL_SECONDS = (4.0, 10.0)
RESTART_INTERVAL_SECONDS = (3.0, 10.0)
ROUTES_PER_EDIT = 3
MIN_NODES = 4
MAX_EVACUATED_ZONES = 2


class OperatorOptions(msgspec.Struct, frozen=True):
    """Options of one run.

    Raises:
        LabUsageError: an option is out of range.
    """

    seconds: float
    """Virtual seconds for which changes are made."""
    seed: int
    nodes: int = MIN_NODES
    first_revision: int = 0
    """The store's revision before its first write."""

    def __post_init__(self) -> None:
        """Check the options."""
        if self.seconds <= 0 or self.nodes < MIN_NODES or self.first_revision < 0:
            raise LabUsageError(
                f"--seconds must be above 0, --nodes {MIN_NODES} or more, "
                "--first-revision 0 or more"
            )


class OperatorResult(msgspec.Struct, kw_only=True):
    """Result of one run."""

    seed: int
    edits: int
    evacuations: int
    """Number of zones that were evacuated or taken back."""
    disruptions: dict[str, int]
    """Number of broken responses and watches, by kind."""
    restarts: int
    judged: int
    """Number of verdicts: changes at nodes that served until the change was due."""
    offences: list[str]
    """A message for each violation."""


class OperatorRun(FleetSeries[SimulatedStoreFleet]):
    """One run on its own fleet."""

    def __init__(self, options: OperatorOptions) -> None:
        self._options = options
        super().__init__(options.seed, self._make_fleet)
        self._edits: list[AcknowledgedEdit] = []
        self._evacuated: set[str] = set()
        self._evacuations_changed_at = 0.0
        self._evacuations = 0
        self._disruptions: Counter[str] = Counter()
        self._judged = 0

    def _make_fleet(self, handle_event: EventHandler) -> SimulatedStoreFleet:
        options = self._options
        return SimulatedStoreFleet(
            options.nodes, options.seed, handle_event, first_revision=options.first_revision
        )

    async def run(self) -> OperatorResult:
        """Run to the end and return the result.

        Raises:
            FleetTimeoutError: the fleet did not form.
        """
        async with anyio.create_task_group() as tasks:
            try:
                await self._fleet.start(tasks)
                await self._wait_for_formation()
                self._fleet.store.faults = msgspec.structs.replace(
                    self._fleet.store.faults, delay=ANSWER_SECONDS
                )
                await self._make_changes(tasks)
                await anyio.sleep(2 * BOUND_SECONDS)
            finally:
                await self._fleet.end()
                tasks.cancel_scope.cancel()
        return self._result()

    async def _make_changes(self, tasks: anyio.abc.TaskGroup) -> None:
        self._faults_end_at = anyio.current_time() + self._options.seconds
        async with anyio.create_task_group() as lanes:
            lanes.start_soon(self._edit, self._create_random("edit"))
            lanes.start_soon(self._change_evacuations, tasks, self._create_random("evacuate"))
            lanes.start_soon(self._renew_entries, self._create_random("entries"))
            lanes.start_soon(self._disrupt_reads, self._create_random("disrupt"))
            restart_choices = self._create_random("restart")
            lanes.start_soon(self._restart_nodes, tasks, restart_choices, RESTART_INTERVAL_SECONDS)

    # Concurrent tasks that make changes; each ends when the time for changes is over.

    async def _edit(self, choices: Random) -> None:
        while await self._wait_for_next(choices, *EDIT_INTERVAL_SECONDS):
            version = self._fleet.edited_store.add_routes(ROUTES_PER_EDIT)
            self._edits.append(AcknowledgedEdit(version, anyio.current_time()))

    async def _change_evacuations(self, tasks: anyio.abc.TaskGroup, choices: Random) -> None:
        while await self._wait_for_next(choices, *EVACUATION_INTERVAL_SECONDS):
            zone = choices.choice(ZONES)
            if zone in self._evacuated:
                self._fleet.edited_store.take_back(zone)
                self._evacuated.remove(zone)
            elif len(self._evacuated) < MAX_EVACUATED_ZONES:
                self._fleet.edited_store.evacuate(zone)
                self._evacuated.add(zone)
            else:
                continue
            self._evacuations += 1
            self._evacuations_changed_at = anyio.current_time()
            tasks.start_soon(self._check_evacuations, self._evacuations_changed_at)

    async def _check_evacuations(self, changed_at: float) -> None:
        """Check all nodes that served until the change was due, unless another one followed."""
        await anyio.sleep(BOUND_SECONDS)
        if self._evacuations_changed_at != changed_at:
            return
        for node in self._nodes.values():
            if not node.served_throughout(changed_at, anyio.current_time()):
                continue
            self._judged += 1
            zones = self._fleet.evacuated_zones(node.name)
            if zones != self._evacuated:
                self._violations.append(
                    f"{node.name}: zones {sorted(zones)} evacuated {BOUND_SECONDS:g} s after "
                    f"{sorted(self._evacuated)} was acknowledged at {changed_at:.3f}"
                )

    async def _renew_entries(self, choices: Random) -> None:
        """Let the store's revision rise by writes that concern no configuration."""
        while await self._wait_for_next(choices, *ENTRY_INTERVAL_SECONDS):
            self._fleet.edited_store.renew_entry(choices.randrange(self._options.nodes))

    async def _disrupt_reads(self, choices: Random) -> None:
        while await self._wait_for_next(choices, *DISRUPTION_INTERVAL_SECONDS):
            kind = choices.choice(("history gone", "watches cut"))
            self._disruptions[kind] += 1
            if kind == "history gone":
                self._fleet.store.faults = msgspec.structs.replace(
                    self._fleet.store.faults, gone_watches=1
                )
            else:
                self._fleet.cut_watches()

    def _result(self) -> OperatorResult:
        histories = list(self._nodes.values())
        delays = [SourceDelay(0.0, ANSWER_SECONDS)]
        verdicts = list(
            check_edits(self._edits, delays, histories, BOUND_SECONDS, anyio.current_time())
        )
        late = [str(verdict) for verdict in verdicts if verdict.is_late]
        reversions = [text for node in histories for text in node.reversions]
        return OperatorResult(
            seed=self._options.seed,
            edits=len(self._edits),
            evacuations=self._evacuations,
            disruptions=dict(sorted(self._disruptions.items())),
            restarts=self._restarts,
            judged=self._judged + len(verdicts),
            offences=[*self._violations, *reversions, *late],
        )


async def _run(options: OperatorOptions) -> OperatorResult:
    return await OperatorRun(options).run()


def simulate_operator(options: OperatorOptions) -> OperatorResult:
    """Run once in virtual time.

    Raises:
        FleetTimeoutError: the fleet did not form.
    """
    result: OperatorResult = run_in_virtual_time(_run, options)
    return result
