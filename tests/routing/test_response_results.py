"""Results of attempts by the status and headers of their answers."""

import unittest

from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.response_results import result_of_response
from tests.routing.samples import dispatcher, ticket


class ResponseResultTest(unittest.TestCase):
    def test_a_failure_of_a_node_further_down_is_not_the_back_ends(self) -> None:
        for status in (500, 502, 503, 504):
            for outcome in (None, "not-run", "unknown"):
                result = result_of_response(status, outcome, " Spent")
                self.assertIs(result, AttemptResult.FAILED_BELOW)

    def test_the_mark_is_ignored_on_other_answers_or_with_another_value(self) -> None:
        self.assertIs(result_of_response(200, None, "spent"), AttemptResult.ANSWERED)
        self.assertIs(result_of_response(404, "not-run", "spent"), AttemptResult.ANSWERED)
        self.assertIs(result_of_response(503, "not-run", "2"), AttemptResult.SHED)

    def test_unmarked_answers_are_classified_by_status_and_outcome(self) -> None:
        self.assertIs(result_of_response(503, "not-run", None), AttemptResult.SHED)
        self.assertIs(result_of_response(503, None, None), AttemptResult.FAILED_STATUS)
        self.assertIs(result_of_response(504, "not-run", None), AttemptResult.ANSWERED)

    def test_failures_further_down_neither_eject_nor_limit_a_back_end(self) -> None:
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
