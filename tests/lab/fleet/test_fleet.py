"""A small fleet of real processes: an edit under load, a node that starts while the source is down,
and SIGTERM to the lab."""

import os
import signal
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

import anyio

from pewtertack.lab.demo import NEW_CALL, is_correct_response
from pewtertack.lab.deployments import shape_of
from pewtertack.lab.errors import FleetInterruptedError
from pewtertack.lab.fleet.fleet import Fleet
from pewtertack.lab.fleet.history import HistoryRecorder
from pewtertack.lab.fleet.plan import FleetPlan, plan_fleet
from pewtertack.lab.load.caller import Caller, Target
from pewtertack.lab.platform.store import Availability, PlatformFaults
from pewtertack.lab.records import CallResult
from pewtertack.lab.scenarios.edits import TreeEditor

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
MIN_REQUESTS = 30
TIMEOUT_SECONDS = 60.0


def plan_of_four_nodes() -> FleetPlan:
    shape = shape_of("lagos", EXAMPLES)
    return plan_fleet(
        replace(shape, zones=shape.zones[:2], services={"logbook": 2, "archive": 2}, profile="fast")
    )


class FleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_edit_reaches_every_node_and_no_request_fails(self) -> None:
        plan = plan_of_four_nodes()
        *first, last = plan.nodes
        with (
            tempfile.TemporaryDirectory() as directory,
            HistoryRecorder(Path(directory) / "history.jsonl") as recorder,
        ):
            async with Fleet(plan, Path(directory), recorder) as fleet:
                await fleet.start_nodes(first)
                await fleet.wait_serving(first)
                await self.edit_under_load(fleet, first)
                await self.start_without_source(fleet, last)
            results = [line for line in recorder.lines if isinstance(line, CallResult)]
            self.assertEqual([line for line in results if not is_correct_response(line)], [])
            self.assertEqual(recorder.stray_lines, [])

    async def test_sigterm_to_the_lab_kills_all_processes(self) -> None:
        pids: list[int] = []
        with (
            tempfile.TemporaryDirectory() as directory,
            HistoryRecorder(Path(directory) / "history.jsonl") as recorder,
            self.assertRaises(ExceptionGroup) as caught,
        ):
            async with Fleet(plan_of_four_nodes(), Path(directory), recorder) as fleet:
                await fleet.start_nodes(["ikeja-1"])
                pids += fleet.node_pids()
                os.kill(os.getpid(), signal.SIGTERM)
                await anyio.sleep(TIMEOUT_SECONDS)
        self.assertEqual(
            [type(error) for error in caught.exception.exceptions], [FleetInterruptedError]
        )
        with self.assertRaises(ProcessLookupError):
            os.kill(pids[0], 0)

    async def edit_under_load(self, fleet: Fleet, nodes: list[str]) -> None:
        load = await fleet.start_load("callers", 40.0, nodes=nodes)
        await self.wait_for_requests(fleet, MIN_REQUESTS)
        route = {"service": "logbook", "hosts": ["demo.example"], "path_prefix": "/demo"}
        tree = TreeEditor(fleet.plan.shape.tree, 1).add_route("demo", route)
        edit = await fleet.platform.put_tree(tree)
        await fleet.wait_in_force(edit.revision, nodes, TIMEOUT_SECONDS)
        await self.wait_for_requests(fleet, 2 * MIN_REQUESTS)
        self.assertEqual(await fleet.stop_load(load), 0)

    async def wait_for_requests(self, fleet: Fleet, count: int) -> None:
        def is_reached(_: object) -> bool:
            return sum(isinstance(line, CallResult) for line in fleet.recorder.lines) >= count

        await fleet.recorder.wait_until(is_reached, TIMEOUT_SECONDS, f"{count} requests")

    async def start_without_source(self, fleet: Fleet, name: str) -> None:
        """Start a node while the source refuses connections; it serves the edited route."""
        await fleet.platform.inject_source_faults(
            PlatformFaults(availability=Availability.CLOSED), "closed"
        )
        await fleet.start_nodes([name])
        await fleet.wait_serving([name], TIMEOUT_SECONDS)
        caller = Caller(Target(name, fleet.plan.nodes[name].proxy))
        fleet.recorder.record(await caller.call(NEW_CALL, "from-a-peer"))
        await caller.close()
