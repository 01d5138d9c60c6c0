"""Runs the coordination core under schedules of faults, in virtual time."""

import unittest
from pathlib import Path

from hypothesis import HealthCheck, given, settings

from pewtertack.lab.history.verdicts import Judgement
from pewtertack.lab.simulation.execution import run_schedule
from pewtertack.lab.simulation.schedules import Schedule, ScheduleError, decode_schedule
from pewtertack.lab.simulation.strategies import schedules

FAILED_ONCE = Path(__file__).parent / "found"
"""Directory of shrunk schedules that violated a guarantee once."""


class ScheduleTest(unittest.TestCase):
    # ``derandomize`` seeds the schedules with the source of this function, name included: any
    # change to it draws other schedules.
    @settings(
        max_examples=30,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(schedules())
    def test_promises_hold_under_a_fixed_set_of_schedules(self, schedule: Schedule) -> None:
        self.assertEqual(run_schedule(schedule).violations, ())

    def test_guarantees_hold_under_schedules_that_violated_them_once(self) -> None:
        for path in sorted(FAILED_ONCE.glob("*.json")):
            with self.subTest(path.name):
                schedule = decode_schedule(path.read_bytes())
                self.assertEqual(run_schedule(schedule).violations, ())

    def test_a_run_without_faults_is_judged_and_repeatable(self) -> None:
        first = run_schedule(Schedule(seed=5, steps=()))
        second = run_schedule(Schedule(seed=5, steps=()))
        self.assertEqual(first.history, second.history)
        judged = [verdict for verdict in first.verdicts if verdict.judgement is Judgement.HELD]
        self.assertEqual(len(judged), len(first.verdicts) - 1, "all but the check of invalid edits")

    def test_an_unknown_step_is_refused(self) -> None:
        with self.assertRaises(ScheduleError):
            decode_schedule(b'{"seed": 1, "steps": [{"do": "dance"}]}')


if __name__ == "__main__":
    unittest.main()
