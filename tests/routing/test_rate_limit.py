"""The limit of requests a second that a back end names: parsing, which answer counts, starts."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.routing.rate_limit import (
    BURST_SECONDS,
    ENDED,
    MIN_RATE,
    NAMED,
    REPORTED,
    RateLimit,
)
from pewtertack.routing.rate_reports import (
    InvalidRateError,
    KnownRate,
    RateReport,
    format_rate_report,
    parse_rate,
    parse_rate_report,
)

WINDOW_SECONDS = 4.0
HALF_A_THOUSANDTH = 0.000501
"""Reports have three decimals; the rest is the rounding of floating-point numbers."""


class ParseRateTest(unittest.TestCase):
    def test_decimal_numbers(self) -> None:
        for text, rate in (
            ("0", 0.0),
            ("2.3", 2.3),
            (" 0.25 ", 0.25),
            ("1234567890", 1234567890.0),
        ):
            self.assertEqual(parse_rate((text,)), rate)

    def test_no_header_names_no_limit(self) -> None:
        self.assertIsNone(parse_rate(()))

    def test_anything_else_is_invalid(self) -> None:
        for text in ("", "-1", "+2", "nan", "inf", "1e3", "2,3", ".5", "2.", "٣", "9" * 21, "2 3"):
            with self.subTest(text), self.assertRaises(InvalidRateError):
                parse_rate((text,))

    def test_two_headers_are_invalid_even_if_they_agree(self) -> None:
        with self.assertRaisesRegex(InvalidRateError, "2 limits"):
            parse_rate(("2.3", "2.3"))

    @given(st.text(max_size=40))
    def test_any_text_gives_a_number_or_the_typed_error(self, text: str) -> None:
        try:
            rate = parse_rate((text,))
        except InvalidRateError:
            return
        assert rate is not None
        self.assertTrue(0 <= rate < float("inf"))


class RateLimitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limit = RateLimit()

    def test_an_answer_names_and_a_later_one_ends_it(self) -> None:
        self.assertEqual(self.limit.note_answer(1.0, 1.1, 2.5), NAMED)
        self.assertEqual(self.limit.rate, 2.5)
        self.assertIsNone(self.limit.note_answer(1.2, 1.3, 2.5))
        self.assertEqual(self.limit.note_answer(1.4, 1.5, None), ENDED)
        self.assertIsNone(self.limit.rate)

    def test_an_answer_to_an_earlier_request_neither_ends_nor_raises_it(self) -> None:
        self.limit.note_answer(1.0, 2.0, 2.5)
        self.assertIsNone(self.limit.note_answer(1.5, 2.1, None))
        self.assertIsNone(self.limit.note_answer(1.5, 2.1, 9.0))
        self.assertEqual(self.limit.rate, 2.5)
        self.assertEqual(self.limit.note_answer(1.5, 2.2, 1.0), NAMED)
        self.assertEqual(self.limit.rate, 1.0)

    def test_a_later_answer_raises_it(self) -> None:
        self.limit.note_answer(1.0, 2.0, 2.5)
        self.assertEqual(self.limit.note_answer(2.0, 2.1, 9.0), NAMED)
        self.assertEqual(self.limit.rate, 9.0)

    def test_another_node_s_report_counts_until_the_first_own_answer(self) -> None:
        self.assertEqual(self.limit.note_report(RateReport(2.0, 1.0), 10.0), REPORTED)
        self.assertIsNone(self.limit.note_report(RateReport(8.0, 3.0), 10.1))  # an older one
        self.assertEqual(self.limit.rate, 2.0)
        self.assertEqual(self.limit.note_report(RateReport(4.0, 0.0), 10.2), REPORTED)
        self.assertEqual(self.limit.note_answer(10.3, 10.4, None), ENDED)
        self.assertIsNone(self.limit.note_report(RateReport(4.0, 0.0), 10.5))
        self.assertIsNone(self.limit.rate)

    def test_starts_under_a_reported_limit_count_from_the_report_s_age(self) -> None:
        self.limit.note_report(RateReport(2.0, 0.2), 10.0)
        self.assertAlmostEqual(self.limit.seconds_until_start(10.0), 0.3)
        self.assertTrue(self.limit.may_start(10.3))

    def test_without_a_limit_everything_may_start(self) -> None:
        for _ in range(100):
            self.assertTrue(self.limit.may_start(1.0))
            self.limit.note_start(1.0)

    def test_a_limit_of_zero_lets_one_request_in_five_seconds_find_out_when_it_ends(self) -> None:
        self.limit.note_answer(0.0, 0.0, 0.0)
        self.assertFalse(self.limit.may_start(4.9))
        self.assertTrue(self.limit.may_start(1 / MIN_RATE))
        self.limit.note_start(5.0)
        self.assertFalse(self.limit.may_start(9.9))

    def test_a_suspended_node_does_not_catch_up(self) -> None:
        self.limit.note_answer(0.0, 0.0, 10.0)
        starts = 0
        while self.limit.may_start(100.0):
            self.limit.note_start(100.0)
            starts += 1
        self.assertEqual(starts, 10.0 * BURST_SECONDS)

    @given(
        st.floats(0.0, 50.0),
        st.lists(st.tuples(st.floats(0.0, 1.5), st.booleans()), min_size=1, max_size=300),
    )
    def test_starts_in_any_window_stay_below_the_bound(
        self, rate: float, tries: list[tuple[float, bool]]
    ) -> None:
        limit, now, starts = RateLimit(), 0.0, []
        limit.note_answer(0.0, 0.0, rate)
        for pause, confirmed in tries:
            now += pause
            if confirmed:
                limit.note_answer(now, now, rate)
            if limit.may_start(now):
                limit.note_start(now)
                starts.append(now)
        for begin in starts:
            count = sum(begin <= at < begin + WINDOW_SECONDS for at in starts)
            self.assertLessEqual(count, 1.5 * rate * WINDOW_SECONDS + 5)


class RateReportTest(unittest.TestCase):
    @given(st.floats(0.0, 1e6), st.floats(0.0, 3600.0))
    def test_a_report_is_read_as_it_was_written(self, rate: float, seconds: float) -> None:
        report = parse_rate_report(format_rate_report(RateReport(rate, seconds)))
        assert report is not None
        self.assertAlmostEqual(report.rate, rate, delta=HALF_A_THOUSANDTH)
        self.assertAlmostEqual(report.seconds, seconds, delta=HALF_A_THOUSANDTH)

    def test_values_beyond_the_bounds_are_reported_as_the_bounds(self) -> None:
        text = format_rate_report(RateReport(1e300, float("inf")))
        report = parse_rate_report(text)
        assert report is not None
        self.assertEqual((report.rate, report.seconds), (1e6, 3600.0))

    def test_malformed_reports_are_none(self) -> None:
        for text in ("", "2", "2/", "/5", "-1/5", "nan/5", "2/-5", "2/5.5", "2/٣", "2" * 24 + "/1"):
            self.assertIsNone(parse_rate_report(text), text)


class KnownRateTest(unittest.TestCase):
    def test_each_request_of_the_sender_takes_its_turn(self) -> None:
        known = KnownRate(2.0, now=10.0, wait=0.3)
        self.assertAlmostEqual(known.wait(10.1), 0.2)
        self.assertEqual(known.wait(10.4), 0.0)
        known.note_start(10.4)
        self.assertAlmostEqual(known.wait(10.4), 0.5)

    def test_only_a_share_keeps_requests_back(self) -> None:
        self.assertTrue(KnownRate(2.0, 10.0, wait=1.0).may_send(10.0))
        self.assertFalse(KnownRate(2.0, 10.0, wait=1.0, is_share=True).may_send(10.0))
