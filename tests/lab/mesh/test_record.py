"""What the judge of a mesh finds, on records made by hand."""

import unittest

import anyio

from pewtertack.lab.mesh.record import RUN, CallerAttempt, MeshRecord


async def judge(
    run_count: int, status: int, repeatable: bool = False, by_backend: bool = False
) -> MeshRecord:
    """Return the record of a request that ran ``run_count`` times and was answered."""
    record = MeshRecord()
    now = record.started_at
    for _ in range(run_count):
        record.note_backend("i-1", "r1", RUN)
    record.note_fault("crash", "m1")
    record.note_node_line("m0", "r1", "REQUEST_ROUTED")
    record.attempts.append(
        CallerAttempt("r1", "reserve", "m0", now, now + 1, status, by_backend, repeatable)
    )
    return record


class ViolationsTest(unittest.TestCase):
    def violations(
        self, run_count: int, status: int, repeatable: bool = False, by_backend: bool = False
    ) -> list[str]:
        return anyio.run(judge, run_count, status, repeatable, by_backend).violations()

    def test_a_refused_request_must_not_have_run(self) -> None:
        for status in (408, 421, 429, 503):
            with self.subTest(status):
                expected = [f"r1: reserve was answered {status}, but ran"]
                self.assertEqual(self.violations(1, status), expected)
                self.assertEqual(self.violations(0, status), [])

    def test_a_request_that_is_not_repeatable_runs_once(self) -> None:
        self.assertEqual(self.violations(2, 200), ["r1: reserve ran 2 times"])
        self.assertEqual(self.violations(1, 200), [])

    def test_what_promises_nothing_is_no_violation(self) -> None:
        for status in (0, 500, 502, 504):
            with self.subTest(status):
                self.assertEqual(self.violations(1, status), [])
        self.assertEqual(self.violations(2, 503, repeatable=True), [])
        self.assertEqual(self.violations(1, 503, by_backend=True), [])

    def test_the_trace_holds_all_that_was_recorded_of_a_request(self) -> None:
        record = anyio.run(judge, 1, 503)
        self.assertEqual(record.violating_ids(), ["r1"])
        trace = record.trace("r1")
        for text in ("i-1: run", "crash: m1", "m0: REQUEST_ROUTED", "caller: answered with 503"):
            with self.subTest(text):
                self.assertIn(text, trace)
