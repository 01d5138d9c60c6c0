"""What passes through links with a rate takes its time, one thing after the other."""

import unittest

from pewtertack.lab.relay.machine_links import LinkDirection, MachineLinks

RATE = 1000.0


class LinesTest(unittest.TestCase):
    def test_a_line_sends_one_thing_after_the_other(self) -> None:
        line = LinkDirection(RATE)
        self.assertEqual(line.send(1.0, 500), (1.0, 1.5))
        self.assertEqual(line.send(1.2, 100), (1.5, 1.6))
        self.assertEqual(line.send(9.0, 1000), (9.0, 10.0))

    def test_bytes_pass_from_line_to_line_as_they_come(self) -> None:
        lines = MachineLinks(RATE)
        self.assertAlmostEqual(lines.transfer(0.0, "a", "b", 1000, 0.1), 1.1)

    def test_two_senders_share_the_line_of_their_target(self) -> None:
        lines = MachineLinks(RATE)
        self.assertAlmostEqual(lines.transfer(0.0, "a", "c", 1000), 1.0)
        self.assertAlmostEqual(lines.transfer(0.0, "b", "c", 1000), 2.0)
        self.assertAlmostEqual(lines.transfer(0.0, "c", "a", 1000), 1.0)

    def test_without_a_rate_only_the_delay_counts(self) -> None:
        lines = MachineLinks()
        for _ in range(2):
            self.assertEqual(lines.transfer(5.0, "a", "b", 10**9, 0.5), 5.5)
