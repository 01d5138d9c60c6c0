"""Choice among back ends with gateways, and what their refusals cost."""

import unittest
from collections import Counter
from random import Random
from typing import Any
from unittest import mock

import msgspec

from pewtertack.core.machines import Machine, MachineList, MachineRole, MachineState
from pewtertack.lab.overload.simulation import Shape, simulate_gateways
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
    made = dispatcher()
    made.use_machines(MachineList(2, machines), 0.0)
    return made


def submitted(made: Dispatcher, now: float = 0.0, **changes: Any) -> Ticket:
    wanted = Ticket(route(repeatable=True, **changes), service(), now + 5.0)
    made.submit(wanted, now)
    return wanted


def report(made: Dispatcher, ticket: Ticket, load: int, now: float = 0.0) -> None:
    made.note_answer(ticket, now, LoadReport(load, 2), leaving=False)
    made.finish(ticket, now + 0.5, AttemptResult.ANSWERED)


class ChoiceTest(unittest.TestCase):
    def test_no_limit_is_guessed_where_a_gateway_admits(self) -> None:
        made = fleet(gated("near"))
        tickets = [submitted(made) for _ in range(20)]
        self.assertTrue(all(item.backend is not None for item in tickets))

    def test_connections_to_gateways_outlive_a_newer_list(self) -> None:
        made = fleet(gated("near"), Machine("bare", MachineRole.BACKEND, "yaba", "10.0.0.2:1"))
        self.assertEqual(made.addresses(), {"g:1", "10.0.0.2:1"})

    def test_the_own_zone_serves_while_its_wait_keeps_the_objective(self) -> None:
        made = fleet(gated("near"), gated("far", zone="yaba"))
        report(made, submitted(made), load=3)
        chosen = submitted(made, now=0.5, target_latency=4.0)
        self.assertEqual(chosen.backend and chosen.backend.name, "near")

    def test_another_zone_serves_when_the_own_would_miss_the_objective(self) -> None:
        made = fleet(gated("near"), gated("far", zone="yaba"))
        report(made, submitted(made), load=8)
        chosen = submitted(made, now=0.5, target_latency=0.6)
        self.assertEqual(chosen.backend and chosen.backend.name, "far")

    def test_only_callers_with_much_time_leave_their_zone_for_a_short_wait(self) -> None:
        """Who has twice its objective may be told to come back, but bytes do not cross for it."""
        for caller_time, zone in ((10.0, "near"), (17.0, "far")):
            made = Dispatcher(Random(1), policies=Policies(returning=RetryLaterPolicy.TWO))
            made.use_zone("ikeja")
            made.use_machines(MachineList(2, (gated("near"), gated("far", zone="yaba"))), 0.0)
            report(made, submitted(made), load=6)
            wanted = Ticket(route(target_latency=4.0), service(), 9.0)
            wanted.caller_deadline = 0.5 + caller_time
            made.submit(wanted, 0.5)
            self.assertTrue(wanted.caller_can_retry)
            self.assertEqual(wanted.backend and wanted.backend.name, zone)

    def test_a_long_body_leaves_its_zone_for_its_deadline_only(self) -> None:
        made = fleet(gated("near"), gated("far", zone="yaba"))
        report(made, submitted(made), load=8)
        upload = Ticket(route(target_latency=0.6), service(), 5.5, body_bytes=60_000)
        made.submit(upload, 0.5)
        self.assertEqual(upload.backend and upload.backend.name, "near")


