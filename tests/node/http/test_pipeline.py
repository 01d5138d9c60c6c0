"""Requests that a caller sends before the first is answered."""

import asyncio
import unittest
from typing import Any

from pewtertack.node.http import cycle
from pewtertack.node.http.pipeline import MAX_CONCURRENT, Pipeline
from tests.node.proxy.harness import ProxyTestCase, RawBackend, answer_bytes, begin_call
from tests.routing.samples import configuration, route

HOST = "host: guild.example\r\n"
READ = configuration(route(repeatable=True, retry_limit=1))
TWO_BACKENDS = 2
"""A back end of which nothing is known gets two requests at once."""


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

    def test_what_may_be_repeated_begins_side_by_side(self) -> None:
        self.assertEqual(self.started(self.pipeline(True, True, True)), [True, True, True])

    def test_what_may_not_be_repeated_waits_and_nothing_begins_behind_it(self) -> None:
        pipeline = self.pipeline(True, False, True)
        self.assertEqual(self.started(pipeline), [True, False, False])
        self.assertIsNone(pipeline.pop_answered())
        self.assertEqual(self.started(pipeline), [True, False])
        pipeline.pop_answered()
        self.assertEqual(self.started(pipeline), [True])

    def test_only_so_many_begin(self) -> None:
        started = self.started(self.pipeline(*([True] * (MAX_CONCURRENT + 3))))
        self.assertEqual(sum(started), MAX_CONCURRENT)

    def test_a_closed_pipeline_begins_nothing(self) -> None:
        pipeline = self.pipeline(True)
        pipeline.start_eligible()
        pipeline.add(Entry(True))
        pipeline.closed = True
        self.assertEqual(pipeline.start_eligible(), [])

    def test_what_is_being_read_is_due_too_unless_the_rest_is_refused(self) -> None:
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


class Gate:
    """A back end that answers ``/<n>`` with ``n``, once the test lets it."""

    def __init__(self, open_paths: str = "") -> None:
        self.arrived: list[str] = []
        self.open = {path: asyncio.Event() for path in "0123456789"}
        for path in open_paths:
            self.open[path].set()
        self.ended = 0

    async def __call__(self, reader: Any, writer: Any, head: str) -> bool:
        path = head.split(" ")[1].strip("/")
        if "content-length" in head:
            await reader.readexactly(4)
        self.arrived.append(path)
        ending = asyncio.create_task(reader.read(1))
        opened = asyncio.create_task(self.open[path].wait())
        await asyncio.wait({ending, opened}, return_when=asyncio.FIRST_COMPLETED)
        if ending.done():
            self.ended += 1
            return False
        ending.cancel()
        await asyncio.gather(ending, return_exceptions=True)
        writer.write(answer_bytes(b"answer %s" % path.encode()))
        return True


def get(path: str, *headers: str) -> bytes:
    lines = "".join(f"{item}\r\n" for item in headers)
    return f"GET /{path} HTTP/1.1\r\n{HOST}{lines}\r\n".encode()


def post(path: str) -> bytes:
    return f"POST /{path} HTTP/1.1\r\n{HOST}content-length: 4\r\n\r\nbody".encode()


