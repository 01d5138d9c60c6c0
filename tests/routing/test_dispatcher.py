"""Limits, queues, ejection and retries of a proxy; the tests set the time."""

import unittest
from random import Random

from pewtertack.core.configuration.resolved import WorkClass
from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.backend import LoadReport
from pewtertack.routing.backend_events import BackendEvent, BackendLeaving, BackendListed
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.routing.limit import ServiceLimit
from pewtertack.routing.outcomes import (
    BackendFailedError,
    BackendUnreachableError,
    DeadlineUnmeetableError,
    NoBackendError,
    QueueFullError,
    RequestFailedError,
)
from pewtertack.routing.queueing import Ticket
from tests.routing.samples import dispatcher, machines, service, ticket


def submitted(subject: Dispatcher, now: float, request: Ticket) -> Ticket:
    subject.submit(request, now)
    return request


def end(subject: Dispatcher, request: Ticket, now: float, result: AttemptResult) -> None:
    if result is AttemptResult.ANSWERED:
        subject.note_answer(request, now, None, leaving=False)
    subject.finish(request, now, result)


def fail_until_ejected(subject: Dispatcher, now: float = 0.0) -> None:
    for _ in range(3):
        end(subject, submitted(subject, now, ticket(now + 5)), now, AttemptResult.UNREACHABLE)


class LimitTest(unittest.TestCase):
    def test_the_limit_grows_to_the_slots_and_shrinks_after_shedding(self) -> None:
        subject = dispatcher("a")
        for turn in range(40):
            requests = [ticket(turn + 5.0) for _ in range(8)]
            for request in requests:
                subject.submit(request, float(turn))
            for request in requests:  # in order of their grants
                end(subject, request, turn + 0.5, AttemptResult.ANSWERED)
        requests = [submitted(subject, 100.0, ticket(105.0)) for _ in range(8)]
        granted = [request for request in requests if request.backend]
        self.assertEqual(len(granted), 6)
        for request in granted:
            end(subject, request, 100.1, AttemptResult.SHED)
        assert granted[0].backend is not None
        self.assertLess(granted[0].backend.limit.value, 6)

    def test_a_back_end_over_its_slots_shrinks_the_limit(self) -> None:
        subject = dispatcher("a")
        request = submitted(subject, 0.0, ticket())
        assert request.backend is not None
        subject.note_answer(request, 0.1, LoadReport(9, 6), leaving=False)
        subject.finish(request, 0.1, AttemptResult.ANSWERED)
        self.assertLess(request.backend.limit.value, 2)

    def test_a_back_end_that_sheds_a_single_request_is_paused(self) -> None:
        subject = dispatcher("a")
        for _ in range(2):
            end(subject, submitted(subject, 0.0, ticket()), 0.0, AttemptResult.SHED)
        waiting = submitted(subject, 0.0, ticket())
        self.assertIsNone(waiting.backend)
        subject.check(waiting, 1.5)
        self.assertIsNotNone(waiting.backend)


class ServiceLimitTest(unittest.TestCase):
    def test_a_limit_below_one_becomes_a_pause(self) -> None:
        limit = ServiceLimit()
        for turn in range(60):
            limit.note_shed(float(turn), float(turn))
        self.assertLess(limit.value, 0.5)
        limit.note_finished(100.0, 0.1)
        self.assertFalse(limit.allows(100.05, 0, urgent=False))
        self.assertTrue(limit.allows(100.05, 0, urgent=True))
        self.assertTrue(limit.allows(101.0, 0, urgent=False))

    def test_reports_alone_do_not_starve_a_service(self) -> None:
        limit = ServiceLimit()
        for _ in range(1000):
            limit.note_full(10.0, in_flight=int(limit.value))
        self.assertGreaterEqual(limit.value, 4)

    def test_full_back_ends_that_also_shed_leave_capacity_for_urgent_requests(self) -> None:
        limit = ServiceLimit()
        limit.note_shed(10.0, 10.0)
        for _ in range(100):
            limit.note_full(10.1, in_flight=int(limit.value))
        self.assertLess(limit.value, 3)
        self.assertGreaterEqual(limit.value, 0.1)

    def test_urgent_requests_overtake_the_head_of_the_queue(self) -> None:
        subject = dispatcher("a", "b", "c")
        running = [submitted(subject, 0.0, ticket()) for _ in range(5)]
        self.assertEqual(sum(item.backend is not None for item in running), 4)
        for _ in range(10):
            urgent = submitted(subject, 0.0, ticket(work_class=WorkClass.URGENT))
            self.assertIsNotNone(urgent.backend)
            end(subject, urgent, 0.0, AttemptResult.CANCELLED)


class QueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.subject = dispatcher("a")
        self.running = [submitted(self.subject, 0.0, ticket(50.0)) for _ in range(2)]

    def test_urgent_requests_go_first_and_background_still_progresses(self) -> None:
        waiting = [
            submitted(
                self.subject,
                0.0,
                ticket(50.0, work_class=work_class, name=work_class, queue_limit=200),
            )
            for work_class in (WorkClass.BACKGROUND, WorkClass.URGENT)
            for _ in range(150)
        ]
        order: list[WorkClass] = []
        running = self.running
        while len(order) < 100:
            end(self.subject, running.pop(0), 0.1, AttemptResult.ANSWERED)
            granted = [item for item in waiting if item.backend and item not in running]
            fresh = [item for item in granted if not item.finished]
            running.extend(fresh)
            order.extend(item.route.work_class for item in fresh)
        self.assertEqual(set(order[:10]), {WorkClass.URGENT})
        self.assertTrue(1 <= order.count(WorkClass.BACKGROUND) <= 4)

    def test_a_full_queue_refuses_at_once_with_retry_after(self) -> None:
        for _ in range(3):
            submitted(self.subject, 0.0, ticket(queue_limit=3))
        with self.assertRaises(QueueFullError) as caught:
            submitted(self.subject, 0.0, ticket(queue_limit=3))
        self.assertGreater(caught.exception.retry_after or 0, 0)

    def test_a_deadline_that_cannot_be_met_is_refused_early(self) -> None:
        end(self.subject, self.running[0], 1.0, AttemptResult.ANSWERED)
        for _ in range(3):
            submitted(self.subject, 1.0, ticket(60.0))
        submitted(self.subject, 1.0, ticket(4.5))
        with self.assertRaises(DeadlineUnmeetableError):
            submitted(self.subject, 1.0, ticket(3.5))

    def test_the_time_in_the_queue_is_bounded(self) -> None:
        waiting = submitted(self.subject, 0.0, ticket(1000.0))
        check_at = 0.0
        while waiting.refusal is None and check_at < 20:
            check_at = self.subject.check(waiting, check_at)
        self.assertIsInstance(waiting.refusal, DeadlineUnmeetableError)
        self.assertLessEqual(check_at, 3.5)

    def test_a_request_is_refused_once_its_turn_is_expected_too_late(self) -> None:
        end(self.subject, self.running[0], 1.0, AttemptResult.ANSWERED)
        submitted(self.subject, 1.0, ticket(50.0))
        waiting = submitted(self.subject, 1.0, ticket(50.0))
        self.subject.check(waiting, 1.1)
        self.assertIsNone(waiting.refusal)
        self.subject.service("logbook").limit.value = 0.1
        self.subject.check(waiting, 1.2)
        self.assertIsInstance(waiting.refusal, DeadlineUnmeetableError)

    def test_a_withdrawn_request_leaves_the_queue(self) -> None:
        waiting = submitted(self.subject, 0.0, ticket(50.0))
        self.subject.withdraw(waiting)
        end(self.subject, self.running[0], 0.1, AttemptResult.ANSWERED)
        self.assertIsNone(waiting.backend)


class LeavingTest(unittest.TestCase):
    def test_leaving_is_reported_once_for_an_incarnation(self) -> None:
        events: list[BackendEvent] = []

        def note(event: BackendEvent) -> None:
            if not isinstance(event, BackendListed):  # changes of the list are separate events
                events.append(event)

        subject = Dispatcher(Random(1), note)
        subject.use_machines(machines("b1"), 0.0)
        requests = [ticket(), ticket()]
        for request in requests:
            subject.submit(request, 0.0)
        for request in requests:
            subject.note_answer(request, 0.1, None, leaving=True)
        first = requests[0].backend
        assert first is not None
        self.assertEqual(events, [BackendLeaving(first)])
        subject.use_machines(machines("b1", number=2, address="127.0.0.1:2"), 1.0)
        replaced = ticket()
        subject.submit(replaced, 1.0)
        subject.note_answer(replaced, 1.1, None, leaving=True)
        self.assertEqual(len(events), 2)


