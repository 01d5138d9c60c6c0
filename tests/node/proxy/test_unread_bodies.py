"""Back ends that do not read bodies: the buffered bytes of all bodies are limited."""

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
    """Return an ASGI ``receive`` for a body with that number of chunks."""
    remaining = [CHUNK] * chunks

    async def receive() -> dict[str, Any]:
        chunk = remaining.pop()
        return {"type": "http.request", "body": chunk, "more_body": bool(remaining)}

    return receive


class BufferedBodiesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        patch = mock.patch.object(bodies, "TOTAL_BODY_BUFFER_BYTES", LIMIT)
        patch.start()
        self.addCleanup(patch.stop)
        self.buffered = BufferedBodies()

    def body(self, chunks: int) -> RequestBody:
        return RequestBody(receive_of(chunks), True, self.buffered)

    async def test_reading_ahead_stops_at_the_total_limit_and_the_rest_is_streamed(self) -> None:
        first, second = self.body(6), self.body(6)
        await first.read_ahead()
        await second.read_ahead()
        self.assertEqual(self.buffered.byte_count, LIMIT + len(CHUNK))
        with self.assertRaises(BodiesFullError):
            self.buffered.check()
        self.assertEqual(sum([len(chunk) async for chunk in second.stream()]), 6 * len(CHUNK))
        self.assertFalse(second.replayable)
        self.assertEqual(self.buffered.byte_count, LIMIT)
        self.assertGreaterEqual(len(second.beginning or b""), BODY_PREFIX_BYTES)

    async def test_a_released_body_buffers_nothing(self) -> None:
        ended = [self.body(chunks) for chunks in (1, 3, 9)]
        for item in ended:
            await item.read_ahead(len(CHUNK))
            async for _ in item.stream():
                pass
            item.release()
            item.release()
        self.assertEqual(self.buffered.byte_count, 0)
        self.buffered.check()

    async def test_the_beginning_is_buffered_even_at_the_limit(self) -> None:
        await self.body(6).read_ahead()
        late = self.body(2)
        await late.read_ahead(BODY_PREFIX_BYTES)
        self.assertEqual(len(late.beginning or b""), BODY_PREFIX_BYTES)
