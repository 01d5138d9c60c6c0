"""Back ends that break off, shed, mix up or stall requests; callers that disconnect."""

import asyncio
import json
import socket
from typing import Any

from tests.node.proxy.harness import (
    LOOPBACK,
    Answer,
    ProxyTestCase,
    RawBackend,
    answer_bytes,
    begin_call,
    raw_call,
    request_bytes,
    request_id_of,
)
from tests.routing.samples import configuration, route

UPLOAD = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 30000000\r\n\r\n"
POST = request_bytes("POST", "/hold", b"number")
LONG_TIMEOUT = configuration(route(timeout=60.0))
REPEATABLE = configuration(route(repeatable=True, retry_limit=1))


async def answer_normally(reader: Any, writer: Any, head: str) -> bool:
    await read_content(reader, head)
    writer.write(answer_bytes(b"ok", b"x-request-id: " + request_id_of(head)))
    return True


async def close_without_response(reader: Any, writer: Any, head: str) -> bool:
    return False


async def shed(reader: Any, writer: Any, head: str) -> bool:
    await read_content(reader, head)
    headers = (b"x-outcome: not-run", b"retry-after: 7")
    writer.write(answer_bytes(b"busy", *headers, status=b"503 Shed"))
    return True


async def shed_by_id(reader: Any, writer: Any, head: str) -> bool:
    await read_content(reader, head)
    headers = (b"x-outcome: not-run", b"x-request-id: " + request_id_of(head))
    writer.write(answer_bytes(b"busy", *headers, status=b"503 Shed"))
    return True


async def answer_another_request(reader: Any, writer: Any, head: str) -> bool:
    writer.write(answer_bytes(b"another's", b"x-request-id: someone-else"))
    return True


async def read_content(reader: Any, head: str) -> None:
    if "content-length: " in head:
        await reader.readexactly(int(head.split("content-length: ")[1].split("\r\n")[0]))


def unused_address() -> str:
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return f"{LOOPBACK}:{probe.getsockname()[1]}"


