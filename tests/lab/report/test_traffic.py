"""Measurement of the bytes sent between nodes from two samples of their metrics."""

import unittest

from pewtertack.lab.report.traffic import TrafficSample, bytes_sent, traffic_between

METRICS = """\
# HELP pewtertack_peer_bytes_total Bytes.
# TYPE pewtertack_peer_bytes_total counter
pewtertack_peer_bytes_total{direction="sent",kind="Ping",purpose="control"} 70.0
pewtertack_peer_bytes_total{direction="sent",kind="Acknowledge",purpose="control"} 30.0
pewtertack_peer_bytes_total{direction="received",kind="Ping",purpose="control"} 500.0
"""


class TrafficTest(unittest.TestCase):
    def test_sent_bytes_are_summed_by_purpose(self) -> None:
        self.assertEqual(bytes_sent(METRICS), {"control": 100.0})

    def test_restarted_and_missing_nodes_are_left_out(self) -> None:
        first = TrafficSample(10.0, {"a": {"control": 100.0}, "b": {"control": 900.0}, "c": {}})
        last = TrafficSample(20.0, {"a": {"control": 300.0}, "b": {"control": 5.0}})
        traffic = traffic_between(first, last)
        self.assertEqual((traffic.nodes, traffic.control), (1, 20.0))