class ComeBackTest(unittest.TestCase):
    """Callers that have time for another attempt are told to come back rather than held."""

    def refuse(self, made: Dispatcher, wanted: Ticket, now: float) -> RetryReason:
        made.note_answer(wanted, now, LoadReport(9, 2), leaving=False)
        made.finish(wanted, now, AttemptResult.REFUSED)
        error = GatewayRefusedError("refused", 0.1, "deadline-unmeetable")
        error.reached_backend = False
        return made.decide_retry(wanted, error, now, True).reason

    def busy_fleet(self) -> Dispatcher:
        made = fleet(gated("near"), gated("also"))
        for _ in range(2):
            report(made, submitted(made), load=9)
        return made

    def test_no_second_gateway_is_asked_that_is_not_expected_to_take_it_soon(self) -> None:
        made = self.busy_fleet()
        wanted = Ticket(route(target_latency=0.4), service(), 1.7, caller_deadline=3.0)
        made.submit(wanted, 0.5)
        self.assertEqual(wanted.wait_policy, WaitPolicy.RETRY)
        self.assertEqual(self.refuse(made, wanted, 0.5), RetryReason.NO_PROSPECT)

    def test_a_second_gateway_is_asked_only_where_a_slot_is_believed_free(self) -> None:
        made = self.busy_fleet()
        wanted = Ticket(route(target_latency=40.0), service(), 200.0, caller_deadline=200.0)
        made.submit(wanted, 0.5)
        self.assertEqual(self.refuse(made, wanted, 0.5), RetryReason.NO_PROSPECT)

    def test_a_caller_with_little_time_waits_and_all_gateways_are_asked(self) -> None:
        made = self.busy_fleet()
        wanted = Ticket(route(target_latency=0.4), service(), 1.7, caller_deadline=1.7)
        made.submit(wanted, 0.5)
        self.assertEqual(wanted.wait_policy, WaitPolicy.WAIT)
        self.assertEqual(self.refuse(made, wanted, 0.5), RetryReason.NEXT_GATEWAY)


class NewBackendTest(unittest.TestCase):
    """The machine list may bring a back end while requests are under way."""

    def test_it_takes_a_request_that_waits(self) -> None:
        made = fleet(gated("near"))
        made.finish(submitted(made), 0.1, AttemptResult.UNREACHABLE)
        waiting = Ticket(route(), service(), 5.0)
        waiting.expires_at = 4.0
        made.service("logbook").queue.push(waiting, 0.1)
        made.use_machines(MachineList(3, (gated("near"), gated("fresh"))), 0.2)
        self.assertEqual(waiting.backend and waiting.backend.name, "fresh")

    def test_it_may_be_asked_after_a_refusal(self) -> None:
        made = fleet(gated("near"))
        wanted = Ticket(route(target_latency=0.4), service(), 1.7, caller_deadline=3.0)
        made.submit(wanted, 0.0)
        made.use_machines(MachineList(3, (gated("near"), gated("fresh"))), 0.0)
        made.finish(wanted, 0.0, AttemptResult.REFUSED)
        error = GatewayRefusedError("refused", 0.1, "deadline-unmeetable")
        error.reached_backend = False
        decision = made.decide_retry(wanted, error, 0.0, True)
        self.assertEqual(decision.reason, RetryReason.NEXT_GATEWAY)


class SlownessTest(unittest.TestCase):
    def test_attempts_that_ran_into_their_deadline_count_as_slow(self) -> None:
        made = fleet(gated("a"), gated("bb"))
        for _ in range(20):
            report(made, submitted(made), load=0)
        slow = submitted(made)
        assert slow.backend is not None
        before = slow.backend.slowness
        made.finish(slow, 5.0, AttemptResult.TIMED_OUT)
        self.assertGreater(slow.backend.slowness, before)


class IdleGatewaysTest(unittest.TestCase):
    """What is known of a back end's speed while requests come one at a time."""

    def serve(self, made: Dispatcher, began: float, seconds: dict[str, float]) -> str:
        """Serve one request; return which back end had it."""
        ticket = submitted(made, began)
        assert ticket.backend is not None
        made.note_answer(ticket, began, LoadReport(1, 2), leaving=False)
        made.finish(ticket, began + seconds[ticket.backend.name], AttemptResult.ANSWERED)
        return ticket.backend.name

    def test_one_whose_first_answers_were_a_little_quicker_does_not_get_all(self) -> None:
        """Guards against idle back ends that were never asked again."""
        made = fleet(gated("a"), gated("bb"))
        for number in range(5):
            self.serve(made, number * 0.1, {"a": 0.012, "bb": 0.012})
        quicker = {"a": 0.010, "bb": 0.010}
        served = Counter(self.serve(made, 1 + number * 0.1, quicker) for number in range(40))
        self.assertEqual(set(served), {"a", "bb"})
        self.assertGreaterEqual(min(served.values()), 10)

    def test_one_that_was_slow_for_a_while_is_asked_again(self) -> None:
        """Guards against the same where it has been much slower once."""
        made = fleet(gated("a"), gated("bb"))
        for number in range(60):
            self.serve(made, number * 0.1, {"a": 0.01, "bb": 0.08 if number > 10 else 0.01})
        served = Counter(
            self.serve(made, 6 + number * 0.1, {"a": 0.01, "bb": 0.01}) for number in range(600)
        )
        self.assertGreaterEqual(served["bb"], 100)

    def test_one_that_is_much_slower_gets_little(self) -> None:
        made = fleet(gated("a"), gated("bb"))
        served = Counter(
            self.serve(made, number * 0.1, {"a": 0.01, "bb": 0.04}) for number in range(600)
        )
        self.assertLess(served["bb"], 60)