class AttemptsTest(ProxyTestCase):
    def assert_failure(self, answer: Answer, status: int, code: str, outcome: str) -> None:
        self.assertEqual((answer.status, json.loads(answer.body)["type"]), (status, code))
        self.assertEqual(answer.headers["x-outcome"], outcome)
        self.assertIn("retry-after", answer.headers)

    async def test_a_non_repeatable_request_is_sent_once(self) -> None:
        breaking, healthy = RawBackend(close_without_response), RawBackend(answer_normally)
        address = await self.start(breaking, healthy)
        answers = [await raw_call(address, POST) for _ in range(12)]
        failed = [answer for answer in answers if answer.status != 200]
        self.assertEqual(breaking.calls, len(failed))
        self.assertEqual(breaking.calls + healthy.calls, 12)
        self.assertTrue(failed)
        for answer in failed:
            self.assert_failure(answer, 502, "backend-failed", "unknown")

    async def test_a_repeatable_request_is_retried_at_another_back_end(self) -> None:
        breaking, healthy = RawBackend(close_without_response), RawBackend(answer_normally)
        address = await self.start(breaking, healthy, settings=REPEATABLE)
        for _ in range(12):
            self.assertEqual((await raw_call(address, POST)).status, 200)
        self.assertTrue(breaking.calls)

    async def test_a_failed_connect_is_not_run_and_another_back_end_is_tried(self) -> None:
        address = await self.start(unused_address(), RawBackend(answer_normally))
        for _ in range(8):
            self.assertEqual((await raw_call(address, POST)).status, 200)
        address = await self.start(unused_address())
        answer = await raw_call(address, POST)
        self.assert_failure(answer, 503, "backend-unreachable", "not-run")

    async def test_a_shed_request_is_replayed_with_its_body_at_another_back_end(self) -> None:
        bodies = []

        async def keep(reader: Any, writer: Any, head: str) -> bool:
            bodies.append(await reader.readexactly(6))
            writer.write(answer_bytes())
            return True

        for script, reused in ((shed_by_id, True), (shed, False)):
            with self.subTest(reused=reused):
                shedding = RawBackend(script)
                address = await self.start(shedding, RawBackend(keep))
                for _ in range(8):
                    self.assertEqual((await raw_call(address, POST)).status, 200)
                self.assertEqual(set(bodies), {b"number"})
                self.assertGreater(shedding.calls, 1)
                # A late copy of a refusal without an id could refuse the connection's next request.
                self.assertEqual(shedding.connections, 1 if reused else shedding.calls)

    async def test_a_body_still_being_received_is_sent_whole_after_an_early_response_broke_off(
        self,
    ) -> None:
        """Guards against a 504 at the caller's deadline in place of a response.

        The rest of the request's body was dropped as soon as the head of a response arrived, since
        no other attempt was expected. But the request is retried if that response breaks off.
        """
        started = asyncio.Event()

        async def break_off_early(reader: Any, writer: Any, head: str) -> bool:
            if not started.is_set():
                lines = b"x-request-id: " + request_id_of(head)
                writer.write(answer_bytes(b"ok", lines)[:-1])
                started.set()
                await resume.wait()
                return False
            return await answer_normally(reader, writer, head)

        resume = asyncio.Event()
        address = await self.start(
            RawBackend(break_off_early), RawBackend(break_off_early), settings=REPEATABLE
        )
        raw = request_bytes("POST", "/", b"p" * 1000)
        reader, writer = await begin_call(address, raw[:-600])
        await started.wait()
        for part in (raw[-600:-300], raw[-300:]):
            await asyncio.sleep(0.05)
            writer.write(part)
        await asyncio.sleep(0.05)
        resume.set()
        self.assertEqual(Answer(await reader.read()).status, 200)
        writer.close()

    async def test_a_large_body_is_not_replayed_and_the_outcome_is_not_run(self) -> None:
        shedding = RawBackend(shed)
        address = await self.start(shedding, settings=REPEATABLE)
        answer = await raw_call(address, request_bytes("POST", "/", b"x" * 600_000))
        self.assert_failure(answer, 503, "backend-shed", "not-run")
        self.assertEqual(answer.headers["retry-after"], "7")
        self.assertEqual(shedding.calls, 1)

    async def test_the_outcome_is_unknown_after_any_attempt_that_may_have_run(self) -> None:
        scripts = [close_without_response, shed]

        async def first_break_then_shed(reader: Any, writer: Any, head: str) -> bool:
            return await scripts.pop(0)(reader, writer, head)

        backend = RawBackend(first_break_then_shed)
        address = await self.start(backend, settings=REPEATABLE)
        answer = await raw_call(address, POST)
        self.assertEqual(backend.calls, 2)
        # 502 and not 503, as callers may take the status 503 itself to mean "not run"
        self.assert_failure(answer, 502, "backend-shed", "unknown")

    async def test_a_response_to_another_request_is_not_relayed(self) -> None:
        crossed = RawBackend(answer_another_request)
        address = await self.start(crossed)
        for _ in range(2):
            self.assert_failure(await raw_call(address, POST), 502, "crossed-answer", "unknown")
        self.assertEqual(crossed.connections, 2)

    async def test_a_response_without_framing_is_not_relayed(self) -> None:
        async def unframed(reader: Any, writer: Any, head: str) -> bool:
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf of i")
            return False

        address = await self.start(RawBackend(unframed))
        self.assert_failure(await raw_call(address, POST), 502, "backend-failed", "unknown")

    async def test_a_deadline_during_the_exchange_has_unknown_outcome(self) -> None:
        ended = asyncio.Event()

        async def stall(reader: Any, writer: Any, head: str) -> bool:
            await read_content(reader, head)
            await reader.read()
            ended.set()
            return False

        address = await self.start(RawBackend(stall))
        raw = request_bytes("POST", "/", b"x", headers=("x-deadline-ms: 800",))
        self.assert_failure(await raw_call(address, raw), 504, "deadline-exceeded", "unknown")
        await asyncio.wait_for(ended.wait(), 5)

    async def test_an_idle_connection_that_the_back_end_closed_is_not_used(self) -> None:
        async def answer_and_close(reader: Any, writer: Any, head: str) -> bool:
            await answer_normally(reader, writer, head)
            return False

        address = await self.start(RawBackend(answer_and_close))
        for _ in range(5):
            self.assertEqual((await raw_call(address, POST)).status, 200)


