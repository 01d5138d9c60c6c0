"""A rejection is logged repeatedly for as long as it persists."""

import unittest
from typing import Any

from pewtertack.core.effects import Effect, Log
from pewtertack.core.profile import Mechanisms
from pewtertack.core.replication.rejections import REPEAT_LOG_SECONDS, RejectionMonitor
from pewtertack.core.replication.replica import ConfigurationReplica
from pewtertack.events import Event
from tests.core.replication.test_replica import tree


def invalid_tree() -> dict[str, Any]:
    tree_with_error = tree("1s")
    tree_with_error["routes"]["browse"]["service"] = "missing"
    return tree_with_error


class RejectionMonitorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.replica = ConfigurationReplica("zone", Mechanisms())
        self.monitor = RejectionMonitor(self.replica)
        self.replica.offer_document(5, tree("1s"))

    def ticks(self, begin: float, seconds: int) -> list[Effect]:
        return [effect for n in range(seconds) for effect in self.monitor.tick(begin + n)]

    def test_nothing_is_logged_without_a_rejection(self) -> None:
        self.assertEqual(self.ticks(0.0, 600), [])
        self.assertIsNone(self.monitor.since)

    def test_a_persisting_rejection_is_logged_every_minute(self) -> None:
        self.replica.offer_document(6, invalid_tree())
        logs = self.ticks(100.0, 3 * int(REPEAT_LOG_SECONDS) + 1)
        self.assertEqual(self.monitor.since, 100.0)
        logged = [log for log in logs if isinstance(log, Log)]
        self.assertEqual([log.event for log in logged], [Event.REVISION_REJECTED] * 3)
        self.assertEqual([log.fields["lasting"] for log in logged], [60.0, 120.0, 180.0])
        self.assertIn("missing", str(logged[0].fields["findings"]))

    def test_a_further_rejected_revision_does_not_restart_the_period(self) -> None:
        self.replica.offer_document(6, invalid_tree())
        self.monitor.tick(100.0)
        self.replica.offer_document(7, invalid_tree())
        self.monitor.tick(130.0)
        self.assertEqual(self.monitor.since, 100.0)

    def test_a_rejection_ends_once_a_newer_revision_is_held(self) -> None:
        self.replica.offer_document(6, invalid_tree())
        self.monitor.tick(100.0)
        self.replica.offer_document(7, tree("2s"))
        self.assertEqual(self.ticks(101.0, 300), [])
        self.assertIsNone(self.monitor.since)


if __name__ == "__main__":
    unittest.main()