class EjectionTest(unittest.TestCase):
    def test_a_failing_back_end_is_ejected_and_reinstated_by_one_trial(self) -> None:
        subject = dispatcher("a")
        fail_until_ejected(subject)
        with self.assertRaises(NoBackendError) as caught:
            subject.submit(ticket(), 1.0)
        self.assertGreaterEqual(caught.exception.retry_after or 0, 4.0)
        trial = submitted(subject, 6.0, ticket(20.0))
        self.assertTrue(trial.trial)
        second = submitted(subject, 6.0, ticket(20.0)) if trial.backend is None else None
        self.assertIsNone(second)
        end(subject, trial, 6.1, AttemptResult.ANSWERED)
        self.assertFalse(submitted(subject, 6.2, ticket(20.0)).trial)

    def test_a_failed_trial_ejects_for_longer(self) -> None:
        subject = dispatcher("a")
        fail_until_ejected(subject)
        end(subject, submitted(subject, 6.0, ticket(20.0)), 6.0, AttemptResult.UNREACHABLE)
        with self.assertRaises(NoBackendError):
            subject.submit(ticket(20.0), 12.0)
        self.assertTrue(submitted(subject, 16.5, ticket(20.0)).trial)

    def test_a_late_answer_does_not_reinstate_an_ejected_back_end(self) -> None:
        subject = dispatcher("a")
        settings = service(ejection_failures=1)
        early, failing = (submitted(subject, 0.0, ticket(50.0, settings)) for _ in range(2))
        end(subject, failing, 0.0, AttemptResult.BROKEN)
        end(subject, early, 1.0, AttemptResult.ANSWERED)
        with self.assertRaises(NoBackendError):
            subject.submit(ticket(), 1.0)

    def test_failing_answers_eject_at_most_half_of_the_back_ends(self) -> None:
        subject = dispatcher("a", "b", "c", "d")
        for _ in range(60):
            end(subject, submitted(subject, 0.0, ticket()), 0.0, AttemptResult.FAILED_STATUS)
        members = {submitted(subject, 0.0, ticket(queue_limit=50)).backend for _ in range(4)}
        self.assertEqual(len({item.name for item in members if item}), 2)

    def test_requests_marked_as_hung_do_not_eject_the_back_end(self) -> None:
        for hung in (False, True):
            subject = dispatcher("a")
            for _ in range(3):
                request = submitted(subject, 0.0, ticket())
                if hung:
                    subject.note_hung(request, 2.0, LoadReport(1, 6))
                end(subject, request, 5.0, AttemptResult.TIMED_OUT)
            assert request.backend is not None
            self.assertEqual(request.backend.health.allows_request(5.0), hung)

    def test_short_deadlines_do_not_eject(self) -> None:
        subject = dispatcher("a")
        for _ in range(10):
            end(subject, submitted(subject, 0.0, ticket()), 0.1, AttemptResult.TIMED_OUT)
        self.assertFalse(submitted(subject, 1.0, ticket()).trial)


class RetryTest(unittest.TestCase):
    def retried(
        self, error: RequestFailedError, replayable: bool = True, now: float = 0.0, **route: object
    ) -> Ticket | None:
        subject = dispatcher("a", "b")
        request = submitted(subject, 0.0, ticket(**route))  # type: ignore[arg-type]
        subject.finish(request, now, AttemptResult.BROKEN)
        return subject.retry(request, error, now, replayable)

    def test_only_requests_that_did_not_run_or_are_repeatable_are_retried(self) -> None:
        unknown, not_run = BackendFailedError("x"), BackendUnreachableError("x")
        self.assertIsNone(self.retried(unknown))
        self.assertIsNotNone(self.retried(unknown, repeatable=True))
        self.assertIsNotNone(self.retried(not_run))
        self.assertIsNone(self.retried(not_run, replayable=False))
        self.assertIsNone(self.retried(not_run, retry_limit=0))
        self.assertIsNone(self.retried(not_run, now=6.0))

    def test_another_back_end_is_tried(self) -> None:
        subject = dispatcher("a", "b", "c")
        request = submitted(subject, 0.0, ticket())
        tried = []
        while request is not None:
            assert request.backend is not None
            tried.append(request.backend.name)
            subject.finish(request, 0.0, AttemptResult.UNREACHABLE)
            next_request = subject.retry(request, BackendUnreachableError("x"), 0.0, True)
            if next_request is None:
                break
            request = submitted(subject, 0.0, next_request)
        self.assertEqual(sorted(tried), ["a", "b", "c"])

    def test_retries_stay_within_the_budget(self) -> None:
        subject = dispatcher("a", "b")
        retries = 0
        settings = service(ejection_failures=10**6)
        for turn in range(1000):
            now = turn * 10.0
            request = submitted(subject, now, ticket(now + 5, settings))
            if request.backend is None:
                continue
            subject.finish(request, now, AttemptResult.UNREACHABLE)
            again = subject.retry(request, BackendUnreachableError("x"), now, True)
            retries += again is not None
        self.assertTrue(90 <= retries <= 115, retries)


class ForgettingTest(unittest.TestCase):
    def test_a_service_out_of_force_is_forgotten_once_idle(self) -> None:
        subject = dispatcher("a")
        request = submitted(subject, 0.0, ticket())
        subject.keep_only((), (), 0.0)
        self.assertEqual(len(subject.services()), 1)
        subject.finish(request, 0.1, AttemptResult.ANSWERED)
        subject.keep_only((), (), 0.0)
        self.assertEqual(subject.services(), ())
