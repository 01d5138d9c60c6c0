"""What an answer's status and headers say of its attempt."""

import unittest

from pewtertack.routing.answers import end_of_answer
from pewtertack.routing.ends import AttemptEnd
from tests.routing.samples import dispatcher, ticket


class EndOfAnswerTest(unittest.TestCase):
    def test_a_failure_that_a_node_below_gave_is_neither_shed_nor_the_back_ends(self) -> None:
        for status in (500, 502, 503, 504):
            for outcome in (None, "not-run", "unknown"):
                end = end_of_answer(status, outcome, " Spent")
                self.assertIs(end, AttemptEnd.FAILED_BELOW)

    def test_the_mark_means_nothing_on_other_answers_or_with_another_value(self) -> None:
        self.assertIs(end_of_answer(200, None, "spent"), AttemptEnd.ANSWERED)
        self.assertIs(end_of_answer(404, "not-run", "spent"), AttemptEnd.ANSWERED)
        self.assertIs(end_of_answer(503, "not-run", "2"), AttemptEnd.SHED)

    def test_unmarked_answers_keep_their_meaning(self) -> None:
        self.assertIs(end_of_answer(503, "not-run", None), AttemptEnd.SHED)
        self.assertIs(end_of_answer(503, None, None), AttemptEnd.FAILED_STATUS)
        self.assertIs(end_of_answer(504, "not-run", None), AttemptEnd.ANSWERED)

    def test_failures_below_neither_eject_nor_slow_down_a_back_end(self) -> None:
        proxy = dispatcher("b0", "b1")
        limits = [item.limit.value for item in proxy.service("logbook").backends]
        for turn in range(40):
            attempt = ticket(deadline=turn + 5.0)
            proxy.submit(attempt, float(turn))
            proxy.finish(attempt, turn + 0.1, AttemptEnd.FAILED_BELOW)
        backends = proxy.service("logbook").backends
        self.assertFalse(any(item.health.ejected for item in backends))
        for backend, limit in zip(backends, limits, strict=True):
            self.assertGreaterEqual(backend.limit.value, limit)
