"""Choice among back ends with gateways, and the cost of their refusals."""

import unittest
from collections import Counter
from random import Random
from typing import Any
from unittest import mock

import msgspec

from pewtertack.core.machines import Machine, MachineList, MachineRole, MachineState
from pewtertack.lab.overload.simulation import OverloadSettings, simulate_gateways
from pewtertack.routing import choice
from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.backend import LoadReport
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.routing.outcomes import (
    BackendFailedError,
    BackendUnreachableError,
    GatewayRefusedError,
)
from pewtertack.routing.patience import WaitPolicy
from pewtertack.routing.policies import Policies, RetryLaterPolicy
from pewtertack.routing.queueing import Ticket
from pewtertack.routing.retries import FLEET_BURST, RetryReason, node_burst
from tests.routing.samples import dispatcher, route, service


def gated(name: str, zone: str = "ikeja") -> Machine:
    return Machine(
        name, MachineRole.BACKEND, zone, f"10.0.0.1:{len(name)}", "logbook", gateway="g:1", slots=2
    )


def node(index: int) -> Machine:
    return Machine(f"n{index}", MachineRole.NODE, "ikeja", f"10.0.1.{index}:1")


def fleet(*machines: Machine) -> Dispatcher:
    subject = dispatcher()
    subject.use_machines(MachineList(2, machines), 0.0)
    return subject


def submitted(subject: Dispatcher, now: float = 0.0, **changes: Any) -> Ticket:
    request = Ticket(route(repeatable=True, **changes), service(), now + 5.0)
    subject.submit(request, now)
    return request


def report(subject: Dispatcher, ticket: Ticket, load: int, now: float = 0.0) -> None:
    subject.note_answer(ticket, now, LoadReport(load, 2), leaving=False)
    subject.finish(ticket, now + 0.5, AttemptResult.ANSWERED)


class ChoiceTest(unittest.TestCase):
    def test_no_adaptive_limit_applies_to_back_ends_with_a_gateway(self) -> None:
        subject = fleet(gated("near"))
        tickets = [submitted(subject) for _ in range(20)]
        self.assertTrue(all(item.backend is not None for item in tickets))

    def test_connections_to_gateways_outlive_a_newer_list(self) -> None:
        subject = fleet(gated("near"), Machine("bare", MachineRole.BACKEND, "yaba", "10.0.0.2:1"))
        self.assertEqual(subject.addresses(), {"g:1", "10.0.0.2:1"})

    def test_the_own_zone_serves_while_its_wait_is_within_the_objective(self) -> None:
        subject = fleet(gated("near"), gated("far", zone="yaba"))
        report(subject, submitted(subject), load=3)
        chosen = submitted(subject, now=0.5, target_latency=4.0)
        self.assertEqual(chosen.backend and chosen.backend.name, "near")

    def test_another_zone_serves_if_the_own_would_miss_the_objective(self) -> None:
        subject = fleet(gated("near"), gated("far", zone="yaba"))
        report(subject, submitted(subject), load=8)
        chosen = submitted(subject, now=0.5, target_latency=0.6)
        self.assertEqual(chosen.backend and chosen.backend.name, "far")

    def test_only_callers_with_much_time_leave_their_zone_for_a_short_wait(self) -> None:
        """Callers with twice their objective are to retry, but bytes do not cross zones early."""
        for caller_time, zone in ((10.0, "near"), (17.0, "far")):
            subject = Dispatcher(Random(1), policies=Policies(returning=RetryLaterPolicy.TWO))
            subject.use_zone("ikeja")
            subject.use_machines(MachineList(2, (gated("near"), gated("far", zone="yaba"))), 0.0)
            report(subject, submitted(subject), load=6)
            request = Ticket(route(target_latency=4.0), service(), 9.0)
            request.caller_deadline = 0.5 + caller_time
            subject.submit(request, 0.5)
            self.assertTrue(request.caller_can_retry)
            self.assertEqual(request.backend and request.backend.name, zone)

    def test_a_long_body_leaves_its_zone_only_to_meet_its_deadline(self) -> None:
        subject = fleet(gated("near"), gated("far", zone="yaba"))
        report(subject, submitted(subject), load=8)
        upload = Ticket(route(target_latency=0.6), service(), 5.5, body_bytes=60_000)
        subject.submit(upload, 0.5)
        self.assertEqual(upload.backend and upload.backend.name, "near")


