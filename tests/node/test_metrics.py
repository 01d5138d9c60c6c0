"""Gauges of a node that is behind."""

import unittest
from typing import Any

from prometheus_client import CollectorRegistry

from pewtertack.node.metrics import CoordinationCollector
from pewtertack.node.status import ReadStatus, RejectionStatus, RevisionStatus
from pewtertack.node.traffic import Traffic
from tests.cli.node_samples import node_status


class CoordinationMetricsTest(unittest.TestCase):
    def registry(self, **fields: Any) -> CollectorRegistry:
        status = node_status("a", 7, **fields)
        registry = CollectorRegistry()
        registry.register(CoordinationCollector(lambda: status, Traffic()))
        return registry

    def value(self, registry: CollectorRegistry, name: str, **labels: str) -> float | None:
        return registry.get_sample_value(f"pewtertack_{name}", labels)

    def test_a_current_node(self) -> None:
        registry = self.registry(reads={"configuration": ReadStatus()})
        self.assertEqual(self.value(registry, "heard_revision"), 7)
        self.assertEqual(self.value(registry, "behind_seconds"), 0)
        self.assertEqual(self.value(registry, "revision_refused"), 0)
        labels = {"document": "configuration", "failure": "slow"}
        self.assertIsNone(self.value(registry, "read_failures", **labels))

    def test_a_node_that_is_behind(self) -> None:
        registry = self.registry(
            newest_heard=9,
            behind_for=2.5,
            last_rejection=RejectionStatus(RevisionStatus(9), (), since=1.5),
            source_answer_seconds=3.8,
            reads={"configuration": ReadStatus(failures=3, failure="slow")},
        )
        self.assertEqual(self.value(registry, "heard_revision"), 9)
        self.assertEqual(self.value(registry, "behind_seconds"), 2.5)
        self.assertEqual(self.value(registry, "source_answer_seconds"), 3.8)
        self.assertEqual(self.value(registry, "revision_refused"), 9)
        self.assertEqual(self.value(registry, "revision_refused_since_seconds"), 1.5)
        labels = {"document": "configuration", "failure": "slow"}
        self.assertEqual(self.value(registry, "read_failures", **labels), 3)


if __name__ == "__main__":
    unittest.main()
