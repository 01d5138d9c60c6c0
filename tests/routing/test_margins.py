"""The latest start of a request where the times of answers vary."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.lab.overload.retrying_callers import (
    RetrySimulationResult,
    RetrySimulationSettings,
    simulate_retrying_callers,
)
from pewtertack.routing.admission import Admission
from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.margins import reserve_half, reserve_spread
from pewtertack.routing.outcomes import DeadlineUnmeetableError
from pewtertack.routing.patience import WaitPolicy
from pewtertack.routing.policies import Policies, RetryLaterPolicy, WaitMarginPolicy

SECONDS = st.floats(0.0, 100.0)


def retry_ticket(objective: float) -> Any:
    return AdmissionTicket("lookup", (1, 0), objective, 9.0, WaitPolicy.RETRY)


def uneven(margin: WaitMarginPolicy) -> Admission:
    """Return an admission of one occupied slot, whose times alternate between 0.1 and 0.4 s."""
    admission = Admission(1, policies=Policies(margin=margin))
    for seconds in (0.1, 0.4) * 20:
        known = retry_ticket(objective=9.0)
        admission.submit(known, 0.0)
        admission.finish(known, seconds, answered=True)
    admission.submit(retry_ticket(objective=9.0), 0.0)
    return admission


class MarginTest(unittest.TestCase):
    def test_a_spread_that_leaves_no_time_refuses_all_without_a_free_slot(self) -> None:
        with self.assertRaises(DeadlineUnmeetableError):
            uneven(WaitMarginPolicy.SPREAD).submit(retry_ticket(objective=0.8), 0.0)

    def test_with_half_reserved_a_request_waits_for_the_next_slot(self) -> None:
        admission = uneven(WaitMarginPolicy.HALF)
        waiting = retry_ticket(objective=0.8)
        admission.submit(waiting, 0.0)
        self.assertIsNone(waiting.refusal)
        admission.finish(retry_ticket(objective=9.0), 0.2, answered=True)
        self.assertTrue(waiting.granted)

    def test_it_is_refused_if_its_answer_is_most_likely_late(self) -> None:
        for objective in (0.2, 0.4):
            with self.assertRaises(DeadlineUnmeetableError):
                uneven(WaitMarginPolicy.HALF).submit(retry_ticket(objective=objective), 0.0)

    def test_it_is_refused_while_half_of_its_time_is_left(self) -> None:
        admission = uneven(WaitMarginPolicy.HALF)
        waiting = retry_ticket(objective=0.8)
        admission.submit(waiting, 0.0)
        usual = admission.expected_time("lookup")
        admission.recheck(waiting, (0.8 - usual) / 2 + 0.01)
        self.assertIsInstance(waiting.refusal, DeadlineUnmeetableError)

    def test_a_small_spread_is_reserved_fully_by_both_policies(self) -> None:
        self.assertEqual(reserve_half(0.0, 1.0, 0.2), reserve_spread(0.0, 1.0, 0.2))

    @given(SECONDS, SECONDS, SECONDS)
    def test_half_never_waits_shorter_nor_beyond_the_latest_start(
        self, arrived_at: float, latest: float, spread: float
    ) -> None:
        until = reserve_half(arrived_at, latest, spread)
        self.assertGreaterEqual(until, reserve_spread(arrived_at, latest, spread))
        self.assertLessEqual(until, latest)


class LoadTest(unittest.TestCase):
    """18 back ends of unequal speeds with some long requests, loaded to their capacity."""

    def worth(self, margin: WaitMarginPolicy, load: float) -> float:
        shape = RetrySimulationSettings(
            nodes=18,
            backends=18,
            slots=6,
            seconds=4.0,
            load=load,
            speeds=(0.5, 0.5, 1.4),
            long_share=0.03,
            policies=Policies(margin=margin),
        )
        return simulate_retrying_callers(shape, seed=1).worth

    def test_callers_get_more_at_full_load(self) -> None:
        self.assertGreater(
            self.worth(WaitMarginPolicy.HALF, 1.0), self.worth(WaitMarginPolicy.SPREAD, 1.0)
        )

    def test_callers_get_no_less_below_full_load(self) -> None:
        self.assertGreater(
            self.worth(WaitMarginPolicy.HALF, 0.7), self.worth(WaitMarginPolicy.SPREAD, 0.7) - 0.01
        )


class RetryLaterLoadTest(unittest.TestCase):
    """Callers with about 2.5 times their objective, beyond the back ends' capacity."""

    def results(self, returning: RetryLaterPolicy, load: float) -> RetrySimulationResult:
        shape = RetrySimulationSettings(
            nodes=18,
            backends=18,
            slots=6,
            seconds=4.0,
            load=load,
            speeds=(0.7, 1.0, 1.3),
            deadlines=0.4,
            policies=Policies(margin=WaitMarginPolicy.HALF, returning=returning),
        )
        return simulate_retrying_callers(shape, seed=1)

    def test_more_requests_are_in_time_if_late_ones_are_refused(self) -> None:
        four, two = (self.results(returning, 1.3) for returning in RetryLaterPolicy)
        self.assertGreater(two.worth, four.worth + 0.05)
        for kind in ("status", "reserve"):
            self.assertGreater(two.classes[kind].in_time, four.classes[kind].in_time)

    def test_the_policies_differ_little_below_full_load(self) -> None:
        four, two = (self.results(returning, 0.8) for returning in RetryLaterPolicy)
        self.assertGreater(two.worth, four.worth - 0.01)


if __name__ == "__main__":
    unittest.main()