class RefusalTest(unittest.TestCase):
    def refuse(self, made: Dispatcher, ticket: Ticket) -> Ticket | None:
        made.finish(ticket, 0.0, AttemptResult.REFUSED)
        error = GatewayRefusedError("full", 0.1, "queue-full")
        return made.retry(ticket, error, 0.0, replayable=True)

    def test_a_refusal_leads_to_another_gateway_beyond_limit_and_budget(self) -> None:
        made = fleet(gated("a"), gated("bb"))
        for _ in range(50):
            ticket = submitted(made, retry_limit=0, retry_budget=0.0)
            again = self.refuse(made, ticket)
            assert again is not None
            made.submit(again, 0.0)
            assert again.backend is not None and ticket.backend is not None
            self.assertNotEqual(again.backend.name, ticket.backend.name)
            self.assertEqual(again.retries, 0)
            made.finish(again, 0.1, AttemptResult.ANSWERED)

    def test_no_gateway_is_asked_twice(self) -> None:
        made = fleet(gated("a"))
        self.assertIsNone(self.refuse(made, submitted(made)))

    def test_at_most_three_gateways_are_asked(self) -> None:
        made = fleet(*(gated("x" * index) for index in range(1, 9)))
        ticket: Ticket | None = submitted(made)
        asked = 0
        while ticket is not None:
            asked += 1
            ticket = self.refuse(made, ticket)
            if ticket is not None:
                made.submit(ticket, 0.0)
        self.assertEqual(asked, 3)

    def test_an_unreachable_gateway_is_left_alone_at_once(self) -> None:
        made = fleet(gated("a"), gated("bb"))
        ticket = submitted(made)
        assert ticket.backend is not None
        made.finish(ticket, 0.0, AttemptResult.UNREACHABLE)
        self.assertFalse(ticket.backend.usable(0.1))
        self.assertIsNotNone(made.retry(ticket, BackendUnreachableError("down"), 0.0, True))


class ReachTest(unittest.TestCase):
    def test_a_service_is_out_of_reach_while_all_its_gateways_are_left_alone(self) -> None:
        made = fleet(gated("a"), gated("bb"))
        self.assertTrue(made.can_reach_all(["logbook"], 0.0))
        for _ in range(2):
            made.finish(submitted(made), 0.0, AttemptResult.UNREACHABLE)
        self.assertFalse(made.can_reach_all(["logbook"], 0.1))
        self.assertTrue(made.can_reach_all(["logbook"], 10.0))

    def test_a_service_without_back_ends_does_not_make_a_node_unready(self) -> None:
        self.assertTrue(fleet().can_reach_all(["logbook"], 0.0))


class FleetBudgetTest(unittest.TestCase):
    def test_the_bursts_of_all_nodes_add_up_to_the_fleets(self) -> None:
        for nodes in (4, 12, 30):
            self.assertLessEqual(nodes * node_burst(nodes), FLEET_BURST + 1e-9)

    def test_retries_of_all_routes_of_a_service_draw_on_one_budget(self) -> None:
        machines = [gated("a"), gated("bb"), *(node(index) for index in range(12))]
        made = fleet(*machines)
        granted = 0
        for index in range(20):
            ticket = submitted(made, name=f"route-{index % 5}", retry_budget=0.0)
            made.finish(ticket, 0.0, AttemptResult.FAILED_BELOW)
            error = BackendFailedError("broke")
            granted += made.retry(ticket, error, 0.0, replayable=True) is not None
        self.assertEqual(granted, int(FLEET_BURST / 12))