class RetryingCallerTest(unittest.TestCase):
    """Callers that have time for another attempt are told to retry rather than made to wait."""

    def refuse(self, subject: Dispatcher, request: Ticket, now: float) -> RetryReason:
        subject.note_answer(request, now, LoadReport(9, 2), leaving=False)
        subject.finish(request, now, AttemptResult.REFUSED)
        error = GatewayRefusedError("refused", 0.1, "deadline-unmeetable")
        error.reached_backend = False
        return subject.decide_retry(request, error, now, True).reason

    def busy_fleet(self) -> Dispatcher:
        subject = fleet(gated("near"), gated("also"))
        for _ in range(2):
            report(subject, submitted(subject), load=9)
        return subject

    def test_no_second_gateway_is_tried_that_is_expected_to_be_busy(self) -> None:
        subject = self.busy_fleet()
        request = Ticket(route(target_latency=0.4), service(), 1.7, caller_deadline=3.0)
        subject.submit(request, 0.5)
        self.assertEqual(request.wait_policy, WaitPolicy.RETRY)
        self.assertEqual(self.refuse(subject, request, 0.5), RetryReason.NO_PROSPECT)

    def test_a_second_gateway_is_tried_only_if_it_seems_to_have_a_free_slot(self) -> None:
        subject = self.busy_fleet()
        request = Ticket(route(target_latency=40.0), service(), 200.0, caller_deadline=200.0)
        subject.submit(request, 0.5)
        self.assertEqual(self.refuse(subject, request, 0.5), RetryReason.NO_PROSPECT)

    def test_all_gateways_are_tried_for_a_caller_with_little_time(self) -> None:
        subject = self.busy_fleet()
        request = Ticket(route(target_latency=0.4), service(), 1.7, caller_deadline=1.7)
        subject.submit(request, 0.5)
        self.assertEqual(request.wait_policy, WaitPolicy.WAIT)
        self.assertEqual(self.refuse(subject, request, 0.5), RetryReason.NEXT_GATEWAY)


class NewBackendTest(unittest.TestCase):
    """The machine list may add a back end while requests are in progress."""

    def test_it_takes_a_queued_request(self) -> None:
        subject = fleet(gated("near"))
        subject.finish(submitted(subject), 0.1, AttemptResult.UNREACHABLE)
        waiting = Ticket(route(), service(), 5.0)
        waiting.expires_at = 4.0
        subject.service("logbook").queue.push(waiting, 0.1)
        subject.use_machines(MachineList(3, (gated("near"), gated("fresh"))), 0.2)
        self.assertEqual(waiting.backend and waiting.backend.name, "fresh")

    def test_it_may_be_tried_after_a_refusal(self) -> None:
        subject = fleet(gated("near"))
        request = Ticket(route(target_latency=0.4), service(), 1.7, caller_deadline=3.0)
        subject.submit(request, 0.0)
        subject.use_machines(MachineList(3, (gated("near"), gated("fresh"))), 0.0)
        subject.finish(request, 0.0, AttemptResult.REFUSED)
        error = GatewayRefusedError("refused", 0.1, "deadline-unmeetable")
        error.reached_backend = False
        decision = subject.decide_retry(request, error, 0.0, True)
        self.assertEqual(decision.reason, RetryReason.NEXT_GATEWAY)


class SlownessTest(unittest.TestCase):
    def test_attempts_that_timed_out_count_as_slow(self) -> None:
        subject = fleet(gated("a"), gated("bb"))
        for _ in range(20):
            report(subject, submitted(subject), load=0)
        slow = submitted(subject)
        assert slow.backend is not None
        before = slow.backend.slowness
        subject.finish(slow, 5.0, AttemptResult.TIMED_OUT)
        self.assertGreater(slow.backend.slowness, before)


