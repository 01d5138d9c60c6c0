"""What callers of a soak ask for: the seed decides, and only some ask for long answers."""

import random
import unittest

from pewtertack.lab.load.mix import CallKind, mix_of_tree
from pewtertack.lab.soak.mix import (
    DOWNLOAD,
    DOWNLOAD_BYTES,
    DownloadRequestGenerator,
    MixedRequestGenerator,
    RequestGenerator,
)
from pewtertack.lab.soak.shape import TREE
from pewtertack.routing.link import LONG_BYTES

TURNS = 200


def drawn(kind: type[RequestGenerator], seed: int) -> list[list[CallKind]]:
    requests = kind(mix_of_tree(TREE), random.Random(seed))
    return [requests.draw() for _ in range(TURNS)]


class RequestsTest(unittest.TestCase):
    def test_the_seed_decides(self) -> None:
        for kind in (MixedRequestGenerator, DownloadRequestGenerator):
            self.assertEqual(drawn(kind, 5), drawn(kind, 5))
            self.assertNotEqual(drawn(kind, 5), drawn(kind, 6))

    def test_downloads_are_long_and_come_one_at_a_time(self) -> None:
        least, most = DOWNLOAD_BYTES
        self.assertGreater(least, LONG_BYTES)
        for calls in drawn(DownloadRequestGenerator, 1):
            (call,) = calls
            self.assertEqual((call.route, call.body_bytes), (DOWNLOAD, 0))
            self.assertTrue(least <= call.answer_bytes <= most)

    def test_others_ask_for_everything_else(self) -> None:
        routes = {call.route for calls in drawn(MixedRequestGenerator, 1) for call in calls}
        self.assertEqual(routes, TREE["routes"].keys() - {DOWNLOAD})
