"""The status of a failure means "not run" only where that is certain."""

import unittest

from pewtertack.routing.outcomes import (
    BackendFailedError,
    DeadlineExceededError,
    DrainingError,
    InvalidRequestError,
    Outcome,
    RequestFailedError,
)


class ResponseStatusTest(unittest.TestCase):
    def test_the_status_follows_the_outcome(self) -> None:
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
