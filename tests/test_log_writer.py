"""A stalled or absent reader of the log costs lines, which are counted, and no time."""

import asyncio
import json
import os
import time
import unittest
from unittest import mock

from pewtertack import log_writer
from pewtertack.log_writer import BUFFER_BYTES, BoundedWriter

LINE = b"x" * 200


def left_out(routine: int, other: int) -> bytes:
    return json.dumps({"left_out": [routine, other]}).encode()


class BoundedWriterTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.reader, descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, descriptor)
        self.writer = BoundedWriter(descriptor, left_out)

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

    async def test_lines_arrive_whole_and_in_order(self) -> None:
        for index in range(100):
            self.writer.write(b"%d" % index, routine=False)
        self.assertEqual(await self.read_until_quiet(), [b"%d" % index for index in range(100)])

    async def test_lines_of_an_active_process_go_out_without_a_wake_of_their_own(self) -> None:
        with mock.patch.object(log_writer, "BATCH_SECONDS", 3600.0):
            self.writer.write(b"first", routine=False)
            await asyncio.sleep(log_writer.GATHER_SECONDS)
            self.writer.write(b"second", routine=False)
            self.writer.write(b"third", routine=False)
            self.assertEqual(await self.read_until_quiet(), [b"first", b"second", b"third"])
            self.writer.write(b"fourth", routine=False)
            self.assertEqual(await self.read_until_quiet(), [])
            self.writer.write(b"fifth", routine=False)
            self.assertEqual(await self.read_until_quiet(), [b"fourth", b"fifth"])

    async def test_a_full_pipe_delays_nobody_and_what_is_left_out_is_counted(self) -> None:
        slowest = 0.0
        for index in range(3000):
            began = time.perf_counter()
            self.writer.write(LINE, routine=index % 2 == 0)
            slowest = max(slowest, time.perf_counter() - began)
            if index % 50 == 0:
                await asyncio.sleep(0.001)
        self.assertLess(slowest, 0.05)
        lines = await self.read_until_quiet()
        told = [json.loads(line)["left_out"] for line in lines if line.startswith(b"{")]
        written = sum(1 for line in lines if line == LINE)
        self.assertEqual(written + sum(map(sum, told)), 3000)
        self.assertGreater(sum(pair[0] for pair in told), 0)

    async def test_lines_of_failures_are_kept_before_routine_ones(self) -> None:
        for _ in range(1000):
            self.writer.write(LINE, routine=True)
        for index in range(500):
            self.writer.write(b"failure %d" % index, routine=False)
        lines = await self.read_until_quiet()
        self.assertEqual(sum(line.startswith(b"failure") for line in lines), 500)

    async def test_what_is_left_out_goes_by_the_clock_that_was_given(self) -> None:
        now, per_second = 0.0, int(log_writer.ROUTINE_LINES_PER_SECOND)
        writer = BoundedWriter(self.writer._descriptor, left_out, lambda: now)
        for _ in range(per_second + 5):
            writer.write(b"still", routine=True)
        for _ in range(per_second):
            now += 1 / per_second
            writer.write(b"going", routine=True)
        lines = await self.read_until_quiet()
        self.assertEqual(lines.count(b"still"), per_second)
        self.assertGreaterEqual(lines.count(b"going"), per_second - 1)  # by rounding
        told = [json.loads(line)["left_out"] for line in lines if line.startswith(b"{")]
        self.assertEqual(sum(map(sum, told)) + len(lines) - len(told), 2 * per_second + 5)

    async def test_the_buffer_is_bounded(self) -> None:
        for _ in range(5000):
            self.writer.write(LINE, routine=False)
        self.assertLessEqual(len(self.writer._buffer), BUFFER_BYTES)

    async def test_a_reader_that_has_gone_is_no_error(self) -> None:
        reader, descriptor = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, descriptor)
        writer = BoundedWriter(descriptor, left_out)
        writer.write(LINE, routine=False)
        await asyncio.sleep(0.05)
        writer.close()
