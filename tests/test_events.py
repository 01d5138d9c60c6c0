"""The catalogue of log events and its page."""

import unittest

from tools.write_reference import EVENTS_PAGE, events_page

from pewtertack.events import Event


class EventsTest(unittest.TestCase):
    def test_the_committed_page_is_that_of_the_code(self) -> None:
        self.assertEqual(EVENTS_PAGE.read_text(), events_page(), "run tools/write_reference.py")

    def test_numbers_are_unique_and_meanings_are_sentences(self) -> None:
        numbers = [event.number for event in Event]
        self.assertEqual(len(numbers), len(set(numbers)))
        for event in Event:
            self.assertRegex(event.meaning, r"^[A-Z].*\.$")
