"""Gossip about back-end crashes in simulated fleets."""

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
TICK_SECONDS = 0.1


def fingerprint(number: int) -> bytes:
    return number.to_bytes(16, "big")


class Fleet:
    """Nodes whose messages arrive immediately, except for partitioned nodes (``partitioned``)."""

    def __init__(self, size: int, seed: int = 1) -> None:
        random = Random(seed)
        self.now = 0.0
        self.partitioned: set[str] = set()
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
        """Execute effects and those that they cause at receivers until none is left."""
        pending = [(sender, effect) for effect in effects]
        while pending:
            origin, effect = pending.pop()
            if isinstance(effect, Log):
                self.logs.append(effect)
            elif isinstance(effect, Send) and not {origin, effect.name} & self.partitioned:
                assert isinstance(effect.message, CrashReports)
                self._count_bytes(origin, effect)
                caused = self.nodes[effect.name].on_reports(self.now, effect.message)
                pending += [(effect.name, item) for item in caused]

    def _count_bytes(self, origin: str, effect: Send) -> None:
        envelope = Envelope(origin, "10.0.0.1:7380", 1_769_254_732_206, 77, effect.message)
        size = len(encode_frame(envelope, KEY))
        self.bytes += size
        self.longest = max(self.longest, size)

    def crash(self, name: str, *fingerprints: bytes) -> None:
        self.deliver(name, self.nodes[name].on_crash(self.now, fingerprints))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_SECONDS
            for name, node in self.nodes.items():
                self.deliver(name, node.tick(self.now))

    def counts(self, item: bytes) -> set[int]:
        return {node.ledger.crash_count(item) for node in self.nodes.values()}


def _identity(name: str) -> NodeIdentity:
    return NodeIdentity(name, name, "z", "r", 1)


class CrashGossipTest(unittest.TestCase):
    def test_a_crash_observed_by_one_node_becomes_known_to_all(self) -> None:
        for size in (3, 12, 74, 195):
            with self.subTest(size):
                fleet = Fleet(size)
                for number in range(LIMIT):
                    fleet.crash(f"n{number}", fingerprint(7))
                fleet.run(SINGLE_CRASH_REPORT_SECONDS / 2)
                self.assertEqual(fleet.counts(fingerprint(7)), {LIMIT})

    def test_a_crash_costs_each_node_less_than_a_kilobyte(self) -> None:
        # A crash costs 659 bytes per node with 1,700 nodes and 651 with 195, and all nodes know of
        # it immediately. Regular reports about three crashes take 328 bytes per second and node.
        fleet = Fleet(195)
        fleet.crash("n0", fingerprint(7))
        self.assertLess(fleet.bytes / 195, 700)
        fleet.crash("n1", fingerprint(7))
        fleet.crash("n2", fingerprint(7))
        fleet.bytes = 0
        fleet.run(10.0)
        self.assertLess(fleet.bytes / 195 / 10, 400)

    def test_both_sides_of_a_partition_merge_without_counting_twice(self) -> None:
        fleet = Fleet(12)
        fleet.crash("n0", fingerprint(7))
        fleet.partitioned = {f"n{number}" for number in range(6)}
        fleet.crash("n7", fingerprint(7))
        fleet.partitioned = {f"n{number}" for number in range(6, 12)}
        fleet.crash("n1", fingerprint(7))
        fleet.partitioned = set()
        fleet.run(3.0)
        self.assertEqual(fleet.counts(fingerprint(7)), {3})

    def test_a_node_returning_from_a_partition_is_informed_within_three_seconds(self) -> None:
        uninformed = 0
        for seed in range(40):
            fleet = Fleet(12, seed)
            fleet.partitioned = {"n5"}
            for number in range(LIMIT):
                fleet.crash(f"n{number}", fingerprint(7))
            fleet.run(1.0)
            fleet.partitioned = set()
            fleet.run(3.0)
            uninformed += fleet.nodes["n5"].ledger.crash_count(fingerprint(7)) < LIMIT
        self.assertEqual(uninformed, 0)

    def test_a_joiner_receives_old_crashes(self) -> None:
        fleet = Fleet(3)
        fleet.partitioned = {"n2"}
        fleet.crash("n0", fingerprint(7))
        fleet.now += 2 * SINGLE_CRASH_REPORT_SECONDS
        fleet.partitioned = set()
        fleet.deliver("n0", fleet.nodes["n0"].reports_for_joiner(fleet.now, "n2", "n2"))
        suspect = next(iter(fleet.nodes["n2"].ledger))
        self.assertAlmostEqual(suspect.last_crash_at, 0.0, places=2)

    def test_an_answer_clears_the_request_on_all_nodes(self) -> None:
        fleet = Fleet(12)
        for number in range(LIMIT):
            fleet.crash(f"n{number}", fingerprint(7))
        fleet.now += 0.1
        fleet.deliver("n9", fleet.nodes["n9"].on_answer(fleet.now, fingerprint(7)))
        self.assertEqual(fleet.counts(fingerprint(7)), {0})

    def test_nothing_is_sent_without_a_crash_or_long_after_a_single_one(self) -> None:
        fleet = Fleet(12)
        fleet.run(2.0)
        self.assertEqual(fleet.bytes, 0)
        fleet.crash("n0", fingerprint(7))
        fleet.run(SINGLE_CRASH_REPORT_SECONDS + 1.0)
        fleet.bytes = 0
        fleet.run(2.0)
        self.assertEqual(fleet.bytes, 0)

    def test_reports_of_a_flood_fit_a_datagram_and_include_the_worst_request(self) -> None:
        fleet = Fleet(12)
        for number in range(LIMIT):
            fleet.crash(f"n{number}", fingerprint(7))
        fleet.partitioned = {"n5"}
        for number in range(300):
            fleet.crash("n0", fingerprint(1000 + number), fingerprint(5000 + number))
        fleet.nodes["n5"] = CrashGossip(_identity("n5"), fleet.members["n5"], Random(2))
        fleet.partitioned = set()
        fleet.run(1.0)
        self.assertEqual(fleet.nodes["n5"].ledger.crash_count(fingerprint(7)), LIMIT)
        self.assertLessEqual(fleet.longest, DATAGRAM_BYTES)

    def test_only_one_node_tries_a_request_after_its_quarantine(self) -> None:
        fleet = Fleet(12)
        for number in range(LIMIT):
            fleet.crash(f"n{number}", fingerprint(7))
        fleet.now += 31.0
        trial_nodes = [
            name
            for name, node in fleet.nodes.items()
            if node.ledger.try_admit(fingerprint(7), LIMIT, fleet.now)
        ]
        self.assertEqual(len(trial_nodes), 1)

    def test_reaching_the_default_limit_is_logged_once_per_node_and_crash(self) -> None:
        fleet = Fleet(3)
        for number in range(LIMIT):
            fleet.crash(f"n{number}", fingerprint(7))
        self.assertEqual([log.fields["ends"] for log in fleet.logs], [LOGGED_CRASHES_MIN] * 3)


