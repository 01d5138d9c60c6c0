"""Which callers that do not read are waited for no longer."""

import unittest

from pewtertack.node.http.unread import (
    CROWDED_SECONDS,
    MOST_UNREAD,
    UNREAD_SECONDS,
    UnreadAnswers,
)


class Caller:
    def __init__(self) -> None:
        self.unsent = 70_000
        self.ended = False

    def end_unread(self) -> None:
        self.ended = True


class UnreadAnswersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.unread = UnreadAnswers()

    def silent(self, now: float = 0.0) -> Caller:
        caller = Caller()
        self.unread.begin(caller, now)
        return caller

    def test_one_that_takes_nothing_is_ended_after_some_seconds(self) -> None:
        caller = self.silent()
        self.assertIsNotNone(self.unread.look(caller, UNREAD_SECONDS - 0.01))
        self.assertFalse(caller.ended)
        self.assertIsNone(self.unread.look(caller, UNREAD_SECONDS))
        self.assertTrue(caller.ended)
        self.assertEqual(len(self.unread), 0)

    def test_one_that_takes_little_is_waited_for(self) -> None:
        caller = self.silent()
        now = 0.0
        for _ in range(20):
            now += UNREAD_SECONDS - 0.1
            caller.unsent -= 1
            self.assertIsNotNone(self.unread.look(caller, now))
        self.assertFalse(caller.ended)

    def test_of_too_many_the_longest_silent_is_ended_sooner(self) -> None:
        callers = [self.silent(index * 1e-6) for index in range(MOST_UNREAD + 2)]
        callers[0].unsent -= 1
        for caller in callers:
            self.unread.look(caller, CROWDED_SECONDS + 0.01)
        self.assertEqual([caller.ended for caller in callers[:4]], [False, True, True, False])
        self.assertEqual(len(self.unread), MOST_UNREAD)

    def test_one_that_has_read_or_gone_is_forgotten(self) -> None:
        caller = self.silent()
        self.unread.end(caller)
        self.assertIsNone(self.unread.look(caller, 2 * UNREAD_SECONDS))
        self.assertFalse(caller.ended)
        self.unread.end(caller)
