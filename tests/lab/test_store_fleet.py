"""Simulated nodes read the store's stand-in with the reader that real ones have."""

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
FORMED_AFTER = 10.0
SEEN_AFTER = 2.0
SLOW_BYTES = 10_000.0
"""Bytes a second; the whole configuration takes several seconds."""

Body = Callable[[SimulatedStoreFleet, anyio.abc.TaskGroup], Awaitable[None]]


class Seen:
    """What the nodes of a fleet have told."""

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}
        self.serving: list[str] = []
        self.failures: list[str] = []

    def take(self, name: str, line: NodeLogLine) -> None:
        if line.event == Event.REVISION_IN_FORCE.name:
            self.versions[name] = split_tree_number(line.revision)[0]
        elif line.event == Event.NODE_SERVING.name:
            self.serving.append(name)
        elif line.event in (Event.SOURCE_FAILED.name, Event.MACHINE_LIST_FAILED.name):
            self.failures.append(line.reason)


async def _with_fleet(seen: Seen, body: Body) -> None:
    fleet = SimulatedStoreFleet(NODES, 1, seen.take)
    async with anyio.create_task_group() as tasks:
        await fleet.start(tasks)
        await anyio.sleep(FORMED_AFTER)
        await body(fleet, tasks)
        await fleet.end()
        tasks.cancel_scope.cancel()


class SimulatedStoreFleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.seen = Seen()

    def run_with(self, body: Body) -> None:
        run_in_virtual_time(_with_fleet, self.seen, body)

    def test_all_serve_and_see_an_edit(self) -> None:
        async def body(fleet: SimulatedStoreFleet, _: anyio.abc.TaskGroup) -> None:
            self.assertEqual(sorted(self.seen.serving), sorted(fleet.names))
            version = fleet.edited_store.add_routes(5)
            await anyio.sleep(SEEN_AFTER)
            self.assertEqual(set(self.seen.versions.values()), {version})

        self.run_with(body)

    def test_a_cut_fails_the_waiting_watches_and_loses_no_edit(self) -> None:
        async def body(fleet: SimulatedStoreFleet, _: anyio.abc.TaskGroup) -> None:
            self.assertGreater(fleet.cut_watches(), 0)
            version = fleet.edited_store.add_routes(5)
            await anyio.sleep(SEEN_AFTER)
            self.assertTrue(any("hung up" in reason for reason in self.seen.failures))
            self.assertEqual(set(self.seen.versions.values()), {version})

        self.run_with(body)

    def test_a_lost_answer_is_given_up(self) -> None:
        async def body(fleet: SimulatedStoreFleet, _: anyio.abc.TaskGroup) -> None:
            fleet.store.faults = StoreFaults(lost_answers=1)
            fleet.edited_store.add_routes(5)
            await anyio.sleep(60.0)
            self.assertTrue(any("no answer within" in reason for reason in self.seen.failures))

        self.run_with(body)

    def test_a_node_that_was_killed_serves_again(self) -> None:
        async def body(fleet: SimulatedStoreFleet, tasks: anyio.abc.TaskGroup) -> None:
            for how in (signal.SIGKILL, signal.SIGTERM):
                name = fleet.names[-1]
                await fleet.stop_node(name, how)
                version = fleet.edited_store.add_routes(1)
                await fleet.start_node(tasks, name)
                await anyio.sleep(FORMED_AFTER)
                self.assertEqual(self.seen.versions[name], version)
            self.assertEqual(self.seen.serving.count(fleet.names[-1]), 3)

        self.run_with(body)

    def test_a_slow_body_takes_its_time(self) -> None:
        async def body(fleet: SimulatedStoreFleet, _: anyio.abc.TaskGroup) -> None:
            fleet.store.faults = StoreFaults(body_rate=SLOW_BYTES)
            version = fleet.edited_store.add_routes(1)
            await anyio.sleep(1.0)
            self.assertNotIn(version, self.seen.versions.values())
            await anyio.sleep(20.0)
            self.assertEqual(set(self.seen.versions.values()), {version})

        self.run_with(body)