class UnrelatedCrashesTest(unittest.TestCase):
    """Hundreds of back-end crashes that no request causes, while random requests are executed."""

    def refused_count(self, crash_count: int, repeat_share: float, answered_share: float) -> int:
        """Return the number of requests that are refused after ``crash_count`` crashes.

        At each crash, four requests are being executed. A share ``repeat_share`` of them was also
        being executed at an earlier crash, and a share ``answered_share`` is answered before the
        next crash.
        """
        random = Random(5)
        fleet = Fleet(3)
        ledger = fleet.nodes["n0"].ledger
        seen: list[bytes] = []
        refused: set[bytes] = set()
        for number in range(crash_count):
            fleet.now += 0.5
            running = [
                self._request(random, seen, repeat_share, number * 4 + place) for place in range(4)
            ]
            for item in running:
                ledger.record_crash(item, number, fleet.now)
                if not ledger.try_admit(item, LIMIT, fleet.now):
                    refused.add(item)
                elif random.random() < answered_share:
                    ledger.record_answer(item, fleet.now + 0.2)
            seen = (seen + running)[-40:]
        return len(refused)

    def _request(
        self, random: Random, seen: list[bytes], repeat_share: float, number: int
    ) -> bytes:
        if seen and random.random() < repeat_share:
            return random.choice(seen)
        return fingerprint(number)

    def test_hundreds_of_unrelated_crashes_cause_few_refusals(self) -> None:
        # Of 3,200 requests none is refused wrongly if all are answered after a crash, 1 if nine in
        # ten are, and 33 if none is; of 12,000 requests 0, 3 and 38.
        self.assertEqual(self.refused_count(800, 0.1, 1.0), 0)
        self.assertLessEqual(self.refused_count(800, 0.1, 0.9), 3)
        self.assertLessEqual(self.refused_count(800, 0.1, 0.0), 50)
