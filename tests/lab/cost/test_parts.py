"""Processor time by part, from complete log lines and from lines that a killed node truncated."""

import json
import unittest
from typing import Any

from pewtertack.lab.cost.parts import PartShare, format_part_shares, part_shares, read_part_times
from pewtertack.lab.errors import LabUsageError


def node_parts_line(incarnation: int, seconds: dict[str, float], counts: dict[str, int]) -> str:
    record: dict[str, Any] = {"time": 1.5, "number": 113, "event": "NODE_PARTS", "node": "n"}
    record |= {"incarnation": incarnation, "uptime": 2.0, "seconds": seconds, "counts": counts}
    return "   1.5 side-1 " + json.dumps(record, separators=(",", ":")) + "\n"


class ReadPartsTest(unittest.TestCase):
    def test_only_the_last_record_of_each_process_is_returned(self) -> None:
        lines = [
            node_parts_line(1, {"start": 0.2}, {}),
            node_parts_line(1, {"start": 0.3}, {}),
            node_parts_line(2, {}, {}),
        ]
        records, truncated = read_part_times(["no log line\n", *lines])
        self.assertEqual([item.seconds for item in records], [{"start": 0.3}, {}])
        self.assertEqual(truncated, 0)

    def test_truncated_record_is_counted_and_complete_one_after_it_is_read(
        self,
    ) -> None:
        complete_line = node_parts_line(1, {"start": 0.2}, {})
        records, truncated = read_part_times(
            [
                complete_line[:40] + complete_line,
                node_parts_line(1, {"start": 9.0}, {})[:-9] + complete_line,
            ]
        )
        self.assertEqual([item.seconds for item in records], [{"start": 0.2}])
        self.assertEqual(truncated, 1)

    def test_log_without_records_is_an_error(self) -> None:
        with self.assertRaises(LabUsageError):
            read_part_times(['{"time":1.5,"event":"NODE_READY"}\n'])


class SharesTest(unittest.TestCase):
    def test_parts_of_all_processes_are_summed_without_the_time_spent_waiting(self) -> None:
        seconds = {"start": 0.2, "wait": 40.0, "pewtertack.node.runtime.Runtime.run": 0.1}
        records, _ = read_part_times(
            [node_parts_line(number, seconds, {"start": 1}) for number in (1, 2)]
        )
        shares = {item.part: item for item in part_shares(records) if item.seconds}
        self.assertEqual(shares["start"], PartShare("start", 0.4, 2))
        self.assertEqual(shares["idle second"].seconds, 0.2)
        self.assertEqual(set(shares), {"start", "idle second"})

    def test_time_of_hops_is_divided_by_the_numbers_of_served_and_unserved_hops(self) -> None:
        counts = {"event GATEWAY_ANSWERED": 3, "event GATEWAY_REFUSED": 1}
        records, _ = read_part_times(
            [node_parts_line(1, {"RequestCycle.run": 1.0, "StreamTransport._read": 1.0}, counts)]
        )
        shares = {item.part: item for item in part_shares(records)}
        self.assertEqual(shares["served hop"], PartShare("served hop", 1.5, 3))
        self.assertEqual(shares["hop that is refused or fails"].seconds, 0.5)

    def test_unassigned_callback_is_shown_unless_its_time_is_negligible(self) -> None:
        records, _ = read_part_times(
            [node_parts_line(1, {"start": 1.0, "surprise": 0.5, "trifle": 0.0001}, {})]
        )
        table = format_part_shares(part_shares(records))
        self.assertIn("other: surprise", table)
        self.assertNotIn("trifle", table)
