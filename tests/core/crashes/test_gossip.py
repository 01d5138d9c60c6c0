"""Fleets in virtual time whose back ends end under one request."""

import unittest
from random import Random

from pewtertack.core.crashes.gossip import (
    LOGGED_CRASHES_MIN,
    SINGLE_CRASH_REPORT_SECONDS,
    CrashGossip,
)
from pewtertack.core.effects import Effect, Log, Send
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.machines import Machine, MachineRole
from pewtertack.core.membership.service import Membership
from pewtertack.core.profile import LEASED
from pewtertack.wire.frames import Envelope, encode_frame
from pewtertack.wire.messages import CrashReports

LIMIT = 3
KEY = b"k" * 16
DATAGRAM_BYTES = 1200
TICK = 0.1


def fingerprint(number: int) -> bytes:
    return number.to_bytes(16, "big")


class Fleet:
    """Nodes whose messages arrive at once; ``cut`` holds those that hear and say nothing."""

    def __init__(self, size: int, seed: int = 1) -> None:
        random = Random(seed)
        self.now = 0.0
        self.cut: set[str] = set()
        self.bytes = 0
        self.longest = 0
        names = [f"n{number}" for number in range(size)]
        self.members = {name: self._membership(name, names, random) for name in names}
        self.nodes = {
            name: CrashGossip(_identity(name), member, Random(f"{seed}{name}"))
            for name, member in self.members.items()
        }
        self.logs: list[Log] = []

    def _membership(self, name: str, names: list[str], random: Random) -> Membership:
        membership = Membership(_identity(name), LEASED, random, self.now)
        listed = [Machine(item, MachineRole.NODE, "z", item) for item in names]
        membership.use_machine_list(listed, self.now)
        return membership

    def deliver(self, sender: str, effects: list[Effect]) -> None:
        """Carry effects out, and those of whoever is told, until nothing is left to say."""
        waiting = [(sender, effect) for effect in effects]
        while waiting:
            origin, effect = waiting.pop()
            if isinstance(effect, Log):
                self.logs.append(effect)
            elif isinstance(effect, Send) and not {origin, effect.name} & self.cut:
                assert isinstance(effect.message, CrashReports)
                self._weigh(origin, effect)
                news = self.nodes[effect.name].on_reports(self.now, effect.message)
                waiting += [(effect.name, item) for item in news]

    def _weigh(self, origin: str, effect: Send) -> None:
        envelope = Envelope(origin, "10.0.0.1:7380", 1_769_254_732_206, 77, effect.message)
        size = len(encode_frame(envelope, KEY))
        self.bytes += size
        self.longest = max(self.longest, size)

    def crash(self, name: str, *fingerprints: bytes) -> None:
        self.deliver(name, self.nodes[name].on_crash(self.now, fingerprints))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += TICK
            for name, node in self.nodes.items():
                self.deliver(name, node.tick(self.now))

    def counts(self, item: bytes) -> set[int]:
        return {node.ledger.crash_count(item) for node in self.nodes.values()}

    def knowing(self, item: bytes, ends: int) -> int:
        return sum(node.ledger.crash_count(item) == ends for node in self.nodes.values())


def _identity(name: str) -> NodeIdentity:
    return NodeIdentity(name, name, "z", "r", 1)


