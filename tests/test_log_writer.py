"""A stalled or absent reader of the log loses lines, which are counted, but blocks nothing."""

import asyncio
import json
import os
import time
import unittest
from unittest import mock

from pewtertack import log_writer
from pewtertack.log_writer import BUFFER_BYTES, BoundedWriter

LINE = b"x" * 200


def dropped_line(routine: int, other: int) -> bytes:
    return json.dumps({"dropped": [routine, other]}).encode()


class BoundedWriterTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.reader, descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, descriptor)
        self.writer = BoundedWriter(descriptor, dropped_line)

    async def read_until_quiet(self) -> list[bytes]:
        os.set_blocking(self.reader, False)
        received = bytearray()
        quiet = 0
        while quiet < 5:
            await asyncio.sleep(0.03)
            try:
                received += os.read(self.reader, 1 << 20)
                quiet = 0
            except BlockingIOError:
                quiet += 1
        return bytes(received).splitlines()

    async def test_lines_arrive_complete_and_in_order(self) -> None:
        for index in range(100):
            self.writer.write(b"%d" % index, routine=False)
        self.assertEqual(await self.read_until_quiet(), [b"%d" % index for index in range(100)])

    async def test_old_lines_are_written_along_with_a_new_one_without_the_timer(self) -> None:
        with mock.patch.object(log_writer, "FLUSH_INTERVAL_SECONDS", 3600.0):
            self.writer.write(b"first", routine=False)
            await asyncio.sleep(log_writer.COALESCE_SECONDS)
            self.writer.write(b"second", routine=False)
            self.writer.write(b"third", routine=False)
            self.assertEqual(await self.read_until_quiet(), [b"first", b"second", b"third"])
            self.writer.write(b"fourth", routine=False)
            self.assertEqual(await self.read_until_quiet(), [])
            self.writer.write(b"fifth", routine=False)
            self.assertEqual(await self.read_until_quiet(), [b"fourth", b"fifth"])

    async def test_full_pipe_does_not_block_and_dropped_lines_are_counted(self) -> None:
        slowest = 0.0
        for index in range(3000):
            started = time.perf_counter()
            self.writer.write(LINE, routine=index % 2 == 0)
            slowest = max(slowest, time.perf_counter() - started)
            if index % 50 == 0:
                await asyncio.sleep(0.001)
        self.assertLess(slowest, 0.05)
        lines = await self.read_until_quiet()
        reported = [json.loads(line)["dropped"] for line in lines if line.startswith(b"{")]
        written = sum(1 for line in lines if line == LINE)
        self.assertEqual(written + sum(map(sum, reported)), 3000)
        self.assertGreater(sum(pair[0] for pair in reported), 0)

    async def test_failure_lines_have_precedence_over_routine_lines(self) -> None:
        for _ in range(1000):
            self.writer.write(LINE, routine=True)
        for index in range(500):
            self.writer.write(b"failure %d" % index, routine=False)
        lines = await self.read_until_quiet()
        self.assertEqual(sum(line.startswith(b"failure") for line in lines), 500)

    async def test_rate_limit_uses_the_given_clock(self) -> None:
        now, per_second = 0.0, int(log_writer.ROUTINE_LINES_PER_SECOND)
        writer = BoundedWriter(self.writer._descriptor, dropped_line, lambda: now)
        for _ in range(per_second + 5):
            writer.write(b"initial", routine=True)
        for _ in range(per_second):
            now += 1 / per_second
            writer.write(b"refilled", routine=True)
        lines = await self.read_until_quiet()
        self.assertEqual(lines.count(b"initial"), per_second)
        self.assertGreaterEqual(
            lines.count(b"refilled"), per_second - 1
        )  # one may be lost to rounding
        reported = [json.loads(line)["dropped"] for line in lines if line.startswith(b"{")]
        self.assertEqual(sum(map(sum, reported)) + len(lines) - len(reported), 2 * per_second + 5)

    async def test_buffer_is_bounded(self) -> None:
        for _ in range(5000):
            self.writer.write(LINE, routine=False)
        self.assertLessEqual(len(self.writer._buffer), BUFFER_BYTES)

    async def test_closed_reader_raises_no_error(self) -> None:
        reader, descriptor = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, descriptor)
        writer = BoundedWriter(descriptor, dropped_line)
        writer.write(LINE, routine=False)
        await asyncio.sleep(0.05)
        writer.close()