class StreamTest(ProxyTestCase):
    async def test_a_short_response_that_breaks_off_is_a_failure_of_unknown_outcome(self) -> None:
        async def truncate(reader: Any, writer: Any, head: str) -> bool:
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf")
            await writer.drain()
            return False

        address = await self.start(RawBackend(truncate), settings=REPEATABLE)
        answer = await raw_call(address, request_bytes())
        self.assertEqual((answer.status, answer.headers["x-outcome"]), (502, "unknown"))
        self.assertNotIn(b"half", answer.body)

    async def test_a_truncated_response_never_ends_cleanly(self) -> None:
        framings = {
            "length": b"content-length: 100000\r\n\r\nhalf",
            "chunks": b"transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        }
        cases = [("length", LONG_TIMEOUT), ("chunks", LONG_TIMEOUT), ("chunks", REPEATABLE)]
        for name, settings in cases:
            with self.subTest(name):
                framing = framings[name]

                async def truncate(
                    reader: Any, writer: Any, head: str, framing: bytes = framing
                ) -> bool:
                    writer.write(b"HTTP/1.1 200 OK\r\n" + framing)
                    await writer.drain()
                    return False

                address = await self.start(RawBackend(truncate), settings=settings)
                answer = await raw_call(address, request_bytes())
                self.assertEqual(answer.status, 200)
                self.assertFalse(answer.body.endswith(b"0\r\n\r\n"))
                self.assertLess(len(answer.body), 100)

    async def test_the_buffered_start_of_a_truncated_response_is_not_relayed(self) -> None:
        async def truncate(reader: Any, writer: Any, head: str) -> bool:
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\nhalf")
            await writer.drain()
            return False

        address = await self.start(RawBackend(truncate), settings=REPEATABLE)
        answer = await raw_call(address, request_bytes())
        self.assertEqual((answer.status, answer.headers["x-outcome"]), (502, "unknown"))
        self.assertNotIn(b"half", answer.body)

    async def test_a_caller_that_disconnects_ends_the_exchange(self) -> None:
        for raw in (request_bytes(), UPLOAD.replace(b" / ", b" /early ")):
            with self.subTest(raw):
                await self.assert_exchange_ends_with_caller(raw)

    async def assert_exchange_ends_with_caller(self, raw: bytes) -> None:
        started, ended = asyncio.Event(), asyncio.Event()

        async def stall(reader: Any, writer: Any, head: str) -> bool:
            if "/early" in head:
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\nhalf")
            started.set()
            while await reader.read(100):
                pass
            ended.set()
            return False

        address = await self.start(RawBackend(stall), settings=LONG_TIMEOUT)
        reader, writer = await begin_call(address, raw)
        await asyncio.wait_for(started.wait(), 5)
        reading = asyncio.create_task(reader.readuntil(b"half"))
        while b"/early" in raw and not reading.done():
            writer.write(b"some of it")
            await asyncio.sleep(0.01)
        reading.cancel()
        writer.close()
        await asyncio.wait_for(ended.wait(), 5)
        while self.proxy.in_flight:
            await asyncio.sleep(0.01)

    async def test_an_upload_is_sent_at_the_pace_of_the_back_end(self) -> None:
        resume = asyncio.Event()
        received = 0

        async def slow(reader: Any, writer: Any, head: str) -> bool:
            nonlocal received
            await resume.wait()
            while received < 30_000_000:
                received += len(await reader.read(1 << 20))
            writer.write(answer_bytes())
            return True

        address = await self.start(RawBackend(slow))
        reader, writer = await begin_call(address, UPLOAD)
        sent = 0
        try:
            async with asyncio.timeout(0.5):
                while sent < 30_000_000:
                    writer.write(b"x" * 100_000)
                    sent += 100_000
                    await writer.drain()
        except TimeoutError:
            pass
        self.assertLess(sent, 16_000_000)
        resume.set()
        writer.write(b"x" * (30_000_000 - sent))
        self.assertIn(b"200", await asyncio.wait_for(reader.readline(), 10))
        self.assertEqual(received, 30_000_000)
        writer.close()

    async def test_an_early_response_ends_an_upload(self) -> None:
        async def refuse(reader: Any, writer: Any, head: str) -> bool:
            writer.write(answer_bytes(b"no", status=b"413 Too Large"))
            await writer.drain()
            await asyncio.sleep(0.2)
            return False

        address = await self.start(RawBackend(refuse))
        reader, writer = await begin_call(address, UPLOAD)
        for _ in range(30):
            writer.write(b"x" * 1_000_000)
            await asyncio.sleep(0.01)
        self.assertIn(b"413", await asyncio.wait_for(reader.readline(), 10))
        writer.close()

    async def test_responses_without_a_body(self) -> None:
        async def bodiless(reader: Any, writer: Any, head: str) -> bool:
            status = b"304 Not Modified" if "/304" in head else b"204 No Content"
            length = b"content-length: 9\r\n" if "/204" not in head else b""
            writer.write(b"HTTP/1.1 " + status + b"\r\n" + length + b"\r\n")
            return True

        address = await self.start(RawBackend(bodiless))
        for status in (204, 304):
            answer = await raw_call(address, request_bytes(path=f"/{status}"))
            self.assertEqual((answer.status, answer.body), (status, b""))


class DrainTest(ProxyTestCase):
    async def test_requests_in_flight_finish_and_new_ones_are_refused(self) -> None:
        started, resume = asyncio.Event(), asyncio.Event()

        async def wait(reader: Any, writer: Any, head: str) -> bool:
            started.set()
            await resume.wait()
            return await answer_normally(reader, writer, head)

        address = await self.start(RawBackend(wait))
        running = asyncio.create_task(raw_call(address, POST))
        await started.wait()
        self.proxy.start_draining()
        drained = asyncio.create_task(self.proxy.wait_drained())
        refused = await raw_call(address, POST.replace(b"connection: close\r\n", b""))
        self.assertEqual((refused.status, refused.headers["x-outcome"]), (503, "not-run"))
        self.assertEqual(refused.headers["connection"], "close")
        self.assertFalse(drained.done())
        resume.set()
        self.assertEqual((await running).status, 200)
        await asyncio.wait_for(drained, 5)
