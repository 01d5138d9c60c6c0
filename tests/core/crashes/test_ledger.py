"""What is known of requests under which back ends ended."""

import unittest

from pewtertack.core.crashes.fingerprint import fingerprint_of, head_digest
from pewtertack.core.crashes.ledger import (
    MAX_CRASHES_PER_REQUEST,
    MAX_SUSPECTS,
    QUARANTINE_SECONDS,
    RETENTION_SECONDS,
    TRIAL_TIMEOUT_SECONDS,
    CrashLedger,
)

LIMIT = 3
HEAD = head_digest("GET", b"/contacts/7", [(b"host", b"guild.example")])
REQUEST = fingerprint_of(HEAD, b"")


def other(number: int) -> bytes:
    return fingerprint_of(head_digest("GET", b"/%d" % number, []), b"")


class CrashLedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tries = True
        self.ledger = CrashLedger(lambda fingerprint: self.tries)

    def end(self, *times: float, fingerprint: bytes = REQUEST) -> None:
        for at in times:
            self.ledger.record_crash(fingerprint, int(at * 1000), at)

    def test_it_is_refused_from_its_limit_on(self) -> None:
        self.end(1.0, 2.0)
        self.assertTrue(self.ledger.try_admit(REQUEST, LIMIT, 2.0))
        self.end(3.0)
        self.assertFalse(self.ledger.try_admit(REQUEST, LIMIT, 3.0))
        self.assertTrue(self.ledger.is_quarantined(REQUEST, LIMIT, 3.0))
        self.assertTrue(self.ledger.try_admit(REQUEST, LIMIT + 1, 3.0))

    def test_a_limit_of_zero_refuses_nothing(self) -> None:
        self.end(1.0, 2.0, 3.0, 4.0)
        self.assertTrue(self.ledger.try_admit(REQUEST, 0, 4.0))
        self.assertFalse(self.ledger.is_quarantined(REQUEST, 0, 4.0))

    def test_one_end_heard_twice_counts_once(self) -> None:
        self.assertTrue(self.ledger.record_crash(REQUEST, 7, 1.0))
        self.assertFalse(self.ledger.record_crash(REQUEST, 7, 1.001))
        self.assertEqual(self.ledger.crash_count(REQUEST), 1)

    def test_an_answer_clears_of_the_ends_before_it_and_not_of_later_ones(self) -> None:
        self.end(1.0, 2.0, 3.0)
        self.assertTrue(self.ledger.record_answer(REQUEST, 3.5))
        self.assertTrue(self.ledger.try_admit(REQUEST, LIMIT, 3.5))
        self.end(4.0)
        self.assertEqual(self.ledger.crash_count(REQUEST), 1)

    def test_an_answer_known_before_the_ends_of_its_time_clears_of_them_too(self) -> None:
        self.end(3.0)
        self.ledger.record_answer(REQUEST, 3.5)
        self.end(1.0, 2.0)
        self.assertEqual(self.ledger.crash_count(REQUEST), 0)

    def test_an_answer_to_what_is_no_suspect_is_not_remembered(self) -> None:
        self.assertFalse(self.ledger.record_answer(REQUEST, 1.0))
        self.assertEqual(len(self.ledger), 0)

    def test_after_the_hold_one_node_tries_it_one_at_a_time(self) -> None:
        self.end(1.0, 2.0, 3.0)
        later = 3.0 + QUARANTINE_SECONDS
        self.assertFalse(self.ledger.is_quarantined(REQUEST, LIMIT, later))
        self.tries = False
        self.assertFalse(self.ledger.try_admit(REQUEST, LIMIT, later))
        self.tries = True
        self.assertTrue(self.ledger.try_admit(REQUEST, LIMIT, later))
        self.assertFalse(self.ledger.try_admit(REQUEST, LIMIT, later + 0.1))
        self.assertTrue(self.ledger.try_admit(REQUEST, LIMIT, later + TRIAL_TIMEOUT_SECONDS))

    def test_each_further_end_doubles_the_hold(self) -> None:
        self.end(1.0, 2.0, 3.0, 50.0)
        self.assertTrue(self.ledger.is_quarantined(REQUEST, LIMIT, 50.0 + 1.9 * QUARANTINE_SECONDS))
        self.assertFalse(
            self.ledger.is_quarantined(REQUEST, LIMIT, 50.0 + 2.1 * QUARANTINE_SECONDS)
        )

    def test_it_is_forgotten_long_after_its_last_end(self) -> None:
        self.end(1.0)
        self.ledger.forget_old(RETENTION_SECONDS)
        self.assertEqual(len(self.ledger), 1)
        self.ledger.forget_old(RETENTION_SECONDS + 1.1)
        self.assertEqual(len(self.ledger), 0)
        self.assertFalse(self.ledger.may_be_suspect(HEAD))

    def test_a_flood_of_suspects_keeps_to_the_bound_and_leaves_what_is_hot(self) -> None:
        self.end(1.0, 2.0, 3.0)
        for number in range(3 * MAX_SUSPECTS):
            self.end(10.0 + number, fingerprint=other(number))
        self.assertEqual(len(self.ledger), MAX_SUSPECTS)
        self.assertEqual(self.ledger.crash_count(REQUEST), 3)
        self.assertFalse(self.ledger.may_be_suspect(head_digest("GET", b"/0", [])))

    def test_a_full_ledger_takes_nothing_of_the_same_time_as_what_it_holds(self) -> None:
        for number in range(MAX_SUSPECTS):
            self.end(10.0 + number / 1000, fingerprint=other(number))
        self.assertFalse(self.ledger.record_crash(REQUEST, 1, 10.5))
        self.assertTrue(self.ledger.record_crash(REQUEST, 1, 11.5))
        self.assertFalse(self.ledger.record_crash(other(0), 10_000, 10.0))

    def test_the_ends_of_one_request_are_bounded_and_the_newest_stay(self) -> None:
        self.end(*map(float, range(1, 3 * MAX_CRASHES_PER_REQUEST)))
        self.assertEqual(self.ledger.crash_count(REQUEST), MAX_CRASHES_PER_REQUEST)
        suspect = next(iter(self.ledger))
        self.assertEqual(suspect.last_crash_at, 3.0 * MAX_CRASHES_PER_REQUEST - 1)

    def test_more_ends_at_once_than_are_remembered_are_no_news(self) -> None:
        news = [self.ledger.record_crash(REQUEST, number, number / 100) for number in range(60)]
        self.assertEqual(sum(news), MAX_CRASHES_PER_REQUEST)
        self.assertFalse(self.ledger.record_crash(REQUEST, 40, 0.7))
        self.assertTrue(self.ledger.record_crash(REQUEST, 99, 2.0))

    def test_the_head_tells_suspects_from_others_without_their_bodies(self) -> None:
        self.end(1.0)
        self.assertTrue(self.ledger.may_be_suspect(HEAD))
        self.assertEqual(self.ledger.crash_count(fingerprint_of(HEAD, b"another body")), 0)


class FingerprintTest(unittest.TestCase):
    def test_ids_and_times_of_an_attempt_do_not_count(self) -> None:
        headers = [(b"host", b"guild.example"), (b"x-request-id", b"2"), (b"x-deadline-ms", b"9")]
        self.assertEqual(head_digest("GET", b"/contacts/7", headers), HEAD)

    def test_method_target_host_and_who_asks_count(self) -> None:
        host = (b"host", b"guild.example")
        others = (
            head_digest("POST", b"/contacts/7", [host]),
            head_digest("GET", b"/contacts/8", [host]),
            head_digest("GET", b"/contacts/7", [(b"host", b"other.example")]),
            head_digest("GET", b"/contacts/7", [host, (b"cookie", b"a=b")]),
            head_digest("GET", b"/contacts/7", [host, (b"authorization", b"Basic x")]),
        )
        self.assertEqual(len({HEAD, *others}), 6)

    def test_parts_do_not_run_into_each_other(self) -> None:
        self.assertNotEqual(head_digest("GET", b"/ab", []), head_digest("GET/", b"ab", []))
