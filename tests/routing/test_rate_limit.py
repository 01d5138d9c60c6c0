"""The limit of requests a second that a back end names: parsing, and which answer counts."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.routing.rate_limit import InvalidRateError, RateChange, RateLimit, parse_rate


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
        self.assertIs(self.limit.note_answer(1.0, 1.1, 2.5), RateChange.NAMED)
        self.assertEqual(self.limit.rate, 2.5)
        self.assertIsNone(self.limit.note_answer(1.2, 1.3, 2.5))
        self.assertIs(self.limit.note_answer(1.4, 1.5, None), RateChange.ENDED)
        self.assertIsNone(self.limit.rate)

    def test_an_answer_to_an_earlier_request_neither_ends_nor_raises_it(self) -> None:
        self.limit.note_answer(1.0, 2.0, 2.5)
        self.assertIsNone(self.limit.note_answer(1.5, 2.1, None))
        self.assertIsNone(self.limit.note_answer(1.5, 2.1, 9.0))
        self.assertEqual(self.limit.rate, 2.5)
        self.assertIs(self.limit.note_answer(1.5, 2.2, 1.0), RateChange.NAMED)
        self.assertEqual(self.limit.rate, 1.0)

    def test_a_later_answer_raises_it(self) -> None:
        self.limit.note_answer(1.0, 2.0, 2.5)
        self.assertIs(self.limit.note_answer(2.0, 2.1, 9.0), RateChange.NAMED)
        self.assertEqual(self.limit.rate, 9.0)
