"""Until when a request may wait for a slot, where the times of answers differ much."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.lab.overload.returning import (
    ReturningResult,
    ReturningShape,
    simulate_returning,
)
from pewtertack.routing.admission import Admission
from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.margins import reserve_half, reserve_spread
from pewtertack.routing.outcomes import DeadlineUnmeetableError
from pewtertack.routing.patience import WaitPolicy
from pewtertack.routing.policies import Policies, RetryLaterPolicy, WaitMarginPolicy

SECONDS = st.floats(0.0, 100.0)


def prompt(objective: float) -> Any:
    return AdmissionTicket("lookup", (1, 0), objective, 9.0, WaitPolicy.RETRY)


def uneven(margin: WaitMarginPolicy) -> Admission:
    """Return an admission of one slot, taken, whose times are 0.1 and 0.4 s in turn."""
    admission = Admission(1, policies=Policies(margin=margin))
    for seconds in (0.1, 0.4) * 20:
        known = prompt(objective=9.0)
        admission.submit(known, 0.0)
        admission.finish(known, seconds, answered=True)
    admission.submit(prompt(objective=9.0), 0.0)
    return admission


class MarginTest(unittest.TestCase):
    def test_a_spread_that_leaves_no_time_refuses_whatever_finds_no_slot(self) -> None:
        with self.assertRaises(DeadlineUnmeetableError):
            uneven(WaitMarginPolicy.SPREAD).submit(prompt(objective=0.8), 0.0)

    def test_with_half_of_it_a_prompt_request_waits_for_the_next_slot(self) -> None:
        admission = uneven(WaitMarginPolicy.HALF)
        waiting = prompt(objective=0.8)
        admission.submit(waiting, 0.0)
        self.assertIsNone(waiting.refusal)
        admission.finish(prompt(objective=9.0), 0.2, answered=True)
        self.assertTrue(waiting.granted)

    def test_it_is_not_kept_where_its_answer_is_most_likely_late(self) -> None:
        for objective in (0.2, 0.4):
            with self.assertRaises(DeadlineUnmeetableError):
                uneven(WaitMarginPolicy.HALF).submit(prompt(objective=objective), 0.0)

    def test_it_is_told_to_come_back_while_half_of_its_time_is_left(self) -> None:
        admission = uneven(WaitMarginPolicy.HALF)
        waiting = prompt(objective=0.8)
        admission.submit(waiting, 0.0)
        usual = admission.expected_time("lookup")
        admission.recheck(waiting, (0.8 - usual) / 2 + 0.01)
        self.assertIsInstance(waiting.refusal, DeadlineUnmeetableError)

    def test_what_is_sure_to_be_in_time_waits_as_long_by_either(self) -> None:
        self.assertEqual(reserve_half(0.0, 1.0, 0.2), reserve_spread(0.0, 1.0, 0.2))

    @given(SECONDS, SECONDS, SECONDS)
    def test_half_never_waits_shorter_nor_beyond_a_usual_answer(
        self, arrived_at: float, latest: float, spread: float
    ) -> None:
        until = reserve_half(arrived_at, latest, spread)
        self.assertGreaterEqual(until, reserve_spread(arrived_at, latest, spread))
        self.assertLessEqual(until, latest)


class LoadTest(unittest.TestCase):
    """18 back ends of unlike speeds, some requests long, as much work as they can do."""

    def worth(self, margin: WaitMarginPolicy, load: float) -> float:
        shape = ReturningShape(
            nodes=18,
            backends=18,
            slots=6,
            seconds=4.0,
            load=load,
            speeds=(0.5, 0.5, 1.4),
            long_share=0.03,
            policies=Policies(margin=margin),
        )
        return simulate_returning(shape, seed=1).worth

    def test_callers_get_more_at_the_limit_of_what_back_ends_can_do(self) -> None:
        self.assertGreater(
            self.worth(WaitMarginPolicy.HALF, 1.0), self.worth(WaitMarginPolicy.SPREAD, 1.0)
        )

    def test_they_get_no_less_where_there_is_room(self) -> None:
        self.assertGreater(
            self.worth(WaitMarginPolicy.HALF, 0.7), self.worth(WaitMarginPolicy.SPREAD, 0.7) - 0.01
        )


class ReturningLoadTest(unittest.TestCase):
    """Callers that have some 2.5 times their objective, more than back ends can do."""

    def fates(self, returning: RetryLaterPolicy, load: float) -> ReturningResult:
        shape = ReturningShape(
            nodes=18,
            backends=18,
            slots=6,
            seconds=4.0,
            load=load,
            speeds=(0.7, 1.0, 1.3),
            deadlines=0.4,
            policies=Policies(margin=WaitMarginPolicy.HALF, returning=returning),
        )
        return simulate_returning(shape, seed=1)

    def test_more_are_served_in_time_where_nobody_waits_to_be_late(self) -> None:
        four, two = (self.fates(returning, 1.3) for returning in RetryLaterPolicy)
        self.assertGreater(two.worth, four.worth + 0.05)
        for kind in ("status", "reserve"):
            self.assertGreater(two.classes[kind].in_time, four.classes[kind].in_time)

    def test_it_changes_little_where_there_is_room(self) -> None:
        four, two = (self.fates(returning, 0.8) for returning in RetryLaterPolicy)
        self.assertGreater(two.worth, four.worth - 0.01)


if __name__ == "__main__":
    unittest.main()
