"""Pipelined requests: sent before the first one is answered."""

import asyncio
import unittest
from typing import Any

from pewtertack.node.http import cycle
from pewtertack.node.http.pipeline import MAX_CONCURRENT, Pipeline
from tests.node.proxy.harness import ProxyTestCase, RawBackend, answer_bytes, begin_call
from tests.routing.samples import configuration, route

HOST = "host: guild.example\r\n"
REPEATABLE = configuration(route(repeatable=True, retry_limit=1))
TWO_BACKENDS = 2
"""A back end whose capacity is unknown gets two requests at once."""


class Entry:
    def __init__(self, repeatable: bool, received: bool = True) -> None:
        self.started = False
        self.received = received
        self.runs_concurrently = repeatable


class PipelineTest(unittest.TestCase):
    def pipeline(self, *repeatable: bool) -> Pipeline[Entry]:
        pipeline: Pipeline[Entry] = Pipeline()
        for item in repeatable:
            pipeline.add(Entry(item))
        return pipeline

    def started(self, pipeline: Pipeline[Entry]) -> list[bool]:
        pipeline.start_eligible()
        return [entry.started for entry in pipeline.requests]

    def test_repeatable_requests_start_concurrently(self) -> None:
        self.assertEqual(self.started(self.pipeline(True, True, True)), [True, True, True])

    def test_a_request_that_is_not_repeatable_waits_and_blocks_those_behind_it(self) -> None:
        pipeline = self.pipeline(True, False, True)
        self.assertEqual(self.started(pipeline), [True, False, False])
        self.assertIsNone(pipeline.pop_answered())
        self.assertEqual(self.started(pipeline), [True, False])
        pipeline.pop_answered()
        self.assertEqual(self.started(pipeline), [True])

    def test_the_number_of_concurrent_requests_is_limited(self) -> None:
        started = self.started(self.pipeline(*([True] * (MAX_CONCURRENT + 3))))
        self.assertEqual(sum(started), MAX_CONCURRENT)

    def test_a_closed_pipeline_starts_nothing(self) -> None:
        pipeline = self.pipeline(True)
        pipeline.start_eligible()
        pipeline.add(Entry(True))
        pipeline.closed = True
        self.assertEqual(pipeline.start_eligible(), [])

    def test_a_request_being_received_is_due_unless_its_rest_is_refused(self) -> None:
        for repeatable, received, kept in (
            (False, True, True),
            (True, False, True),
            (False, False, False),
        ):
            with self.subTest(repeatable=repeatable, received=received):
                pipeline = self.pipeline(True)
                pipeline.add(Entry(repeatable, received))
                pipeline.start_eligible()
                self.assertTrue(pipeline.has_following)
                pipeline.drop_incomplete()
                self.assertEqual(len(pipeline.requests), 1 + kept)


class GatedBackend:
    """A back end that answers ``/<n>`` with ``n`` once the test allows it."""

    def __init__(self, allowed_paths: str = "") -> None:
        self.received_paths: list[str] = []
        self.allowed = {path: asyncio.Event() for path in "0123456789"}
        for path in allowed_paths:
            self.allowed[path].set()
        self.disconnects = 0

    async def __call__(self, reader: Any, writer: Any, head: str) -> bool:
        path = head.split(" ")[1].strip("/")
        if "content-length" in head:
            await reader.readexactly(4)
        self.received_paths.append(path)
        disconnect = asyncio.create_task(reader.read(1))
        permission = asyncio.create_task(self.allowed[path].wait())
        await asyncio.wait({disconnect, permission}, return_when=asyncio.FIRST_COMPLETED)
        if disconnect.done():
            self.disconnects += 1
            return False
        disconnect.cancel()
        await asyncio.gather(disconnect, return_exceptions=True)
        writer.write(answer_bytes(b"answer %s" % path.encode()))
        return True


def get(path: str, *headers: str) -> bytes:
    lines = "".join(f"{item}\r\n" for item in headers)
    return f"GET /{path} HTTP/1.1\r\n{HOST}{lines}\r\n".encode()


def post(path: str) -> bytes:
    return f"POST /{path} HTTP/1.1\r\n{HOST}content-length: 4\r\n\r\nbody".encode()


