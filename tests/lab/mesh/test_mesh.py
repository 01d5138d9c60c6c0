"""Short runs of meshes with a deployment's settings under faults."""

import tempfile
import unittest
from pathlib import Path

import anyio

from pewtertack.lab.mesh.options import MeshOptions
from pewtertack.lab.mesh.run import MeshResult, run_mesh
from pewtertack.lab.mesh.shapes import LOGBOOK, RESERVATIONS, MeshShape

TEMPLATE = Path(__file__).resolve().parents[3] / "deploy" / "node.toml.template"
SEED = 17
SECONDS = 10.0
LOAD = 0.3


class MeshTest(unittest.TestCase):
    """Guards against "not run" for a request that has run, and against a second execution."""

    def run_shape(self, shape: MeshShape) -> MeshResult:
        options = MeshOptions(shape, TEMPLATE, SEED, SECONDS, LOAD)
        with tempfile.TemporaryDirectory() as directory:
            return anyio.run(run_mesh, options, Path(directory))

    def test_no_promise_is_broken(self) -> None:
        for name, shape in (("reservations", RESERVATIONS), ("logbook", LOGBOOK)):
            with self.subTest(name):
                result = self.run_shape(shape)
                self.assertEqual(result.violations, [], "\n".join(result.traces.values()))
                self.assertTrue(result.tested, result)
