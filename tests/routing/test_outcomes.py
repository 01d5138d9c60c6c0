"""The status of a failure promises "not run" exactly where that is known."""

import unittest

from pewtertack.routing.outcomes import (
    BackendFailedError,
    DeadlineExceededError,
    DrainingError,
    InvalidRequestError,
    Outcome,
    RequestFailedError,
)


class AnswerStatusTest(unittest.TestCase):
    def test_it_follows_what_is_known(self) -> None:
        cases: tuple[tuple[type[RequestFailedError], Outcome, int], ...] = (
            (BackendFailedError, Outcome.UNKNOWN, 502),
            (BackendFailedError, Outcome.NOT_RUN, 503),
            (DeadlineExceededError, Outcome.UNKNOWN, 504),
            (DeadlineExceededError, Outcome.NOT_RUN, 503),
            (DrainingError, Outcome.UNKNOWN, 502),
            (DrainingError, Outcome.NOT_RUN, 503),
            (InvalidRequestError, Outcome.NOT_RUN, 400),
        )
        for kind, outcome, status in cases:
            with self.subTest(kind.__name__, outcome=outcome):
                self.assertEqual(kind("").with_outcome(outcome).response_status, status)
