"""Ledger of requests that back ends were executing when they crashed."""

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
        self.may_try = True
        self.ledger = CrashLedger(lambda fingerprint: self.may_try)

    def crash(self, *times: float, fingerprint: bytes = REQUEST) -> None:
        for at in times:
            self.ledger.record_crash(fingerprint, int(at * 1000), at)

    def test_a_request_is_refused_once_it_reaches_its_limit(self) -> None:
        self.crash(1.0, 2.0)
        self.assertTrue(self.ledger.try_admit(REQUEST, LIMIT, 2.0))
        self.crash(3.0)
        self.assertFalse(self.ledger.try_admit(REQUEST, LIMIT, 3.0))
        self.assertTrue(self.ledger.is_quarantined(REQUEST, LIMIT, 3.0))
        self.assertTrue(self.ledger.try_admit(REQUEST, LIMIT + 1, 3.0))

    def test_a_limit_of_zero_refuses_nothing(self) -> None:
        self.crash(1.0, 2.0, 3.0, 4.0)
        self.assertTrue(self.ledger.try_admit(REQUEST, 0, 4.0))
        self.assertFalse(self.ledger.is_quarantined(REQUEST, 0, 4.0))

    def test_a_crash_reported_twice_counts_once(self) -> None:
        self.assertTrue(self.ledger.record_crash(REQUEST, 7, 1.0))
        self.assertFalse(self.ledger.record_crash(REQUEST, 7, 1.001))
        self.assertEqual(self.ledger.crash_count(REQUEST), 1)

    def test_an_answer_clears_earlier_crashes_but_not_later_ones(self) -> None:
        self.crash(1.0, 2.0, 3.0)
        self.assertTrue(self.ledger.record_answer(REQUEST, 3.5))
        self.assertTrue(self.ledger.try_admit(REQUEST, LIMIT, 3.5))
        self.crash(4.0)
        self.assertEqual(self.ledger.crash_count(REQUEST), 1)

    def test_an_answer_also_clears_earlier_crashes_that_are_reported_later(self) -> None:
        self.crash(3.0)
        self.ledger.record_answer(REQUEST, 3.5)
        self.crash(1.0, 2.0)
        self.assertEqual(self.ledger.crash_count(REQUEST), 0)

    def test_an_answer_to_a_request_that_is_no_suspect_is_not_recorded(self) -> None:
        self.assertFalse(self.ledger.record_answer(REQUEST, 1.0))
        self.assertEqual(len(self.ledger), 0)

    def test_after_the_quarantine_one_node_makes_one_trial_at_a_time(self) -> None:
        self.crash(1.0, 2.0, 3.0)
        later = 3.0 + QUARANTINE_SECONDS
        self.assertFalse(self.ledger.is_quarantined(REQUEST, LIMIT, later))
        self.may_try = False
        self.assertFalse(self.ledger.try_admit(REQUEST, LIMIT, later))
        self.may_try = True
        self.assertTrue(self.ledger.try_admit(REQUEST, LIMIT, later))
        self.assertFalse(self.ledger.try_admit(REQUEST, LIMIT, later + 0.1))
        self.assertTrue(self.ledger.try_admit(REQUEST, LIMIT, later + TRIAL_TIMEOUT_SECONDS))

    def test_each_further_crash_doubles_the_quarantine(self) -> None:
        self.crash(1.0, 2.0, 3.0, 50.0)
        self.assertTrue(self.ledger.is_quarantined(REQUEST, LIMIT, 50.0 + 1.9 * QUARANTINE_SECONDS))
        self.assertFalse(
            self.ledger.is_quarantined(REQUEST, LIMIT, 50.0 + 2.1 * QUARANTINE_SECONDS)
        )

    def test_a_suspect_is_removed_long_after_its_last_crash(self) -> None:
        self.crash(1.0)
        self.ledger.forget_old(RETENTION_SECONDS)
        self.assertEqual(len(self.ledger), 1)
        self.ledger.forget_old(RETENTION_SECONDS + 1.1)
        self.assertEqual(len(self.ledger), 0)
        self.assertFalse(self.ledger.may_be_suspect(HEAD))

    def test_a_flood_of_suspects_stays_bounded_and_keeps_repeated_offenders(self) -> None:
        self.crash(1.0, 2.0, 3.0)
        for number in range(3 * MAX_SUSPECTS):
            self.crash(10.0 + number, fingerprint=other(number))
        self.assertEqual(len(self.ledger), MAX_SUSPECTS)
        self.assertEqual(self.ledger.crash_count(REQUEST), 3)
        self.assertFalse(self.ledger.may_be_suspect(head_digest("GET", b"/0", [])))

    def test_a_full_ledger_accepts_only_clearly_newer_crashes(self) -> None:
        for number in range(MAX_SUSPECTS):
            self.crash(10.0 + number / 1000, fingerprint=other(number))
        self.assertFalse(self.ledger.record_crash(REQUEST, 1, 10.5))
        self.assertTrue(self.ledger.record_crash(REQUEST, 1, 11.5))
        self.assertFalse(self.ledger.record_crash(other(0), 10_000, 10.0))

    def test_crashes_of_one_request_are_bounded_and_the_newest_are_kept(self) -> None:
        self.crash(*map(float, range(1, 3 * MAX_CRASHES_PER_REQUEST)))
        self.assertEqual(self.ledger.crash_count(REQUEST), MAX_CRASHES_PER_REQUEST)
        suspect = next(iter(self.ledger))
        self.assertEqual(suspect.last_crash_at, 3.0 * MAX_CRASHES_PER_REQUEST - 1)

    def test_simultaneous_crashes_beyond_the_bound_are_not_new(self) -> None:
        recorded = [self.ledger.record_crash(REQUEST, number, number / 100) for number in range(60)]
        self.assertEqual(sum(recorded), MAX_CRASHES_PER_REQUEST)
        self.assertFalse(self.ledger.record_crash(REQUEST, 40, 0.7))
        self.assertTrue(self.ledger.record_crash(REQUEST, 99, 2.0))

    def test_suspects_are_recognized_by_head_without_the_body(self) -> None:
        self.crash(1.0)
        self.assertTrue(self.ledger.may_be_suspect(HEAD))
        self.assertEqual(self.ledger.crash_count(fingerprint_of(HEAD, b"another body")), 0)


class FingerprintTest(unittest.TestCase):
    def test_request_id_and_deadline_do_not_change_the_digest(self) -> None:
        headers = [(b"host", b"guild.example"), (b"x-request-id", b"2"), (b"x-deadline-ms", b"9")]
        self.assertEqual(head_digest("GET", b"/contacts/7", headers), HEAD)

    def test_method_target_host_and_caller_change_the_digest(self) -> None:
        host = (b"host", b"guild.example")
        others = (
            head_digest("POST", b"/contacts/7", [host]),
            head_digest("GET", b"/contacts/8", [host]),
            head_digest("GET", b"/contacts/7", [(b"host", b"other.example")]),
            head_digest("GET", b"/contacts/7", [host, (b"cookie", b"a=b")]),
            head_digest("GET", b"/contacts/7", [host, (b"authorization", b"Basic x")]),
        )
        self.assertEqual(len({HEAD, *others}), 6)

    def test_boundaries_between_parts_change_the_digest(self) -> None:
        self.assertNotEqual(head_digest("GET", b"/ab", []), head_digest("GET/", b"ab", []))
