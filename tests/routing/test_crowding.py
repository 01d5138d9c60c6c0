"""Gateways to which connections come up late: crowded, or gone."""

import unittest
from random import Random

from pewtertack.core.machines import Machine, MachineList, MachineRole
from pewtertack.routing.backend import HEARD_SECONDS, LoadReport
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.routing.ends import AttemptEnd
from pewtertack.routing.outcomes import ConnectionLateError, NoBackendError
from pewtertack.routing.policies import CrowdedGateways, Policies
from pewtertack.routing.queueing import Ticket
from pewtertack.routing.retries import MAXIMUM_REFUSALS, RetryReason
from tests.routing.samples import route, service

LATE = 0.25
"""Seconds after which a connection counts as late."""


def fleet(*names: str, way: CrowdedGateways = CrowdedGateways.KEPT) -> Dispatcher:
    made = Dispatcher(Random(1), policies=Policies(crowded_gateways=way))
    listed = (
        Machine(name, MachineRole.BACKEND, "ikeja", name, "logbook", gateway=name, slots=2)
        for name in names
    )
    made.use_zone("ikeja")
    made.use_machines(MachineList(2, tuple(listed)), 0.0)
    return made


def submitted(made: Dispatcher, now: float) -> Ticket:
    wanted = Ticket(route(target_latency=1.0), service(), now + 5.0)
    made.submit(wanted, now)
    return wanted


def answer(made: Dispatcher, ticket: Ticket, now: float) -> None:
    made.note_answer(ticket, now, LoadReport(2, 2), leaving=False)
    made.finish(ticket, now, AttemptEnd.ANSWERED)


def end_late(made: Dispatcher, now: float) -> Ticket:
    """Begin an attempt at ``now`` whose connection does not come up in time."""
    ticket = submitted(made, now)
    made.finish(ticket, now + LATE, AttemptEnd.LATE)
    return ticket


class HeardMeanwhileTest(unittest.TestCase):
    def test_a_gateway_that_answered_meanwhile_is_not_left_alone(self) -> None:
        made = fleet("near")
        other = submitted(made, 0.0)
        late = submitted(made, 0.0)
        answer(made, other, 0.1)
        made.finish(late, LATE, AttemptEnd.LATE)
        assert late.backend is not None
        self.assertTrue(late.backend.usable(LATE))

    def test_a_connection_that_came_up_meanwhile_is_a_sign(self) -> None:
        made = fleet("near")
        other, late = submitted(made, 0.0), submitted(made, 0.0)
        made.note_connected(other, 0.1)
        made.finish(late, LATE, AttemptEnd.LATE)
        assert late.backend is not None
        self.assertTrue(late.backend.usable(LATE))

    def test_a_silent_gateway_is_left_alone_after_the_first_late_connection(self) -> None:
        made = fleet("near", "far")
        for name in ("near", "far"):
            seen = next(item for item in made.service("logbook").backends if item.name == name)
            seen.note_sign(0.0)
        gone = end_late(made, 0.1).backend
        assert gone is not None
        self.assertFalse(gone.usable(0.1 + LATE))
        for step in range(20):
            chosen = submitted(made, 0.4 + step / 100).backend
            assert chosen is not None
            self.assertIsNot(chosen, gone)

    def test_a_gateway_that_refuses_connections_is_left_alone_whatever_was_heard(self) -> None:
        made = fleet("near")
        other, refused = submitted(made, 0.0), submitted(made, 0.0)
        answer(made, other, 0.1)
        made.finish(refused, 0.1, AttemptEnd.UNREACHABLE)
        with self.assertRaises(NoBackendError):
            submitted(made, 0.2)


class LastGatewayTest(unittest.TestCase):
    """One gateway is left; it was heard at 0.0 and connections to it come up late."""

    def crowded(self, way: CrowdedGateways = CrowdedGateways.KEPT) -> Dispatcher:
        made = fleet("near", way=way)
        answer(made, submitted(made, 0.0), 0.0)
        end_late(made, 0.1)
        return made

    def test_it_is_asked_all_the_same(self) -> None:
        made = self.crowded()
        for step in range(5):
            self.assertIsNotNone(end_late(made, 0.4 + step * 0.2).backend)
        self.assertTrue(made.reaches_all(["logbook"], 1.0))

    def test_the_other_way_says_that_there_is_none(self) -> None:
        made = self.crowded(CrowdedGateways.EJECTED)
        with self.assertRaises(NoBackendError):
            submitted(made, 0.4)

    def test_any_sign_brings_it_back(self) -> None:
        made = self.crowded()
        made.note_answer(submitted(made, 0.4), 0.5, None, leaving=False)
        backend = made.service("logbook").backends[0]
        self.assertTrue(backend.usable(0.5))
        self.assertFalse(made.any_unreachable())

    def test_one_that_stays_silent_is_asked_no_longer(self) -> None:
        made = self.crowded()
        [backend] = made.probes_due(1.0)
        made.note_probe(backend, HEARD_SECONDS - 0.1, answered=False)
        self.assertIsNotNone(end_late(made, HEARD_SECONDS - 0.1).backend)
        with self.assertRaises(NoBackendError):
            submitted(made, HEARD_SECONDS + 0.1)

    def test_it_is_probed_meanwhile(self) -> None:
        made = self.crowded()
        end_late(made, 0.4)
        [backend] = made.probes_due(1.0)
        made.note_probe(backend, 1.5, answered=True)
        self.assertTrue(backend.usable(1.5))

    def test_its_request_waits_on_for_the_connection_while_that_is_in_time(self) -> None:
        made = self.crowded()
        wanted: Ticket | None = submitted(made, 0.4)
        waits = []
        while wanted is not None:
            now = wanted.started_at + LATE
            made.finish(wanted, now, AttemptEnd.LATE)
            decision = made.decide_retry(wanted, ConnectionLateError("late"), now, True)
            waits.append(decision.reason)
            wanted = decision.ticket
            if wanted is not None:
                made.submit(wanted, now)
        again = [RetryReason.SAME_GATEWAY] * (MAXIMUM_REFUSALS - 1)
        self.assertEqual(waits, [*again, RetryReason.NO_GATEWAY])

    def test_another_gateway_is_asked_first(self) -> None:
        made = fleet("near", "far")
        answer(made, submitted(made, 0.0), 0.0)
        late = end_late(made, 0.1)
        decision = made.decide_retry(late, ConnectionLateError("late"), 0.1 + LATE, True)
        self.assertEqual(decision.reason, RetryReason.NEXT_GATEWAY)
        assert decision.ticket is not None
        made.submit(decision.ticket, 0.1 + LATE)
        self.assertIsNot(decision.ticket.backend, late.backend)


if __name__ == "__main__":
    unittest.main()
