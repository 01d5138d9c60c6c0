"""Large responses through two nodes: constant memory, and a retry while nothing was relayed."""

import asyncio
import tracemalloc
from typing import Any

from pewtertack.node.proxy.exchange import START_BUFFER_BYTES
from tests.node.gateway.test_gateway import GatewayTestCase, header
from tests.node.proxy.harness import begin_call, raw_call, request_bytes

GET = request_bytes("GET", "/", headers=("x-call: call-1", "x-left: 9000"))
GET_IN_A_MINUTE = request_bytes("GET", "/", headers=("x-call: call-1", "x-left: 60000"))
CHUNK = bytes(16 * 1024)
LENGTH = 320 * 1024
LARGE_LENGTH = 48 * 1024 * 1024
MAX_BUFFERED_BYTES = 4 * 1024 * 1024
"""Limit on the memory allocated while such a response passes the two nodes of this process."""


def response_head(head: str, length: int) -> bytes:
    call = header(head, "x-call").encode()
    return b"HTTP/1.1 200 OK\r\nx-call: %b\r\ncontent-length: %d\r\n\r\n" % (call, length)


class TruncatingBackends:
    """Back ends whose first response breaks off after ``cut_after`` bytes; later ones are whole."""

    def __init__(self, cut_after: int, length: int = LENGTH) -> None:
        self.cut_after = cut_after
        self.length = length
        self.calls = 0

    async def answer(self, _reader: Any, writer: Any, head: str) -> bool:
        self.calls += 1
        is_complete = self.calls > 1
        writer.write(response_head(head, self.length))
        writer.write(bytes(self.length if is_complete else self.cut_after))
        await writer.drain()
        await asyncio.sleep(0.02)
        return is_complete


class BrokenAnswerTest(GatewayTestCase):
    async def call(self, backends: TruncatingBackends, **changes: Any) -> tuple[int, int]:
        """Return the status and the body length that the caller received."""
        address = await self.start_fleet(backends.answer, backends.answer, **changes)
        answer = await raw_call(address, GET)
        return answer.status, len(answer.body)

    async def test_a_response_of_which_nothing_was_relayed_is_retried(self) -> None:
        for cut_after in (0, 1, START_BUFFER_BYTES // 2):
            with self.subTest(cut_after):
                backends = TruncatingBackends(cut_after)
                self.assertEqual(await self.call(backends, repeatable=True), (200, LENGTH))
                self.assertEqual(backends.calls, 2)

    async def test_a_partially_relayed_response_is_cut_for_the_caller(self) -> None:
        backends = TruncatingBackends(LENGTH - 1)
        status, received = await self.call(backends, repeatable=True)
        self.assertEqual((status, backends.calls), (200, 1))
        self.assertLess(received, LENGTH)

    async def test_a_non_repeatable_request_is_not_retried(self) -> None:
        backends = TruncatingBackends(1)
        status, received = await self.call(backends, repeatable=False)
        self.assertEqual((status, backends.calls), (200, 1))
        self.assertLess(received, LENGTH)


class FlatMemoryTest(GatewayTestCase):
    async def write_large(self, _reader: Any, writer: Any, head: str) -> bool:
        writer.write(response_head(head, LARGE_LENGTH))
        for _ in range(LARGE_LENGTH // len(CHUNK)):
            writer.write(CHUNK)
            await writer.drain()
        return True

    async def test_a_response_far_larger_than_the_buffers_is_relayed_whole(self) -> None:
        address = await self.start_fleet(self.write_large, repeatable=True, timeout=60.0)
        reader, writer = await begin_call(address, GET_IN_A_MINUTE)
        self.addCleanup(writer.close)
        await reader.readuntil(b"\r\n\r\n")
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        await asyncio.sleep(0.5)  # the caller does not read, so all buffers fill
        received = 0
        async with asyncio.timeout(30.0):
            while received < LARGE_LENGTH:
                chunk = await reader.read(1 << 16)
                self.assertTrue(chunk, f"cut after {received} bytes")
                received += len(chunk)
        self.assertLess(tracemalloc.get_traced_memory()[1], MAX_BUFFERED_BYTES)
