"""Series of faults of the mesh."""

import unittest
from random import Random
from unittest.mock import Mock, call

import anyio
import msgspec

from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.mesh.backend import AnswerFaults
from pewtertack.lab.mesh.faults import (
    HIGHEST_SHARES,
    REFUSING_SECONDS,
    RELEASED_MACHINES,
    FaultyMesh,
    draw_answer_faults,
    refuse_all,
    release,
)
from pewtertack.lab.mesh.options import MeshOptions
from pewtertack.lab.mesh.shapes import LOGBOOK, RESERVATIONS, find_shape
from tests.lab.mesh.test_mesh import TEMPLATE


class AnswerFaultsTest(unittest.TestCase):
    def test_the_same_seed_gives_the_same_faults(self) -> None:
        first, again = (draw_answer_faults(Random(1), frozenset()) for _ in range(2))
        self.assertEqual(first, again)

    def test_each_share_can_be_drawn_and_left_out(self) -> None:
        for name in HIGHEST_SHARES:
            with self.subTest(name):
                drawn = [draw_answer_faults(Random(seed), frozenset()) for seed in range(20)]
                left_out = [
                    draw_answer_faults(Random(seed), frozenset({name})) for seed in range(20)
                ]
                self.assertGreater(max(getattr(item, name) for item in drawn), 0.0)
                self.assertEqual(max(getattr(item, name) for item in left_out), 0.0)

    def test_leaving_a_fault_out_changes_no_other(self) -> None:
        for seed in range(20):
            whole = draw_answer_faults(Random(seed), frozenset())
            without = draw_answer_faults(Random(seed), frozenset({"early"}))
            self.assertEqual(msgspec.structs.replace(whole, early=0.0), without)

    def test_shares_are_those_of_the_faults(self) -> None:
        names = {field.name for field in msgspec.structs.fields(AnswerFaults)}
        self.assertEqual(names - {"slowdown"}, set(HIGHEST_SHARES))


class RefuseAllTest(unittest.TestCase):
    def test_a_service_refuses_for_a_moment_and_no_longer(self) -> None:
        mesh = Mock(FaultyMesh, service_names=["orders"])

        async def refuse() -> float:
            started_at = anyio.current_time()
            await refuse_all(mesh, Random(1))
            return anyio.current_time() - started_at

        self.assertGreaterEqual(anyio.run(refuse), REFUSING_SECONDS[0])
        changes = [call("orders", True), call("orders", False)]
        self.assertEqual(mesh.set_refusing.call_args_list, changes)


class ReleaseTest(unittest.TestCase):
    def test_machines_are_replaced_once_each_and_their_stops_overlap(self) -> None:
        mesh = Mock(FaultyMesh, machine_names=[f"m{index}" for index in range(6)])
        replaced: list[str] = []
        all_begun = anyio.Event()

        async def replace_machine(machine: str, downtime: float) -> None:
            replaced.append(machine)
            await all_begun.wait()

        async def release_all() -> None:
            mesh.replace_machine = replace_machine
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(release, mesh, Random(1))
                while len(replaced) < RELEASED_MACHINES[0]:
                    await anyio.sleep(0.01)
                all_begun.set()

        anyio.run(release_all)
        self.assertEqual(len(set(replaced)), len(replaced))
        self.assertLessEqual(len(replaced), RELEASED_MACHINES[1])

    def test_one_machine_remains(self) -> None:
        """Guards against a release of more machines than a small mesh has."""
        for seed in range(3):
            mesh = Mock(FaultyMesh, machine_names=["m0", "m1"])
            anyio.run(release, mesh, Random(seed))
            mesh.replace_machine.assert_awaited_once()


class OptionsTest(unittest.TestCase):
    def test_options_are_checked(self) -> None:
        for changes in (
            {"seconds": 0.0},
            {"load": 0.0},
            {"without": frozenset({"gravity"})},
            {"template": TEMPLATE / "missing"},
        ):
            with self.subTest(changes), self.assertRaises(LabUsageError):
                msgspec.structs.replace(MeshOptions(LOGBOOK, TEMPLATE, 1, 1.0), **changes)

    def test_shapes_are_found_by_name(self) -> None:
        self.assertIs(find_shape("reservations"), RESERVATIONS)
        with self.assertRaises(LabUsageError):
            find_shape("nothing")

    def test_a_shape_may_have_fewer_backends(self) -> None:
        counts = [service.backends for service in RESERVATIONS.with_backends(4).services]
        self.assertEqual(counts, [4, 4, 3])
        with self.assertRaises(LabUsageError):
            RESERVATIONS.with_backends(0)
