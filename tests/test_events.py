"""The catalogue of log events, and the documentation page generated from it."""

import unittest

from tools.write_reference import EVENTS_PAGE, events_page

from pewtertack.events import Event


class EventsTest(unittest.TestCase):
    def test_committed_page_matches_the_catalogue(self) -> None:
        self.assertEqual(EVENTS_PAGE.read_text(), events_page(), "run tools/write_reference.py")

    def test_numbers_are_unique_and_descriptions_are_sentences(self) -> None:
        numbers = [event.number for event in Event]
        self.assertEqual(len(numbers), len(set(numbers)))
        for event in Event:
            self.assertRegex(event.meaning, r"^[A-Z].*\.$")
