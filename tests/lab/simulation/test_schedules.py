"""The coordination core under schedules of faults, in virtual time."""

import unittest
from pathlib import Path

from hypothesis import HealthCheck, given, settings

from pewtertack.lab.history.verdicts import Judgement
from pewtertack.lab.simulation.execution import run_schedule
from pewtertack.lab.simulation.schedules import Schedule, ScheduleError, decode_schedule
from pewtertack.lab.simulation.strategies import schedules

FOUND = Path(__file__).parent / "found"
"""Shrunk schedules that once broke a promise."""


class ScheduleTest(unittest.TestCase):
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

    def test_promises_hold_under_schedules_that_once_broke_them(self) -> None:
        for path in sorted(FOUND.glob("*.json")):
            with self.subTest(path.name):
                schedule = decode_schedule(path.read_bytes())
                self.assertEqual(run_schedule(schedule).violations, ())

    def test_a_quiet_run_is_judged_and_repeatable(self) -> None:
        first = run_schedule(Schedule(seed=5, steps=()))
        second = run_schedule(Schedule(seed=5, steps=()))
        self.assertEqual(first.lines, second.lines)
        judged = [v for v in first.verdicts if v.judgement is Judgement.HELD]
        self.assertEqual(len(judged), len(first.verdicts) - 1, "only invalid edits are lacking")

    def test_a_text_that_is_no_schedule_is_refused(self) -> None:
        with self.assertRaises(ScheduleError):
            decode_schedule(b'{"seed": 1, "steps": [{"do": "dance"}]}')


if __name__ == "__main__":
    unittest.main()