class PipelinedConnectionTest(ProxyTestCase):
    async def begin(self, gate: Gate, raw: bytes, **settings: Any) -> tuple[Any, Any]:
        backends = [RawBackend(gate) for _ in range(TWO_BACKENDS)]
        address = await self.start(*backends, settings=settings.get("configuration", READ))
        return await begin_call(address, raw)

    async def read_answer(self, reader: Any) -> tuple[bytes, bytes]:
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        return head, await asyncio.wait_for(reader.readexactly(length), 5)

    async def until(self, condition: Any) -> None:
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.005)

    async def test_later_requests_begin_at_once_and_are_answered_in_order(self) -> None:
        gate = Gate()
        reader, writer = await self.begin(gate, get("1") + get("2") + get("3"))
        await self.until(lambda: len(gate.arrived) == 3)
        gate.open["3"].set()
        gate.open["2"].set()
        await asyncio.sleep(0.05)
        gate.open["1"].set()
        bodies = [(await self.read_answer(reader))[1] for _ in range(3)]
        self.assertEqual(bodies, [b"answer 1", b"answer 2", b"answer 3"])
        writer.close()

    async def test_what_may_not_be_repeated_waits_for_the_answers_before_it(self) -> None:
        settings = configuration(
            route("safe", path_prefix="/1", repeatable=True), route("unsafe", repeatable=False)
        )
        gate = Gate(open_paths="23")
        raw = get("1") + post("2") + post("3")
        reader, writer = await self.begin(gate, raw, configuration=settings)
        await asyncio.sleep(0.1)
        self.assertEqual(gate.arrived, ["1"])
        gate.open["1"].set()
        for number in (b"1", b"2", b"3"):
            self.assertEqual((await self.read_answer(reader))[1], b"answer " + number)
        writer.close()

    async def test_a_caller_that_leaves_ends_all_its_requests(self) -> None:
        gate = Gate()
        _, writer = await self.begin(gate, get("1") + get("2"))
        await self.until(lambda: len(gate.arrived) == 2)
        writer.close()
        await self.until(lambda: gate.ended == 2 and self.proxy.in_flight == 0)

    async def test_a_leaving_node_answers_all_it_has_read_and_closes_with_the_last(self) -> None:
        gate = Gate()
        reader, writer = await self.begin(gate, get("1") + get("2"))
        await self.until(lambda: len(gate.arrived) == 2)
        self.proxy.start_leaving(1.0)
        gate.open["1"].set()
        head, _ = await self.read_answer(reader)
        self.assertNotIn(b"connection: close", head)
        writer.write(get("4"))  # its caller was not told to close
        await self.until(lambda: "4" in gate.arrived)
        gate.open["2"].set()
        head, body = await self.read_answer(reader)
        self.assertEqual((b"connection: close" in head, body), (False, b"answer 2"))
        gate.open["4"].set()
        last, body = await self.read_answer(reader)
        self.assertEqual((b"connection: close" in last, body), (True, b"answer 4"))
        writer.write(get("5"))
        self.assertEqual(await asyncio.wait_for(reader.read(), 5), b"")
        self.assertNotIn("5", gate.arrived)
        writer.close()

    async def test_a_leaving_node_serves_what_waits_behind_what_may_not_be_repeated(self) -> None:
        settings = configuration(route("unsafe", repeatable=False))
        gate = Gate(open_paths="23")
        raw = post("1") + post("2") + post("3")
        reader, writer = await self.begin(gate, raw, configuration=settings)
        await self.until(lambda: gate.arrived == ["1"])
        self.proxy.start_leaving(1.0)
        gate.open["1"].set()
        heads = []
        for number in (b"1", b"2", b"3"):
            head, body = await self.read_answer(reader)
            heads.append(b"connection: close" in head)
            self.assertEqual(body, b"answer " + number)
        self.assertEqual(heads, [False, False, True])
        self.assertEqual(await asyncio.wait_for(reader.read(), 5), b"")
        writer.close()

    async def test_the_caller_s_own_last_request_ends_the_connection(self) -> None:
        gate = Gate(open_paths="12")
        raw = get("1") + get("2", "connection: close") + get("3")
        reader, writer = await self.begin(gate, raw)
        await self.read_answer(reader)
        head, _ = await self.read_answer(reader)
        self.assertIn(b"connection: close", head)
        self.assertEqual(await asyncio.wait_for(reader.read(), 5), b"")
        self.assertEqual(sorted(gate.arrived), ["1", "2"])
        writer.close()

    async def test_a_large_answer_waits_for_its_turn_without_filling_the_memory(self) -> None:
        async def large(reader: Any, writer: Any, head: str) -> bool:
            if "/1 " in head:
                await first.wait()
                writer.write(answer_bytes(b"1"))
                return True
            writer.write(answer_bytes(b"x" * 5_000_000))
            return True

        first = asyncio.Event()
        address = await self.start(RawBackend(large), settings=READ)
        reader, writer = await begin_call(address, get("1") + get("2"))
        await asyncio.sleep(0.2)
        second = self.connections()[0]._pipeline.requests[1]
        self.assertLess(second._held_bytes, 3 * cycle.HELD_RESPONSE_LIMIT)
        first.set()
        self.assertEqual((await self.read_answer(reader))[1], b"1")
        self.assertEqual(len((await self.read_answer(reader))[1]), 5_000_000)
        writer.close()

    def connections(self) -> list[Any]:
        return list(self.servers[-1].connections)

    async def test_a_malformed_request_behind_others_ends_the_connection_after_them(self) -> None:
        gate = Gate()
        reader, writer = await self.begin(gate, get("1") + b"\x00nonsense\r\n\r\n")
        await self.until(lambda: gate.arrived)
        gate.open["1"].set()
        head, body = await self.read_answer(reader)
        self.assertEqual(body, b"answer 1")
        self.assertIn(b"connection: close", head)
        self.assertEqual(await asyncio.wait_for(reader.read(), 5), b"")
        writer.close()

    async def test_many_requests_are_read_no_faster_than_they_are_answered(self) -> None:
        gate = Gate(open_paths="1")
        reader, writer = await self.begin(gate, get("1") * 200)
        for _ in range(200):
            self.assertEqual((await self.read_answer(reader))[1], b"answer 1")
        writer.close()
