"""Whom a node that is behind asks for a document, and how long it waits for the answer."""

import unittest

from pewtertack.core.replication.puller import PullCandidate, Puller
from pewtertack.core.revision import RevisionId

TIMEOUT = 0.5


def source(name: str, host: str, number: int = 2) -> PullCandidate:
    return PullCandidate(name, f"{host}:7000", RevisionId(number, b"d"))


class PullerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.puller = Puller(TIMEOUT)
        self.puller.offer(source("a", "192.0.2.1", 3))
        self.puller.offer(source("b", "192.0.2.2"))
        self.assertEqual(self.asked(0.0), "a")

    def asked(self, now: float) -> str | None:
        found = self.puller.next_candidate(now)
        return found.name if found is not None else None

    def test_a_silent_peer_gives_way_to_the_next(self) -> None:
        self.assertIsNone(self.asked(0.4))
        self.assertEqual(self.asked(0.5), "b")

    def test_an_answer_that_is_arriving_is_waited_for(self) -> None:
        for now in (0.3, 0.7, 1.1, 1.5):
            self.puller.on_frame_arriving(now, "192.0.2.1")
            self.assertIsNone(self.asked(now + 0.3))
        self.assertEqual(self.asked(2.0), "b")

    def test_what_another_peer_sends_keeps_nobody_waiting(self) -> None:
        self.puller.on_frame_arriving(0.4, "192.0.2.3")
        self.assertEqual(self.asked(0.5), "b")

    def test_hosts_of_both_kinds_are_known_again(self) -> None:
        self.assertEqual(source("c", "[2001:db8::1]").host, "2001:db8::1")
        self.assertEqual(source("c", "192.0.2.9").host, "192.0.2.9")


if __name__ == "__main__":
    unittest.main()
