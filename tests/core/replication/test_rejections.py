"""A refused revision is told of as long as it lasts."""

import unittest
from typing import Any

from pewtertack.core.effects import Effect, Log
from pewtertack.core.profile import Mechanisms
from pewtertack.core.replication.rejections import REPEAT_LOG_SECONDS, RejectionMonitor
from pewtertack.core.replication.replica import ConfigurationReplica
from pewtertack.events import Event
from tests.core.replication.test_replica import tree


def bad_tree() -> dict[str, Any]:
    bad = tree("1s")
    bad["routes"]["browse"]["service"] = "missing"
    return bad


class RefusalWatchTest(unittest.TestCase):
    def setUp(self) -> None:
        self.replica = ConfigurationReplica("zone", Mechanisms())
        self.watch = RejectionMonitor(self.replica)
        self.replica.offer_document(5, tree("1s"))

    def ticks(self, begin: float, seconds: int) -> list[Effect]:
        return [effect for n in range(seconds) for effect in self.watch.tick(begin + n)]

    def test_nothing_is_told_without_a_refusal(self) -> None:
        self.assertEqual(self.ticks(0.0, 600), [])
        self.assertIsNone(self.watch.since)

    def test_a_refusal_is_logged_again_each_minute_while_it_lasts(self) -> None:
        self.replica.offer_document(6, bad_tree())
        logs = self.ticks(100.0, 3 * int(REPEAT_LOG_SECONDS) + 1)
        self.assertEqual(self.watch.since, 100.0)
        told = [log for log in logs if isinstance(log, Log)]
        self.assertEqual([log.event for log in told], [Event.REVISION_REJECTED] * 3)
        self.assertEqual([log.fields["lasting"] for log in told], [60.0, 120.0, 180.0])
        self.assertIn("missing", str(told[0].fields["findings"]))

    def test_another_refused_revision_does_not_begin_anew(self) -> None:
        self.replica.offer_document(6, bad_tree())
        self.watch.tick(100.0)
        self.replica.offer_document(7, bad_tree())
        self.watch.tick(130.0)
        self.assertEqual(self.watch.since, 100.0)

    def test_it_is_over_once_a_newer_revision_is_held(self) -> None:
        self.replica.offer_document(6, bad_tree())
        self.watch.tick(100.0)
        self.replica.offer_document(7, tree("2s"))
        self.assertEqual(self.ticks(101.0, 300), [])
        self.assertIsNone(self.watch.since)


if __name__ == "__main__":
    unittest.main()
