"""Large answers through two nodes: flat memory, and another try while nothing was passed on."""

import asyncio
import tracemalloc
from typing import Any

from pewtertack.node.proxy.exchange import START_BUFFER_BYTES
from tests.node.gateway.test_gateway import GatewayTestCase, header
from tests.node.proxy.harness import begin_call, raw_call, request_bytes

GET = request_bytes("GET", "/", headers=("x-call: call-1", "x-left: 9000"))
GET_IN_A_MINUTE = request_bytes("GET", "/", headers=("x-call: call-1", "x-left: 60000"))
PART = bytes(16 * 1024)
LENGTH = 320 * 1024
LARGE_LENGTH = 48 * 1024 * 1024
FLAT_BYTES = 4 * 1024 * 1024
"""What may be held at most while one such answer passes both nodes of this process."""


def head_of(head: str, length: int) -> bytes:
    call = header(head, "x-call").encode()
    return b"HTTP/1.1 200 OK\r\nx-call: %b\r\ncontent-length: %d\r\n\r\n" % (call, length)


class CutAnswers:
    """Back ends whose first answer breaks off after so many bytes; later ones are whole."""

    def __init__(self, cut_after: int, length: int = LENGTH) -> None:
        self.cut_after = cut_after
        self.length = length
        self.calls = 0

    async def answer(self, _reader: Any, writer: Any, head: str) -> bool:
        self.calls += 1
        whole = self.calls > 1
        writer.write(head_of(head, self.length))
        writer.write(bytes(self.length if whole else self.cut_after))
        await writer.drain()
        await asyncio.sleep(0.02)
        return whole


class BrokenAnswerTest(GatewayTestCase):
    async def call(self, backends: CutAnswers, **changes: Any) -> tuple[int, int]:
        """Return the status and the length of what the caller got."""
        address = await self.start_fleet(backends.answer, backends.answer, **changes)
        answer = await raw_call(address, GET)
        return answer.status, len(answer.body)

    async def test_one_of_which_nothing_was_passed_on_is_tried_again(self) -> None:
        for cut_after in (0, 1, START_BUFFER_BYTES // 2):
            with self.subTest(cut_after):
                backends = CutAnswers(cut_after)
                self.assertEqual(await self.call(backends, repeatable=True), (200, LENGTH))
                self.assertEqual(backends.calls, 2)

    async def test_one_that_was_passed_on_in_part_is_cut_for_the_caller(self) -> None:
        backends = CutAnswers(LENGTH - 1)
        status, received = await self.call(backends, repeatable=True)
        self.assertEqual((status, backends.calls), (200, 1))
        self.assertLess(received, LENGTH)

    async def test_one_that_may_not_be_repeated_is_not(self) -> None:
        backends = CutAnswers(1)
        status, received = await self.call(backends, repeatable=False)
        self.assertEqual((status, backends.calls), (200, 1))
        self.assertLess(received, LENGTH)


class FlatMemoryTest(GatewayTestCase):
    async def write_large(self, _reader: Any, writer: Any, head: str) -> bool:
        writer.write(head_of(head, LARGE_LENGTH))
        for _ in range(LARGE_LENGTH // len(PART)):
            writer.write(PART)
            await writer.drain()
        return True

    async def test_an_answer_far_larger_than_memory_passes_whole(self) -> None:
        address = await self.start_fleet(self.write_large, repeatable=True, timeout=60.0)
        reader, writer = await begin_call(address, GET_IN_A_MINUTE)
        self.addCleanup(writer.close)
        await reader.readuntil(b"\r\n\r\n")
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        await asyncio.sleep(0.5)  # the caller does not read: all buffers fill
        received = 0
        async with asyncio.timeout(30.0):
            while received < LARGE_LENGTH:
                part = await reader.read(1 << 16)
                self.assertTrue(part, f"cut after {received} bytes")
                received += len(part)
        self.assertLess(tracemalloc.get_traced_memory()[1], FLAT_BYTES)
