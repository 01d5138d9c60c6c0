"""Back ends that read no bodies: what a node keeps of all of them is bounded."""

import unittest
from typing import Any
from unittest import mock

from pewtertack.core.crashes.fingerprint import BODY_PREFIX_BYTES
from pewtertack.node.proxy import body as bodies
from pewtertack.node.proxy.body import BufferedBodies, RequestBody
from pewtertack.routing.outcomes import BodiesFullError

CHUNK = bytes(64 * 1024)
LIMIT = 4 * len(CHUNK)


def receive_of(chunks: int) -> Any:
    """Return an ASGI ``receive`` of a body of so many chunks."""
    left = [CHUNK] * chunks

    async def receive() -> dict[str, Any]:
        chunk = left.pop()
        return {"type": "http.request", "body": chunk, "more_body": bool(left)}

    return receive


class KeptBodiesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        patch = mock.patch.object(bodies, "TOTAL_BODY_BUFFER_BYTES", LIMIT)
        patch.start()
        self.addCleanup(patch.stop)
        self.kept = BufferedBodies()

    def body(self, chunks: int) -> RequestBody:
        return RequestBody(receive_of(chunks), True, self.kept)

    async def test_what_is_read_ahead_stops_at_the_sum_and_the_rest_is_streamed(self) -> None:
        first, second = self.body(6), self.body(6)
        await first.read_ahead()
        await second.read_ahead()
        self.assertEqual(self.kept.byte_count, LIMIT + len(CHUNK))
        with self.assertRaises(BodiesFullError):
            self.kept.check()
        self.assertEqual(sum([len(chunk) async for chunk in second.stream()]), 6 * len(CHUNK))
        self.assertFalse(second.replayable)
        self.assertEqual(self.kept.byte_count, LIMIT)
        self.assertGreaterEqual(len(second.beginning or b""), BODY_PREFIX_BYTES)

    async def test_a_request_that_has_ended_keeps_nothing(self) -> None:
        ended = [self.body(chunks) for chunks in (1, 3, 9)]
        for item in ended:
            await item.read_ahead(len(CHUNK))
            async for _ in item.stream():
                pass
            item.release()
            item.release()
        self.assertEqual(self.kept.byte_count, 0)
        self.kept.check()

    async def test_the_beginning_is_kept_in_any_case(self) -> None:
        await self.body(6).read_ahead()
        late = self.body(2)
        await late.read_ahead(BODY_PREFIX_BYTES)
        self.assertEqual(len(late.beginning or b""), BODY_PREFIX_BYTES)