class LateEntryTest(unittest.TestCase):
    def test_a_back_end_that_left_the_list_leaving_gets_no_work_when_a_late_entry_lists_it(
        self,
    ) -> None:
        made = fleet(gated("near"), gated("far", zone="yaba"))
        leaving = msgspec.structs.replace(gated("near"), state=MachineState.LEAVING)
        far = gated("far", zone="yaba")
        for number, listed in enumerate(((leaving, far), (far,), (gated("near"), far)), start=3):
            made.use_machines(MachineList(number, listed), 0.0)
        chosen = submitted(made)
        self.assertEqual(chosen.backend and chosen.backend.name, "far")


class ManyGatewaysTest(unittest.TestCase):
    """Choice where a zone has more gateways than are compared."""

    def many(self, seed: int) -> Dispatcher:
        machines = [gated(f"near-{index}") for index in range(40)]
        machines += [gated(f"far-{index}", "yaba") for index in range(40)]
        made = Dispatcher(Random(seed))
        made.use_zone("ikeja")
        made.use_machines(MachineList(2, tuple(machines)), 0.0)
        return made

    def test_senders_that_know_nothing_do_not_meet_at_one_gateway(self) -> None:
        chosen = Counter(submitted(self.many(seed)).backend.name for seed in range(200))  # type: ignore[union-attr]
        self.assertGreater(len(chosen), 30)
        self.assertLess(max(chosen.values()), 20)

    def test_the_last_usable_gateway_of_a_zone_is_found(self) -> None:
        made = self.many(1)
        for backend in made.service("logbook").backends:
            backend.leaving = backend.name != "near-39"
        self.assertEqual([submitted(made).backend.name for _ in range(5)], ["near-39"] * 5)  # type: ignore[union-attr]

    def test_a_free_gateway_of_the_zone_goes_before_other_zones(self) -> None:
        made = self.many(1)
        submitted(made)
        for backend in made.service("logbook").backends:
            if backend.zone == "ikeja" and backend.name != "near-7":
                backend.note_report(0.0, LoadReport(60, 2))
        made.service("logbook").mean_time = 0.5
        for _ in range(2):
            ticket = submitted(made, target_latency=1.0)
            self.assertEqual(ticket.backend.name, "near-7")  # type: ignore[union-attr]

    def test_an_untried_one_of_another_zone_goes_before_a_tried_one(self) -> None:
        made = self.many(1)
        near = tuple(f"near-{index}" for index in range(40))
        ticket = Ticket(route(repeatable=True), service(), 5.0, near)
        made.submit(ticket, 0.0)
        self.assertTrue(ticket.backend.name.startswith("far-"))  # type: ignore[union-attr]


class CrowdingTest(unittest.TestCase):
    """Senders whose reports are old: the fastest back end is not filled to its last slot."""

    def mean_wait(self, crowding: float, load: float) -> float:
        shape = Shape(nodes=18, backends=12, seconds=8.0)
        with mock.patch.object(choice, "CROWDING_FACTOR", crowding):
            results = [simulate_gateways(shape, load, seed) for seed in (1, 2, 3)]
        for result in results:
            self.assertGreaterEqual(result.goodput, load - 0.03)
        return sum(result.mean_wait for result in results) / len(results)

    def test_callers_wait_less_at_half_load(self) -> None:
        """Measured, lab overload --gateways --load 0.5: 10.6 ms (seed 1), now 9.7."""
        without, with_it = self.mean_wait(0.0, 0.5), self.mean_wait(choice.CROWDING_FACTOR, 0.5)
        self.assertLess(with_it, without)

    def test_of_two_equally_fast_ones_without_a_wait_the_emptier_is_asked(self) -> None:
        made = fleet(gated("one"), gated("two"))
        first = submitted(made)
        made.service("logbook").note_time("lookup", 0.2)
        self.assertNotEqual(submitted(made).backend, first.backend)
