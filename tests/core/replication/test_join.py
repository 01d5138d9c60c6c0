"""Join protocol: when a joiner knows enough to serve."""

import unittest
from random import Random

from pewtertack.core.identity import NodeIdentity
from pewtertack.core.machines import Machine, MachineRole
from pewtertack.core.membership.table import MemberTable, QuorumMembers
from pewtertack.core.profile import FAST
from pewtertack.core.replication.join import Joiner
from pewtertack.core.revision import RevisionId
from pewtertack.wire.messages import VersionState

COMMITTED = RevisionId(5, b"c")
LONG_SECONDS = 1000.0
FIVE = QuorumMembers({"self": "a", "a1": "a", "a2": "a", "b1": "b", "b2": "b"})


class JoinerTest(unittest.TestCase):
    def setUp(self) -> None:
        identity = NodeIdentity("self", "127.0.0.1:1", "a", "", 1)
        table = MemberTable(identity, FAST.dead_retention, FAST.forget_after)
        nodes = [Machine(f"a{n}", MachineRole.NODE, "a", f"127.0.0.1:{n}") for n in (1, 2)]
        table.use_machine_list(nodes, 0.0)
        self.joiner = Joiner("a", FAST, table, (), Random(1))
        self.joiner.start(0.0)

    def record_answer(self, name: str, held: RevisionId = COMMITTED, serving: bool = True) -> None:
        state = VersionState.of(held, COMMITTED, 1, serving)
        self.joiner.on_answer(0.0, name, name[0], state)

    def test_a_joiner_waits_until_a_held_revision_is_committed(self) -> None:
        held = RevisionId(6, b"x")
        self.record_answer("a1", held)
        self.record_answer("b1")
        self.assertFalse(self.joiner.is_held_wait_over(LONG_SECONDS, COMMITTED))
        self.assertTrue(self.joiner.is_held_wait_over(0.0, held))

    def test_the_wait_for_one_of_two_digests_of_a_number_is_limited(self) -> None:
        self.record_answer("a1", RevisionId(6, b"x"))
        self.record_answer("b1", RevisionId(6, b"y"))
        self.assertFalse(self.joiner.is_held_wait_over(0.0, COMMITTED))
        self.assertTrue(self.joiner.is_held_wait_over(FAST.join_hold_wait, COMMITTED))

    def test_a_majority_in_one_zone_is_not_enough(self) -> None:
        for name in ("a1", "a2", "a3"):
            self.record_answer(name)
        self.assertFalse(self.joiner.knows_enough(LONG_SECONDS, FIVE))
        self.record_answer("b1")
        self.assertTrue(self.joiner.knows_enough(0.0, FIVE))

    def test_peers_are_asked_again_until_one_of_them_serves(self) -> None:
        self.record_answer("a1", serving=False)
        self.record_answer("a2", serving=False)
        asked = {name for name, _ in self.joiner.addresses_to_ask(2 * FAST.join_retry)}
        self.assertEqual(asked, {"a1", "a2"})
        self.record_answer("a1")
        self.assertEqual(self.joiner.addresses_to_ask(4 * FAST.join_retry), [])

    def test_other_joiners_count_only_after_join_patience(self) -> None:
        for name in ("a1", "b1"):
            self.record_answer(name, serving=False)
        self.assertFalse(self.joiner.knows_enough(0.0, FIVE))
        self.assertTrue(self.joiner.knows_enough(FAST.join_patience, FIVE))


if __name__ == "__main__":
    unittest.main()
