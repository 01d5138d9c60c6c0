"""Generated requests: the seed determines them, and only some callers request long responses."""

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


def generate(generator_type: type[RequestGenerator], seed: int) -> list[list[CallKind]]:
    generator = generator_type(mix_of_tree(TREE), random.Random(seed))
    return [generator.next_requests() for _ in range(TURNS)]


class RequestsTest(unittest.TestCase):
    def test_seed_determines_requests(self) -> None:
        for generator_type in (MixedRequestGenerator, DownloadRequestGenerator):
            self.assertEqual(generate(generator_type, 5), generate(generator_type, 5))
            self.assertNotEqual(generate(generator_type, 5), generate(generator_type, 6))

    def test_downloads_are_long_and_sent_one_at_a_time(self) -> None:
        minimum, maximum = DOWNLOAD_BYTES
        self.assertGreater(minimum, LONG_BYTES)
        for calls in generate(DownloadRequestGenerator, 1):
            (call,) = calls
            self.assertEqual((call.route, call.body_bytes), (DOWNLOAD, 0))
            self.assertTrue(minimum <= call.answer_bytes <= maximum)

    def test_mixed_requests_use_all_other_routes(self) -> None:
        routes = {call.route for calls in generate(MixedRequestGenerator, 1) for call in calls}
        self.assertEqual(routes, TREE["routes"].keys() - {DOWNLOAD})
