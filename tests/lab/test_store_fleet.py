"""Simulated nodes that read the stand-in of the store with the reader of real nodes."""

import signal
import unittest
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from pewtertack.core.eras import split_tree_number
from pewtertack.events import Event
from pewtertack.lab.metadata_store.application import StoreFaults
from pewtertack.lab.simulation.virtual_loop import run_in_virtual_time
from pewtertack.lab.store_fleet.fleet import NodeLogLine
from pewtertack.lab.store_fleet.simulated import SimulatedStoreFleet

NODES = 4
FORMATION_SECONDS = 10.0
EDIT_SPREAD_SECONDS = 2.0
SLOW_BYTES_PER_SECOND = 10_000.0
"""At this rate the whole configuration takes several seconds."""

FleetBody = Callable[[SimulatedStoreFleet, anyio.abc.TaskGroup], Awaitable[None]]


class NodeLog:
    """The revisions, failures and starts of serving that the nodes of a fleet have logged."""

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}
        self.serving: list[str] = []
        self.failures: list[str] = []

    def record_line(self, name: str, line: NodeLogLine) -> None:
        if line.event == Event.REVISION_IN_FORCE.name:
            self.versions[name] = split_tree_number(line.revision)[0]
        elif line.event == Event.NODE_SERVING.name:
            self.serving.append(name)
        elif line.event in (Event.SOURCE_FAILED.name, Event.MACHINE_LIST_FAILED.name):
            self.failures.append(line.reason)


async def _run_on_fleet(node_log: NodeLog, body: FleetBody) -> None:
    fleet = SimulatedStoreFleet(NODES, 1, node_log.record_line)
    async with anyio.create_task_group() as tasks:
        await fleet.start(tasks)
        await anyio.sleep(FORMATION_SECONDS)
        await body(fleet, tasks)
        await fleet.end()
        tasks.cancel_scope.cancel()


class SimulatedStoreFleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.node_log = NodeLog()

    def run_on_fleet(self, body: FleetBody) -> None:
        run_in_virtual_time(_run_on_fleet, self.node_log, body)

    def test_all_nodes_serve_and_receive_an_edit(self) -> None:
        async def body(fleet: SimulatedStoreFleet, _: anyio.abc.TaskGroup) -> None:
            self.assertEqual(sorted(self.node_log.serving), sorted(fleet.names))
            version = fleet.edited_store.add_routes(5)
            await anyio.sleep(EDIT_SPREAD_SECONDS)
            self.assertEqual(set(self.node_log.versions.values()), {version})

        self.run_on_fleet(body)

    def test_a_cut_of_open_watches_is_reported_and_loses_no_edit(self) -> None:
        async def body(fleet: SimulatedStoreFleet, _: anyio.abc.TaskGroup) -> None:
            self.assertGreater(fleet.cut_watches(), 0)
            version = fleet.edited_store.add_routes(5)
            await anyio.sleep(EDIT_SPREAD_SECONDS)
            self.assertTrue(any("hung up" in reason for reason in self.node_log.failures))
            self.assertEqual(set(self.node_log.versions.values()), {version})

        self.run_on_fleet(body)

    def test_a_lost_response_times_out(self) -> None:
        async def body(fleet: SimulatedStoreFleet, _: anyio.abc.TaskGroup) -> None:
            fleet.store.faults = StoreFaults(lost_answers=1)
            fleet.edited_store.add_routes(5)
            await anyio.sleep(60.0)
            self.assertTrue(any("no answer within" in reason for reason in self.node_log.failures))

        self.run_on_fleet(body)

    def test_killed_and_stopped_nodes_serve_again_after_a_restart(self) -> None:
        async def body(fleet: SimulatedStoreFleet, tasks: anyio.abc.TaskGroup) -> None:
            for signal_number in (signal.SIGKILL, signal.SIGTERM):
                name = fleet.names[-1]
                await fleet.stop_node(name, signal_number)
                version = fleet.edited_store.add_routes(1)
                await fleet.start_node(tasks, name)
                await anyio.sleep(FORMATION_SECONDS)
                self.assertEqual(self.node_log.versions[name], version)
            self.assertEqual(self.node_log.serving.count(fleet.names[-1]), 3)

        self.run_on_fleet(body)

    def test_a_slow_body_delays_the_edit(self) -> None:
        async def body(fleet: SimulatedStoreFleet, _: anyio.abc.TaskGroup) -> None:
            fleet.store.faults = StoreFaults(body_rate=SLOW_BYTES_PER_SECOND)
            version = fleet.edited_store.add_routes(1)
            await anyio.sleep(1.0)
            self.assertNotIn(version, self.node_log.versions.values())
            await anyio.sleep(20.0)
            self.assertEqual(set(self.node_log.versions.values()), {version})

        self.run_on_fleet(body)
