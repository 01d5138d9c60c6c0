"""What an answer's status and headers say of its attempt."""

import unittest

from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.response_results import result_of_response
from tests.routing.samples import dispatcher, ticket


class EndOfAnswerTest(unittest.TestCase):
    def test_a_failure_that_a_node_below_gave_is_neither_shed_nor_the_back_ends(self) -> None:
        for status in (500, 502, 503, 504):
            for outcome in (None, "not-run", "unknown"):
                end = result_of_response(status, outcome, " Spent")
                self.assertIs(end, AttemptResult.FAILED_BELOW)

    def test_the_mark_means_nothing_on_other_answers_or_with_another_value(self) -> None:
        self.assertIs(result_of_response(200, None, "spent"), AttemptResult.ANSWERED)
        self.assertIs(result_of_response(404, "not-run", "spent"), AttemptResult.ANSWERED)
        self.assertIs(result_of_response(503, "not-run", "2"), AttemptResult.SHED)

    def test_unmarked_answers_keep_their_meaning(self) -> None:
        self.assertIs(result_of_response(503, "not-run", None), AttemptResult.SHED)
        self.assertIs(result_of_response(503, None, None), AttemptResult.FAILED_STATUS)
        self.assertIs(result_of_response(504, "not-run", None), AttemptResult.ANSWERED)

    def test_failures_below_neither_eject_nor_slow_down_a_back_end(self) -> None:
        proxy = dispatcher("b0", "b1")
        limits = [item.limit.value for item in proxy.service("logbook").backends]
        for turn in range(40):
            attempt = ticket(deadline=turn + 5.0)
            proxy.submit(attempt, float(turn))
            proxy.finish(attempt, turn + 0.1, AttemptResult.FAILED_BELOW)
        backends = proxy.service("logbook").backends
        self.assertFalse(any(item.health.ejected for item in backends))
        for backend, limit in zip(backends, limits, strict=True):
            self.assertGreaterEqual(backend.limit.value, limit)