class IdleGatewaysTest(unittest.TestCase):
    """Estimates of back ends' speeds while requests come one at a time."""

    def serve(self, subject: Dispatcher, started_at: float, seconds: dict[str, float]) -> str:
        """Serve one request; return the name of its back end."""
        ticket = submitted(subject, started_at)
        assert ticket.backend is not None
        subject.note_answer(ticket, started_at, LoadReport(1, 2), leaving=False)
        subject.finish(ticket, started_at + seconds[ticket.backend.name], AttemptResult.ANSWERED)
        return ticket.backend.name

    def test_slightly_quicker_first_answers_do_not_attract_all_requests(self) -> None:
        """An idle back end that seemed a little slower was never chosen again."""
        subject = fleet(gated("a"), gated("bb"))
        for number in range(5):
            self.serve(subject, number * 0.1, {"a": 0.012, "bb": 0.012})
        quicker = {"a": 0.010, "bb": 0.010}
        served = Counter(self.serve(subject, 1 + number * 0.1, quicker) for number in range(40))
        self.assertEqual(set(served), {"a", "bb"})
        self.assertGreaterEqual(min(served.values()), 10)

    def test_a_back_end_that_was_slow_for_a_while_is_chosen_again(self) -> None:
        """Its slowness kept it from being chosen, so that no answer corrected the estimate."""
        subject = fleet(gated("a"), gated("bb"))
        for number in range(60):
            self.serve(subject, number * 0.1, {"a": 0.01, "bb": 0.08 if number > 10 else 0.01})
        served = Counter(
            self.serve(subject, 6 + number * 0.1, {"a": 0.01, "bb": 0.01}) for number in range(600)
        )
        self.assertGreaterEqual(served["bb"], 100)

    def test_a_much_slower_back_end_gets_few_requests(self) -> None:
        subject = fleet(gated("a"), gated("bb"))
        served = Counter(
            self.serve(subject, number * 0.1, {"a": 0.01, "bb": 0.04}) for number in range(600)
        )
        self.assertLess(served["bb"], 60)


class RefusalTest(unittest.TestCase):
    def refuse(self, subject: Dispatcher, ticket: Ticket) -> Ticket | None:
        subject.finish(ticket, 0.0, AttemptResult.REFUSED)
        error = GatewayRefusedError("full", 0.1, "queue-full")
        return subject.retry(ticket, error, 0.0, replayable=True)

    def test_another_gateway_is_tried_regardless_of_retry_limit_and_budget(self) -> None:
        subject = fleet(gated("a"), gated("bb"))
        for _ in range(50):
            ticket = submitted(subject, retry_limit=0, retry_budget=0.0)
            again = self.refuse(subject, ticket)
            assert again is not None
            subject.submit(again, 0.0)
            assert again.backend is not None and ticket.backend is not None
            self.assertNotEqual(again.backend.name, ticket.backend.name)
            self.assertEqual(again.retries, 0)
            subject.finish(again, 0.1, AttemptResult.ANSWERED)

    def test_no_gateway_is_tried_twice(self) -> None:
        subject = fleet(gated("a"))
        self.assertIsNone(self.refuse(subject, submitted(subject)))

    def test_at_most_three_gateways_are_tried(self) -> None:
        subject = fleet(*(gated("x" * index) for index in range(1, 9)))
        ticket: Ticket | None = submitted(subject)
        tried = 0
        while ticket is not None:
            tried += 1
            ticket = self.refuse(subject, ticket)
            if ticket is not None:
                subject.submit(ticket, 0.0)
        self.assertEqual(tried, 3)

    def test_an_unreachable_gateway_is_ejected_at_once(self) -> None:
        subject = fleet(gated("a"), gated("bb"))
        ticket = submitted(subject)
        assert ticket.backend is not None
        subject.finish(ticket, 0.0, AttemptResult.UNREACHABLE)
        self.assertFalse(ticket.backend.usable(0.1))
        self.assertIsNotNone(subject.retry(ticket, BackendUnreachableError("down"), 0.0, True))


class ReachabilityTest(unittest.TestCase):
    def test_a_service_is_unreachable_while_all_its_gateways_are_ejected(self) -> None:
        subject = fleet(gated("a"), gated("bb"))
        self.assertTrue(subject.can_reach_all(["logbook"], 0.0))
        for _ in range(2):
            subject.finish(submitted(subject), 0.0, AttemptResult.UNREACHABLE)
        self.assertFalse(subject.can_reach_all(["logbook"], 0.1))
        self.assertTrue(subject.can_reach_all(["logbook"], 10.0))

    def test_a_service_without_back_ends_does_not_make_a_node_unready(self) -> None:
        self.assertTrue(fleet().can_reach_all(["logbook"], 0.0))


