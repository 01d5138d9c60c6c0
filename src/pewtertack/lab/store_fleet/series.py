"""A series of concurrent faults and changes on a fleet whose nodes read one store."""

from __future__ import annotations

import signal
from collections.abc import Callable
from random import Random
from typing import Generic, TypeVar

import anyio
import anyio.abc

from pewtertack.lab.errors import FleetTimeoutError
from pewtertack.lab.slow_source.judging import NodeHistory
from pewtertack.lab.store_fleet.fleet import EventHandler, NodeFleet, NodeLogLine

SERVING_TIMEOUT_SECONDS = 30.0
"""Seconds after its start within which a node must serve."""
SETTLE_SECONDS = 3.0
"""Seconds from the formation of the fleet to the first fault."""
DOWNTIME_SECONDS = (0.0, 1.0)
"""Range of the time from the end of a process to the start of the next one of its node."""
POLL_SECONDS = 0.05

FleetT = TypeVar("FleetT", bound=NodeFleet)


class FleetSeries(Generic[FleetT]):
    """A fleet, the history of its nodes, and the faults that all series have.

    Args:
        seed: decides the faults, for each lane separately.
        make_fleet: creates the fleet; its argument is called with each event of the nodes.
    """

    def __init__(self, seed: int, make_fleet: Callable[[EventHandler], FleetT]) -> None:
        self._seed = seed
        self._fleet = make_fleet(self._record_event)
        self._nodes = {name: NodeHistory(name) for name in self._fleet.names}
        self._restarts = 0
        self._violations: list[str] = []
        self._faults_end_at = 0.0

    def _record_event(self, name: str, line: NodeLogLine) -> None:
        self._nodes[name].record_event(line.event, anyio.current_time(), line.revision)

    async def _wait_for_formation(self) -> None:
        """Wait until all nodes serve.

        Raises:
            FleetTimeoutError: a node does not.
        """
        with anyio.move_on_after(SERVING_TIMEOUT_SECONDS):
            while not all(node.is_serving for node in self._nodes.values()):
                await anyio.sleep(POLL_SECONDS)
        if not all(node.is_serving for node in self._nodes.values()):
            raise FleetTimeoutError(f"not all nodes serve after {SERVING_TIMEOUT_SECONDS:g} s")
        await anyio.sleep(SETTLE_SECONDS)

    def _create_random(self, lane: str) -> Random:
        return Random(f"{lane}:{self._seed}")

    async def _wait_for_next(self, choices: Random, shortest: float, longest: float) -> bool:
        """Wait for a random time; return whether there is time for another fault."""
        await anyio.sleep(choices.uniform(shortest, longest))
        return anyio.current_time() < self._faults_end_at

    async def _restart_nodes(
        self, tasks: anyio.abc.TaskGroup, choices: Random, interval: tuple[float, float]
    ) -> None:
        """Stop or kill nodes one after the other and start them again, ``interval`` s apart."""
        while await self._wait_for_next(choices, *interval):
            node = self._nodes[choices.choice(self._fleet.names)]
            stop_signal = choices.choice((signal.SIGTERM, signal.SIGKILL))
            node.end_serving(anyio.current_time())
            await self._fleet.stop_node(node.name, stop_signal)
            await anyio.sleep(choices.uniform(*DOWNTIME_SECONDS))
            await self._fleet.start_node(tasks, node.name)
            self._restarts += 1
            with anyio.move_on_after(SERVING_TIMEOUT_SECONDS):
                while not node.is_serving:
                    await anyio.sleep(POLL_SECONDS)
            if not node.is_serving:
                self._violations.append(
                    f"{node.name}: does not serve within {SERVING_TIMEOUT_SECONDS:g} s"
                )
                return