class PipelinedConnectionTest(ProxyTestCase):
    async def start_calls(
        self, backend: GatedBackend, raw: bytes, **settings: Any
    ) -> tuple[Any, Any]:
        backends = [RawBackend(backend) for _ in range(TWO_BACKENDS)]
        address = await self.start(*backends, settings=settings.get("configuration", REPEATABLE))
        return await begin_call(address, raw)

    async def read_response(self, reader: Any) -> tuple[bytes, bytes]:
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        return head, await asyncio.wait_for(reader.readexactly(length), 5)

    async def wait_until(self, condition: Any) -> None:
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.005)

    async def test_later_requests_start_at_once_and_are_answered_in_order(self) -> None:
        backend = GatedBackend()
        reader, writer = await self.start_calls(backend, get("1") + get("2") + get("3"))
        await self.wait_until(lambda: len(backend.received_paths) == 3)
        backend.allowed["3"].set()
        backend.allowed["2"].set()
        await asyncio.sleep(0.05)
        backend.allowed["1"].set()
        bodies = [(await self.read_response(reader))[1] for _ in range(3)]
        self.assertEqual(bodies, [b"answer 1", b"answer 2", b"answer 3"])
        writer.close()

    async def test_a_request_that_is_not_repeatable_waits_for_earlier_responses(self) -> None:
        settings = configuration(
            route("safe", path_prefix="/1", repeatable=True), route("unsafe", repeatable=False)
        )
        backend = GatedBackend(allowed_paths="23")
        raw = get("1") + post("2") + post("3")
        reader, writer = await self.start_calls(backend, raw, configuration=settings)
        await asyncio.sleep(0.1)
        self.assertEqual(backend.received_paths, ["1"])
        backend.allowed["1"].set()
        for number in (b"1", b"2", b"3"):
            self.assertEqual((await self.read_response(reader))[1], b"answer " + number)
        writer.close()

    async def test_a_caller_that_disconnects_cancels_all_its_requests(self) -> None:
        backend = GatedBackend()
        _, writer = await self.start_calls(backend, get("1") + get("2"))
        await self.wait_until(lambda: len(backend.received_paths) == 2)
        writer.close()
        await self.wait_until(lambda: backend.disconnects == 2 and self.proxy.in_flight == 0)

    async def test_a_node_that_shuts_down_answers_all_received_requests_and_closes_with_the_last(
        self,
    ) -> None:
        backend = GatedBackend()
        reader, writer = await self.start_calls(backend, get("1") + get("2"))
        await self.wait_until(lambda: len(backend.received_paths) == 2)
        self.proxy.start_leaving(1.0)
        backend.allowed["1"].set()
        head, _ = await self.read_response(reader)
        self.assertNotIn(b"connection: close", head)
        writer.write(get("4"))  # the caller was not asked to close the connection
        await self.wait_until(lambda: "4" in backend.received_paths)
        backend.allowed["2"].set()
        head, body = await self.read_response(reader)
        self.assertEqual((b"connection: close" in head, body), (False, b"answer 2"))
        backend.allowed["4"].set()
        last, body = await self.read_response(reader)
        self.assertEqual((b"connection: close" in last, body), (True, b"answer 4"))
        writer.write(get("5"))
        self.assertEqual(await asyncio.wait_for(reader.read(), 5), b"")
        self.assertNotIn("5", backend.received_paths)
        writer.close()

    async def test_a_node_that_shuts_down_serves_requests_behind_one_that_is_not_repeatable(
        self,
    ) -> None:
        settings = configuration(route("unsafe", repeatable=False))
        backend = GatedBackend(allowed_paths="23")
        raw = post("1") + post("2") + post("3")
        reader, writer = await self.start_calls(backend, raw, configuration=settings)
        await self.wait_until(lambda: backend.received_paths == ["1"])
        self.proxy.start_leaving(1.0)
        backend.allowed["1"].set()
        heads = []
        for number in (b"1", b"2", b"3"):
            head, body = await self.read_response(reader)
            heads.append(b"connection: close" in head)
            self.assertEqual(body, b"answer " + number)
        self.assertEqual(heads, [False, False, True])
        self.assertEqual(await asyncio.wait_for(reader.read(), 5), b"")
        writer.close()

    async def test_a_request_with_connection_close_ends_the_connection(self) -> None:
        backend = GatedBackend(allowed_paths="12")
        raw = get("1") + get("2", "connection: close") + get("3")
        reader, writer = await self.start_calls(backend, raw)
        await self.read_response(reader)
        head, _ = await self.read_response(reader)
        self.assertIn(b"connection: close", head)
        self.assertEqual(await asyncio.wait_for(reader.read(), 5), b"")
        self.assertEqual(sorted(backend.received_paths), ["1", "2"])
        writer.close()

    async def test_a_large_response_that_waits_for_its_turn_uses_bounded_memory(self) -> None:
        async def large(reader: Any, writer: Any, head: str) -> bool:
            if "/1 " in head:
                await first.wait()
                writer.write(answer_bytes(b"1"))
                return True
            writer.write(answer_bytes(b"x" * 5_000_000))
            return True

        first = asyncio.Event()
        address = await self.start(RawBackend(large), settings=REPEATABLE)
        reader, writer = await begin_call(address, get("1") + get("2"))
        await asyncio.sleep(0.2)
        second = self.connections()[0]._pipeline.requests[1]
        self.assertLess(second._held_bytes, 3 * cycle.HELD_RESPONSE_LIMIT)
        first.set()
        self.assertEqual((await self.read_response(reader))[1], b"1")
        self.assertEqual(len((await self.read_response(reader))[1]), 5_000_000)
        writer.close()

    def connections(self) -> list[Any]:
        return list(self.servers[-1].connections)

    async def test_a_malformed_request_behind_others_closes_the_connection_after_them(self) -> None:
        backend = GatedBackend()
        reader, writer = await self.start_calls(backend, get("1") + b"\x00nonsense\r\n\r\n")
        await self.wait_until(lambda: backend.received_paths)
        backend.allowed["1"].set()
        head, body = await self.read_response(reader)
        self.assertEqual(body, b"answer 1")
        self.assertIn(b"connection: close", head)
        self.assertEqual(await asyncio.wait_for(reader.read(), 5), b"")
        writer.close()

    async def test_requests_are_read_no_faster_than_they_are_answered(self) -> None:
        backend = GatedBackend(allowed_paths="1")
        reader, writer = await self.start_calls(backend, get("1") * 200)
        for _ in range(200):
            self.assertEqual((await self.read_response(reader))[1], b"answer 1")
        writer.close()
