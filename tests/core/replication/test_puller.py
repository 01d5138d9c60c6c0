"""Selection of the peer to pull from, and the timeout of a pull."""

import unittest

from pewtertack.core.replication.puller import PullCandidate, Puller
from pewtertack.core.revision import RevisionId

TIMEOUT_SECONDS = 0.5


def candidate(name: str, host: str, number: int = 2) -> PullCandidate:
    return PullCandidate(name, f"{host}:7000", RevisionId(number, b"d"))


class PullerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.puller = Puller(TIMEOUT_SECONDS)
        self.puller.offer(candidate("a", "192.0.2.1", 3))
        self.puller.offer(candidate("b", "192.0.2.2"))
        self.assertEqual(self.asked_peer(0.0), "a")

    def asked_peer(self, now: float) -> str | None:
        chosen = self.puller.next_candidate(now)
        return chosen.name if chosen is not None else None

    def test_the_next_peer_is_asked_after_a_timeout(self) -> None:
        self.assertIsNone(self.asked_peer(0.4))
        self.assertEqual(self.asked_peer(0.5), "b")

    def test_an_arriving_answer_extends_the_timeout(self) -> None:
        for now in (0.3, 0.7, 1.1, 1.5):
            self.puller.on_frame_arriving(now, "192.0.2.1")
            self.assertIsNone(self.asked_peer(now + 0.3))
        self.assertEqual(self.asked_peer(2.0), "b")

    def test_frames_from_another_peer_do_not_extend_the_timeout(self) -> None:
        self.puller.on_frame_arriving(0.4, "192.0.2.3")
        self.assertEqual(self.asked_peer(0.5), "b")

    def test_hosts_with_ipv4_and_ipv6_addresses_are_recognized(self) -> None:
        self.assertEqual(candidate("c", "[2001:db8::1]").host, "2001:db8::1")
        self.assertEqual(candidate("c", "192.0.2.9").host, "192.0.2.9")


if __name__ == "__main__":
    unittest.main()
