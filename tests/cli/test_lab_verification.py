"""``pewtertack lab check`` and ``lab explore`` on the command line."""

import json
import tempfile
import unittest
from pathlib import Path

import msgspec
from typer.testing import CliRunner

from pewtertack.cli.main import app
from pewtertack.lab.records import encode_record
from pewtertack.lab.simulation.execution import run_schedule
from pewtertack.lab.simulation.schedules import EditTree, Schedule, decode_schedule


class CheckCommandTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.history = Path(directory.name) / "history.jsonl"
        schedule = Schedule(seed=1, steps=(EditTree(valid=False, wait=1.0),), nodes=4, zones=2)
        lines = [encode_record(line) for line in run_schedule(schedule).history]  # type: ignore[arg-type]
        self.history.write_bytes(b"\n".join(lines))

    def check(self, *arguments: str) -> tuple[int, str]:
        result = CliRunner().invoke(app, ["lab", "check", str(self.history), *arguments])
        return result.exit_code, result.output

    def test_valid_history_fulfils_all_promises(self) -> None:
        code, output = self.check("--promises", "configuration")
        self.assertEqual(code, 0, output)
        self.assertEqual(output.count("held"), 6)

    def test_insufficiently_tested_promises_fail_the_check(self) -> None:
        code, output = self.check("--json")
        self.assertEqual(code, 1)
        judgements = {verdict["promise"]: verdict["judgement"] for verdict in json.loads(output)}
        self.assertEqual(judgements["non-repeatable-at-most-once"], "too-thin")

    def test_violating_event_is_reported(self) -> None:
        line = msgspec.json.decode(self.history.read_bytes().splitlines()[-1])
        forged = {"event": "REVISION_IN_FORCE", "number": 203, "node": "node-1", "incarnation": 9}
        forged |= {"time": line["time"], "revision": 1, "digest": "00"}
        forged |= {"routes": {}, "services": [], "secrets": []}
        with self.history.open("ab") as file:
            file.write(b"\n" + msgspec.json.encode(forged))
        code, output = self.check("--promises", "configuration")
        self.assertEqual(code, 1)
        self.assertIn("node-1: revision 1 in force after 3", output)


class ExploreCommandTest(unittest.TestCase):
    def test_counterexample_is_shrunk_and_written(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            arguments = ["--schedules", "30", "--workers", "1", "--without", "validation"]
            command = ["lab", "explore", *arguments, "--out", name]
            result = CliRunner().invoke(app, command)
            self.assertEqual(result.exit_code, 1, result.output)
            (path,) = Path(name).glob("*.json")
            schedule = decode_schedule(path.read_bytes())
            self.assertEqual(len(schedule.steps), 1)


if __name__ == "__main__":
    unittest.main()