class FleetBudgetTest(unittest.TestCase):
    def test_the_bursts_of_all_nodes_add_up_to_the_fleets(self) -> None:
        for nodes in (4, 12, 30):
            self.assertLessEqual(nodes * node_burst(nodes), FLEET_BURST + 1e-9)

    def test_all_routes_of_a_service_share_one_retry_budget(self) -> None:
        machines = [gated("a"), gated("bb"), *(node(index) for index in range(12))]
        subject = fleet(*machines)
        granted = 0
        for index in range(20):
            ticket = submitted(subject, name=f"route-{index % 5}", retry_budget=0.0)
            subject.finish(ticket, 0.0, AttemptResult.FAILED_BELOW)
            error = BackendFailedError("broke")
            granted += subject.retry(ticket, error, 0.0, replayable=True) is not None
        self.assertEqual(granted, int(FLEET_BURST / 12))


class LateEntryTest(unittest.TestCase):
    def test_an_outdated_entry_does_not_bring_a_leaving_back_end_back(
        self,
    ) -> None:
        subject = fleet(gated("near"), gated("far", zone="yaba"))
        leaving = msgspec.structs.replace(gated("near"), state=MachineState.LEAVING)
        far = gated("far", zone="yaba")
        for number, listed in enumerate(((leaving, far), (far,), (gated("near"), far)), start=3):
            subject.use_machines(MachineList(number, listed), 0.0)
        chosen = submitted(subject)
        self.assertEqual(chosen.backend and chosen.backend.name, "far")


class ManyGatewaysTest(unittest.TestCase):
    """Choice where a zone has more gateways than are compared."""

    def many(self, seed: int) -> Dispatcher:
        machines = [gated(f"near-{index}") for index in range(40)]
        machines += [gated(f"far-{index}", "yaba") for index in range(40)]
        subject = Dispatcher(Random(seed))
        subject.use_zone("ikeja")
        subject.use_machines(MachineList(2, tuple(machines)), 0.0)
        return subject

    def test_senders_without_reports_do_not_collide_at_one_gateway(self) -> None:
        chosen = Counter(submitted(self.many(seed)).backend.name for seed in range(200))  # type: ignore[union-attr]
        self.assertGreater(len(chosen), 30)
        self.assertLess(max(chosen.values()), 20)

    def test_the_last_usable_gateway_of_a_zone_is_found(self) -> None:
        subject = self.many(1)
        for backend in subject.service("logbook").backends:
            backend.leaving = backend.name != "near-39"
        self.assertEqual([submitted(subject).backend.name for _ in range(5)], ["near-39"] * 5)  # type: ignore[union-attr]

    def test_a_free_gateway_of_the_own_zone_is_preferred(self) -> None:
        subject = self.many(1)
        submitted(subject)
        for backend in subject.service("logbook").backends:
            if backend.zone == "ikeja" and backend.name != "near-7":
                backend.note_report(0.0, LoadReport(60, 2))
        subject.service("logbook").mean_time = 0.5
        for _ in range(2):
            ticket = submitted(subject, target_latency=1.0)
            self.assertEqual(ticket.backend.name, "near-7")  # type: ignore[union-attr]

    def test_an_untried_gateway_of_another_zone_precedes_a_tried_one(self) -> None:
        subject = self.many(1)
        near = tuple(f"near-{index}" for index in range(40))
        ticket = Ticket(route(repeatable=True), service(), 5.0, near)
        subject.submit(ticket, 0.0)
        self.assertTrue(ticket.backend.name.startswith("far-"))  # type: ignore[union-attr]


class CrowdingTest(unittest.TestCase):
    """Senders with outdated reports: the fastest back end is not filled to its last slot."""

    def mean_wait(self, crowding: float, load: float) -> float:
        shape = OverloadSettings(nodes=18, backends=12, seconds=8.0)
        with mock.patch.object(choice, "CROWDING_FACTOR", crowding):
            results = [simulate_gateways(shape, load, seed) for seed in (1, 2, 3)]
        for result in results:
            self.assertGreaterEqual(result.goodput, load - 0.03)
        return sum(result.mean_wait for result in results) / len(results)

    def test_callers_wait_less_at_half_load(self) -> None:
        """``lab overload --gateways --load 0.5`` with seed 1: 9.7 ms instead of 10.6 ms."""
        without_crowding, with_crowding = (
            self.mean_wait(0.0, 0.5),
            self.mean_wait(choice.CROWDING_FACTOR, 0.5),
        )
        self.assertLess(with_crowding, without_crowding)

    def test_of_two_equally_fast_back_ends_the_emptier_is_chosen(self) -> None:
        subject = fleet(gated("one"), gated("two"))
        first = submitted(subject)
        subject.service("logbook").note_time("lookup", 0.2)
        self.assertNotEqual(submitted(subject).backend, first.backend)
