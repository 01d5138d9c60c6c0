"""Processor time by part, from lines as nodes write them and as killed ones leave them."""

import json
import unittest
from typing import Any

from pewtertack.lab.cost.parts import PartShare, format_part_shares, part_shares, read_part_times
from pewtertack.lab.errors import LabUsageError


def line(incarnation: int, seconds: dict[str, float], counts: dict[str, int]) -> str:
    told: dict[str, Any] = {"time": 1.5, "number": 113, "event": "NODE_PARTS", "node": "n"}
    told |= {"incarnation": incarnation, "uptime": 2.0, "seconds": seconds, "counts": counts}
    return "   1.5 side-1 " + json.dumps(told, separators=(",", ":")) + "\n"


class ReadPartsTest(unittest.TestCase):
    def test_the_last_line_of_each_process_counts(self) -> None:
        lines = [line(1, {"start": 0.2}, {}), line(1, {"start": 0.3}, {}), line(2, {}, {})]
        told, cut = read_part_times(["no log line\n", *lines])
        self.assertEqual([item.seconds for item in told], [{"start": 0.3}, {}])
        self.assertEqual(cut, 0)

    def test_a_whole_line_behind_a_cut_one_counts_and_a_cut_one_is_told(self) -> None:
        whole = line(1, {"start": 0.2}, {})
        told, cut = read_part_times([whole[:40] + whole, line(1, {"start": 9.0}, {})[:-9] + whole])
        self.assertEqual([item.seconds for item in told], [{"start": 0.2}])
        self.assertEqual(cut, 1)

    def test_a_log_without_such_lines_is_refused(self) -> None:
        with self.assertRaises(LabUsageError):
            read_part_times(['{"time":1.5,"event":"NODE_READY"}\n'])


class SharesTest(unittest.TestCase):
    def test_parts_of_all_processes_are_added_and_waiting_is_none(self) -> None:
        seconds = {"start": 0.2, "wait": 40.0, "pewtertack.node.runtime.Runtime.run": 0.1}
        told, _ = read_part_times([line(number, seconds, {"start": 1}) for number in (1, 2)])
        shares = {item.part: item for item in part_shares(told) if item.seconds}
        self.assertEqual(shares["start"], PartShare("start", 0.4, 2))
        self.assertEqual(shares["idle second"].seconds, 0.2)
        self.assertEqual(set(shares), {"start", "idle second"})

    def test_hops_are_divided_by_their_ends(self) -> None:
        counts = {"event GATEWAY_ANSWERED": 3, "event GATEWAY_REFUSED": 1}
        told, _ = read_part_times(
            [line(1, {"RequestCycle.run": 1.0, "StreamTransport._read": 1.0}, counts)]
        )
        shares = {item.part: item for item in part_shares(told)}
        self.assertEqual(shares["served hop"], PartShare("served hop", 1.5, 3))
        self.assertEqual(shares["hop that is refused or fails"].seconds, 0.5)

    def test_what_belongs_to_no_part_is_named(self) -> None:
        told, _ = read_part_times([line(1, {"start": 1.0, "surprise": 0.5, "trifle": 0.0001}, {})])
        table = format_part_shares(part_shares(told))
        self.assertIn("other: surprise", table)
        self.assertNotIn("trifle", table)
