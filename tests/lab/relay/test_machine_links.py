"""Transfers over links with a limited rate take time and happen in order."""

import unittest

from pewtertack.lab.relay.machine_links import LinkDirection, MachineLinks

RATE = 1000.0


class MachineLinksTest(unittest.TestCase):
    def test_link_sends_in_order(self) -> None:
        link = LinkDirection(RATE)
        self.assertEqual(link.send(1.0, 500), (1.0, 1.5))
        self.assertEqual(link.send(1.2, 100), (1.5, 1.6))
        self.assertEqual(link.send(9.0, 1000), (9.0, 10.0))

    def test_target_receives_while_sender_sends(self) -> None:
        links = MachineLinks(RATE)
        self.assertAlmostEqual(links.transfer(0.0, "a", "b", 1000, 0.1), 1.1)

    def test_two_senders_share_the_link_of_their_target(self) -> None:
        links = MachineLinks(RATE)
        self.assertAlmostEqual(links.transfer(0.0, "a", "c", 1000), 1.0)
        self.assertAlmostEqual(links.transfer(0.0, "b", "c", 1000), 2.0)
        self.assertAlmostEqual(links.transfer(0.0, "c", "a", 1000), 1.0)

    def test_without_a_rate_limit_only_the_delay_counts(self) -> None:
        links = MachineLinks()
        for _ in range(2):
            self.assertEqual(links.transfer(5.0, "a", "b", 10**9, 0.5), 5.5)
