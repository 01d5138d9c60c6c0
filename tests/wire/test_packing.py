"""Compressed answers to pulls: round trip, refusals, and compression ratio."""

import unittest
import zlib
from random import Random
from typing import Any

import msgspec

from pewtertack.core.delta import Delta, SetValue
from pewtertack.core.revision import RevisionId
from pewtertack.wire.errors import MalformedFrameError, OversizedFrameError
from pewtertack.wire.messages import DeltaAnswer, DocumentKind, PackedAnswer, SnapshotAnswer
from pewtertack.wire.packing import UNPACKED_BYTES_MAX, pack, unpack


def routes(count: int) -> dict[str, Any]:
    random = Random(1)
    return {
        f"r-{random.getrandbits(40):x}": {
            "service": random.choice(("alpha", "beta")),
            "hosts": [f"{random.getrandbits(30):x}.example"],
            "path_prefix": f"/{random.getrandbits(32):x}",
            "timeout": "1500ms",
            "priority": 2,
            "repeatable": True,
        }
        for _ in range(count)
    }


def deltas(count: int) -> DeltaAnswer:
    edits = tuple(SetValue(("routes", name), entry) for name, entry in routes(count).items())
    delta = Delta(RevisionId(1, b"a" * 16), RevisionId(2, b"b" * 16), edits)
    return DeltaAnswer(DocumentKind.CONFIGURATION, (delta,))


class PackingTest(unittest.TestCase):
    def test_round_trip(self) -> None:
        snapshot = SnapshotAnswer(
            DocumentKind.MACHINE_LIST,
            RevisionId(3, b"c" * 16),
            {"a": {"b": [1, None, 0.5, "x" * 2000]}},
        )
        for answer in (deltas(20), snapshot):
            packed = pack(answer)
            assert packed is not None
            self.assertEqual(unpack(packed), answer)

    def test_a_large_change_is_compressed_to_less_than_a_third(self) -> None:
        answer = deltas(1360)
        packed = pack(answer)
        assert packed is not None
        self.assertLess(3 * len(packed.content), len(msgspec.msgpack.encode(answer)))

    def test_a_short_answer_is_not_compressed(self) -> None:
        self.assertIsNone(pack(deltas(1)))

    def test_an_answer_that_messagepack_cannot_encode_is_not_compressed(self) -> None:
        answer = SnapshotAnswer(DocumentKind.CONFIGURATION, RevisionId(1, b""), {"a": 2**70})
        self.assertIsNone(pack(answer))

    def test_each_refusal_has_its_error_type(self) -> None:
        good = pack(deltas(20))
        assert good is not None
        whole = zlib.compress(msgspec.msgpack.encode([99, 1]))
        for content in (b"", b"no zlib", good.content[:-5], whole):
            with self.subTest(content[:10]), self.assertRaises(MalformedFrameError):
                unpack(PackedAnswer(DocumentKind.CONFIGURATION, content))
        with self.assertRaises(MalformedFrameError):
            unpack(PackedAnswer(DocumentKind.MACHINE_LIST, good.content))
        with self.assertRaises(OversizedFrameError):
            bomb = zlib.compress(bytes(UNPACKED_BYTES_MAX + 1))
            unpack(PackedAnswer(DocumentKind.CONFIGURATION, bomb))


if __name__ == "__main__":
    unittest.main()