class CrashSpreadingTest(unittest.TestCase):
    def test_what_one_node_sees_all_know(self) -> None:
        for size in (3, 12, 74, 195):
            with self.subTest(size):
                fleet = Fleet(size)
                for number in range(LIMIT):
                    fleet.crash(f"n{number}", fingerprint(7))
                fleet.run(SINGLE_CRASH_REPORT_SECONDS / 2)
                self.assertEqual(fleet.counts(fingerprint(7)), {LIMIT})

    def test_an_end_costs_a_node_less_than_a_kilobyte(self) -> None:
        # By hand, in virtual time: 659 bytes a node at 1,700 nodes, 651 at 195; all knew it at
        # once. While three ends are told of in regular reports: 328 bytes a second and node.
        fleet = Fleet(195)
        fleet.crash("n0", fingerprint(7))
        self.assertLess(fleet.bytes / 195, 700)
        fleet.crash("n1", fingerprint(7))
        fleet.crash("n2", fingerprint(7))
        fleet.bytes = 0
        fleet.run(10.0)
        self.assertLess(fleet.bytes / 195 / 10, 400)

    def test_both_sides_of_a_cut_merge_without_counting_twice(self) -> None:
        fleet = Fleet(12)
        fleet.crash("n0", fingerprint(7))
        fleet.cut = {f"n{number}" for number in range(6)}
        fleet.crash("n7", fingerprint(7))
        fleet.cut = {f"n{number}" for number in range(6, 12)}
        fleet.crash("n1", fingerprint(7))
        fleet.cut = set()
        fleet.run(3.0)
        self.assertEqual(fleet.counts(fingerprint(7)), {3})

    def test_a_node_back_from_a_cut_hears_of_it_within_three_seconds(self) -> None:
        late = 0
        for seed in range(40):
            fleet = Fleet(12, seed)
            fleet.cut = {"n5"}
            for number in range(LIMIT):
                fleet.crash(f"n{number}", fingerprint(7))
            fleet.run(1.0)
            fleet.cut = set()
            fleet.run(3.0)
            late += fleet.nodes["n5"].ledger.crash_count(fingerprint(7)) < LIMIT
        self.assertEqual(late, 0)

    def test_a_joiner_is_told_of_old_ends(self) -> None:
        fleet = Fleet(3)
        fleet.cut = {"n2"}
        fleet.crash("n0", fingerprint(7))
        fleet.now += 2 * SINGLE_CRASH_REPORT_SECONDS
        fleet.cut = set()
        fleet.deliver("n0", fleet.nodes["n0"].reports_for_joiner(fleet.now, "n2", "n2"))
        suspect = next(iter(fleet.nodes["n2"].ledger))
        self.assertAlmostEqual(suspect.last_crash_at, 0.0, places=2)

    def test_an_answer_clears_it_everywhere(self) -> None:
        fleet = Fleet(12)
        for number in range(LIMIT):
            fleet.crash(f"n{number}", fingerprint(7))
        fleet.now += 0.1
        fleet.deliver("n9", fleet.nodes["n9"].on_answer(fleet.now, fingerprint(7)))
        self.assertEqual(fleet.counts(fingerprint(7)), {0})

    def test_nothing_is_said_while_no_back_end_ends_nor_long_after_a_single_one(self) -> None:
        fleet = Fleet(12)
        fleet.run(2.0)
        self.assertEqual(fleet.bytes, 0)
        fleet.crash("n0", fingerprint(7))
        fleet.run(SINGLE_CRASH_REPORT_SECONDS + 1.0)
        fleet.bytes = 0
        fleet.run(2.0)
        self.assertEqual(fleet.bytes, 0)

    def test_reports_of_a_flood_fit_a_datagram_and_name_the_hottest(self) -> None:
        fleet = Fleet(12)
        for number in range(LIMIT):
            fleet.crash(f"n{number}", fingerprint(7))
        fleet.cut = {"n5"}
        for number in range(300):
            fleet.crash("n0", fingerprint(1000 + number), fingerprint(5000 + number))
        fleet.nodes["n5"] = CrashGossip(_identity("n5"), fleet.members["n5"], Random(2))
        fleet.cut = set()
        fleet.run(1.0)
        self.assertEqual(fleet.nodes["n5"].ledger.crash_count(fingerprint(7)), LIMIT)
        self.assertLessEqual(fleet.longest, DATAGRAM_BYTES)

    def test_one_node_alone_tries_what_was_held(self) -> None:
        fleet = Fleet(12)
        for number in range(LIMIT):
            fleet.crash(f"n{number}", fingerprint(7))
        fleet.now += 31.0
        tried = [
            name
            for name, node in fleet.nodes.items()
            if node.ledger.try_admit(fingerprint(7), LIMIT, fleet.now)
        ]
        self.assertEqual(len(tried), 1)

    def test_what_reaches_the_usual_limit_is_logged_once_a_node_and_end(self) -> None:
        fleet = Fleet(3)
        for number in range(LIMIT):
            fleet.crash(f"n{number}", fingerprint(7))
        self.assertEqual([log.fields["ends"] for log in fleet.logs], [LOGGED_CRASHES_MIN] * 3)


class InnocentTest(unittest.TestCase):
    """Back ends end by chance, hundreds of times, while requests at random run there."""

    def condemned(self, ends: int, repeats: float, answered_share: float) -> int:
        """Return how many requests came to be refused of those that ran at ``ends`` ends.

        At each end four run; ``repeats`` of them ran at an earlier end already, and
        ``answered_share`` of the requests are answered before they run at another.
        """
        random = Random(5)
        fleet = Fleet(3)
        ledger = fleet.nodes["n0"].ledger
        seen: list[bytes] = []
        refused: set[bytes] = set()
        for number in range(ends):
            fleet.now += 0.5
            running = [self._one(random, seen, repeats, number * 4 + place) for place in range(4)]
            for item in running:
                ledger.record_crash(item, number, fleet.now)
                if not ledger.try_admit(item, LIMIT, fleet.now):
                    refused.add(item)
                elif random.random() < answered_share:
                    ledger.record_answer(item, fleet.now + 0.2)
            seen = (seen + running)[-40:]
        return len(refused)

    def _one(self, random: Random, seen: list[bytes], repeats: float, number: int) -> bytes:
        if seen and random.random() < repeats:
            return random.choice(seen)
        return fingerprint(number)

    def test_hundreds_of_ends_by_chance_condemn_few(self) -> None:
        # Measured, of 3,200 requests: none refused wrongly where all are answered after an
        # end, 1 where nine in ten are, 33 where none is. (Of 12,000: 0, 3 and 38.)
        self.assertEqual(self.condemned(800, 0.1, 1.0), 0)
        self.assertLessEqual(self.condemned(800, 0.1, 0.9), 3)
        self.assertLessEqual(self.condemned(800, 0.1, 0.0), 50)
