"""A request that crashes its back ends, in simulated fleets with and without a crash ledger."""

import json
import tempfile
import unittest
from pathlib import Path

from typer.testing import CliRunner

from pewtertack.cli.main import app
from pewtertack.lab.crashes.simulation import CrashSettings, simulate_crashes
from pewtertack.lab.errors import LabUsageError


class CrashSimulationTest(unittest.TestCase):
    def test_few_back_ends_crash_and_ordinary_requests_are_served(self) -> None:
        for nodes in (3, 12, 74):
            with self.subTest(nodes):
                result = simulate_crashes(CrashSettings(nodes=nodes), 1)
                self.assertLessEqual(result.ends, 6)
                self.assertEqual(result.late_ends, 0)
                self.assertGreaterEqual(result.served, 0.8)
                self.assertEqual(result.refused_wrongly, 0)

    def test_without_the_ledger_crashes_do_not_stop(self) -> None:
        result = simulate_crashes(CrashSettings(nodes=12, ledger=False), 1)
        self.assertGreater(result.late_ends, 10)

    def test_equal_seeds_give_equal_results(self) -> None:
        settings = CrashSettings(nodes=5, seconds=8.0)
        self.assertEqual(simulate_crashes(settings, 3), simulate_crashes(settings, 3))

    def test_a_burst_crashes_no_more_back_ends_than_requests_were_in_flight(self) -> None:
        result = simulate_crashes(CrashSettings(nodes=74, burst=8), 1)
        self.assertLessEqual(result.ends, 8 + 8)
        self.assertEqual(result.late_ends, 0)

    def test_the_command_prints_and_plots_a_result(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            plot = Path(directory) / "crashes.svg"
            arguments = ["lab", "crashes", "--nodes=3", "--seconds=4", f"--plot={plot}"]
            printed = CliRunner().invoke(app, arguments)
            self.assertEqual(printed.exit_code, 0, printed.output)
            self.assertEqual(json.loads(printed.stdout)["ends"], 3)
            self.assertIn("<svg", plot.read_text())

    def test_settings_out_of_range_are_typed_errors(self) -> None:
        for settings in (
            CrashSettings(nodes=1),
            CrashSettings(loss=1.0),
            CrashSettings(seconds=0.0),
            CrashSettings(rate=float("nan")),
        ):
            with self.assertRaises(LabUsageError):
                simulate_crashes(settings, 1)
