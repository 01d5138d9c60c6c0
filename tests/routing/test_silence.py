"""Gateways without any response: avoided, ejected, probed and reinstated."""

import unittest

from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.backend import GATEWAY_STALL_SECONDS, STALL_MEMORY_SECONDS, Backend
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.routing.queueing import Ticket
from tests.routing.test_gateway_choice import fleet, gated, report, submitted

ANSWER_SECONDS = 0.05


def backend_of(ticket: Ticket) -> Backend:
    assert ticket.backend is not None
    return ticket.backend


class StallTest(unittest.TestCase):
    """Both back ends have answered before, so that the service's mean time is known."""

    def setUp(self) -> None:
        self.fleet = fleet(gated("a"), gated("bb"))
        first, second = submitted(self.fleet), submitted(self.fleet)
        for ticket in (first, second):
            report(self.fleet, ticket, load=1)

    def time_out(self, ticket: Ticket, now: float) -> None:
        self.fleet.finish(ticket, now, AttemptResult.TIMED_OUT)

    def test_a_stall_is_remembered_after_short_deadlines(self) -> None:
        """Callers that waited less than any limit on silence hid a disconnected gateway."""
        silent = submitted(self.fleet, 10.0)
        for turn in range(3):
            self.time_out(silent, 12.0 + turn)
            next_request = submitted(self.fleet, 12.0 + turn)
            self.assertIsNot(next_request.backend, silent.backend)
            self.fleet.note_answer(next_request, 12.1 + turn, None, leaving=False)
            self.fleet.finish(next_request, 12.1 + turn, AttemptResult.ANSWERED)

    def test_a_back_end_is_avoided_while_a_request_waits_too_long(self) -> None:
        waiting = submitted(self.fleet, 10.0)
        self.assertIsNot(submitted(self.fleet, 12.0).backend, waiting.backend)

    def test_an_early_cancellation_is_no_stall(self) -> None:
        ticket = submitted(self.fleet, 10.0)
        self.fleet.finish(ticket, 10.0 + GATEWAY_STALL_SECONDS / 2, AttemptResult.CANCELLED)
        self.assertFalse(backend_of(ticket).stalled(11.0, ANSWER_SECONDS))

    def test_a_stall_is_forgotten(self) -> None:
        ticket = submitted(self.fleet, 10.0)
        self.time_out(ticket, 12.0)
        backend = backend_of(ticket)
        self.assertTrue(backend.stalled(12.1, ANSWER_SECONDS))
        self.assertFalse(backend.stalled(10.1 + STALL_MEMORY_SECONDS, ANSWER_SECONDS))


class SilentMachineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet: Dispatcher = fleet(gated("a"), gated("bb"))
        self.ticket = submitted(self.fleet)
        self.backend = backend_of(self.ticket)
        self.fleet.finish(self.ticket, 0.4, AttemptResult.SILENT)

    def test_one_unacknowledged_request_ejects_the_back_end(self) -> None:
        self.assertFalse(self.backend.usable(0.5))
        self.assertTrue(self.backend.unreachable)

    def test_it_is_tried_by_a_probe_and_not_by_a_request(self) -> None:
        self.assertEqual(self.fleet.probes_due(0.5), [])
        self.assertEqual(self.fleet.probes_due(0.9), [self.backend])
        self.assertEqual(self.fleet.probes_due(0.9), [], "one probe at a time")
        self.assertFalse(self.backend.usable(0.9))

    def test_an_answered_probe_reinstates_it(self) -> None:
        self.fleet.probes_due(0.9)
        self.fleet.note_probe_result(self.backend, 1.0, answered=True)
        self.assertTrue(self.backend.usable(1.0))
        self.assertFalse(self.backend.unreachable)

    def test_an_unanswered_probe_is_followed_by_another(self) -> None:
        now = 0.9
        for _ in range(8):
            self.assertEqual(self.fleet.probes_due(now), [self.backend])
            self.fleet.note_probe_result(self.backend, now, answered=False)
            self.assertFalse(self.backend.usable(now))
            now += 1.7

    def test_without_probes_a_request_tries_it_eventually(self) -> None:
        self.assertTrue(self.backend.usable(2.0))

    def test_a_service_is_unreachable_until_a_probe_is_answered(self) -> None:
        other = submitted(self.fleet, 0.5)
        self.fleet.finish(other, 0.9, AttemptResult.SILENT)
        for now in (1.0, 1.3):
            self.assertFalse(self.fleet.can_reach_all(["logbook"], now))
            self.fleet.probes_due(now)
        self.fleet.note_probe_result(backend_of(other), 1.4, answered=True)
        self.assertTrue(self.fleet.can_reach_all(["logbook"], 1.4))


if __name__ == "__main__":
    unittest.main()
