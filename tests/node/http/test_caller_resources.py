"""Memory and connections that callers share."""

import asyncio
import contextlib
import socket
import unittest
from typing import Any

from pewtertack.node.http.caller_resources import (
    FREE_BYTES,
    CallerResources,
    MemoryBudget,
)
from pewtertack.node.http.cycle import CALLER_EXTENSION
from pewtertack.node.http.making_room import CLOSED_AT_ONCE, close_unused
from pewtertack.node.http.server import HttpServer

HEADERS = b"aa:bb\r\n" * 1500
HEAVY = b"GET /%d HTTP/1.1\r\nhost: desk.example\r\n" + HEADERS + b"\r\n"
SMALL = b"GET /%d HTTP/1.1\r\nhost: desk.example\r\n\r\n"
REQUESTS = 40
SOON_SECONDS = 10.0
UPLOAD_BYTES = 1_000_000
MEMORY_BYTES = 64 * 1024 * 1024


class FakeConnection:
    def __init__(
        self, budget: MemoryBudget | None = None, unused_since: tuple[bool, float] = (False, 0.0)
    ) -> None:
        self.budget = budget
        self.unused_since = unused_since
        self.is_unused = True
        self.discarded = self.closed = False

    def discard_arriving(self) -> None:
        self.discarded = True
        if self.budget is not None:
            self.budget.note(self, 0, 0)

    def close_unused(self) -> bool:
        self.closed = self.is_unused
        return self.closed


class StubbornConnection(FakeConnection):
    """Still holds everything after it was to discard it."""

    asked = 0

    def discard_arriving(self) -> None:
        self.asked += 1
        if self.asked > 100:
            raise AssertionError("asked without end")
        assert self.budget is not None
        self.budget.note(self, 4 * FREE_BYTES, FREE_BYTES)


class MemoryBudgetTest(unittest.TestCase):
    def test_a_usual_request_is_not_counted(self) -> None:
        budget = MemoryBudget(0)
        self.assertFalse(budget.note(FakeConnection(budget), FREE_BYTES, FREE_BYTES))
        self.assertEqual(budget.held_bytes, 0)

    def test_over_the_limit_those_that_receive_the_most_discard_it_first(self) -> None:
        budget = MemoryBudget(3 * FREE_BYTES)
        connections = [FakeConnection(budget) for _ in range(3)]
        for factor, connection in enumerate(connections, start=2):
            budget.note(connection, factor * FREE_BYTES, factor * FREE_BYTES)
        budget.relieve()
        self.assertEqual([item.discarded for item in connections], [False, False, True])
        self.assertTrue(budget.held_bytes <= budget.limit)
        self.assertEqual(budget.discarded, 1)

    def test_a_connection_that_discards_nothing_is_asked_once(self) -> None:
        """Guards against a node that hangs: a connection that is closing discards nothing."""
        budget = MemoryBudget(FREE_BYTES)
        connection = StubbornConnection(budget)
        budget.note(connection, 4 * FREE_BYTES, FREE_BYTES)
        budget.relieve()
        self.assertEqual(connection.asked, 1)
        self.assertFalse(budget.has_room())

    def test_complete_requests_are_kept(self) -> None:
        budget = MemoryBudget(FREE_BYTES)
        connection = FakeConnection(budget)
        budget.note(connection, 4 * FREE_BYTES, 0)
        budget.relieve()
        self.assertFalse(connection.discarded)
        self.assertFalse(budget.has_room())
        budget.note(connection, 0, 0)
        self.assertTrue(budget.has_room())


class MakingRoomTest(unittest.TestCase):
    def test_those_without_a_first_request_are_closed_then_the_longest_idle(self) -> None:
        idle = [FakeConnection(unused_since=(True, float(at))) for at in range(CLOSED_AT_ONCE)]
        new = [FakeConnection(unused_since=(False, 9.0 + at)) for at in range(CLOSED_AT_ONCE)]
        busy = [FakeConnection() for _ in range(CLOSED_AT_ONCE)]
        for connection in busy:
            connection.is_unused = False
        self.assertEqual(close_unused([*idle, *new, *busy]), CLOSED_AT_ONCE)
        self.assertTrue(all(item.closed for item in new))
        self.assertFalse(any(item.closed for item in (*idle, *busy)))
        self.assertEqual(close_unused([*busy, *idle]), CLOSED_AT_ONCE)
        self.assertTrue(all(item.closed for item in idle))
        self.assertEqual(close_unused(busy), 0)


class DescriptorsTest(unittest.TestCase):
    def test_descriptors_are_left_for_peers_the_platform_and_forwarded_requests(self) -> None:
        for descriptors in (256, 600, 4100):
            resources = CallerResources(descriptors=descriptors)
            self.assertLess(3 * resources.max_connections, descriptors)


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """A server whose application waits for ``release`` and reports what it was told."""

    def setUp(self) -> None:
        self.release = asyncio.Event()
        self.paths: list[str] = []
        self.short: list[bool] = []

    async def application(self, scope: Any, receive: Any, send: Any) -> None:
        self.paths.append(scope["path"])
        self.short.append(scope["extensions"][CALLER_EXTENSION].memory_short)
        await self.release.wait()
        headers = [(b"content-length", b"2")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"ok"})

    async def start(self, resources: CallerResources, max_connections: int = 100) -> str:
        listener = socket.create_server(("127.0.0.1", 0))
        server = self.server = HttpServer(
            self.application, 5.0, resources=resources, max_connections=max_connections
        )
        server.shutdown_seconds = 0.1
        task = asyncio.create_task(server.serve([listener]))

        async def stop() -> None:
            server.should_exit = True
            await task

        self.addAsyncCleanup(stop)
        return str(listener.getsockname()[1])

    async def open(self, port: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def wait_for(self, condition: Any) -> None:
        async with asyncio.timeout(SOON_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    async def read_answers(self, reader: asyncio.StreamReader, count: int) -> None:
        async with asyncio.timeout(SOON_SECONDS):
            for _ in range(count):
                self.assertIn(b"200 OK", await reader.readuntil(b"\r\n\r\n"))
                self.assertEqual(await reader.readexactly(2), b"ok")

    async def test_all_of_many_heavy_pipelined_requests_are_answered_in_order(self) -> None:
        port = await self.start(CallerResources(MEMORY_BYTES))
        reader, writer = await self.open(port)
        self.release.set()
        writer.write(b"".join(HEAVY % number for number in range(REQUESTS)))
        await self.read_answers(reader, REQUESTS)
        self.assertEqual(self.paths, [f"/{number}" for number in range(REQUESTS)])
        self.assertEqual(self.server.resources.memory.held_bytes, 0)

    async def test_heavy_requests_behind_another_are_not_parsed_ahead(self) -> None:
        port = await self.start(CallerResources())
        _, writer = await self.open(port)
        writer.write(b"".join(HEAVY % number for number in range(REQUESTS)))
        await self.wait_for(lambda: self.paths)
        connection = next(iter(self.server.connections))
        await asyncio.sleep(0.1)
        self.assertLess(len(connection._pipeline.requests), 4)

    async def test_while_memory_is_used_up_only_a_usual_request_is_accepted(self) -> None:
        port = await self.start(resources := CallerResources(MEMORY_BYTES))
        self.release.set()
        others = FakeConnection()
        for held, status in ((0, b"200"), (MEMORY_BYTES, b"503"), (0, b"200")):
            resources.memory.note(others, held, 0)
            for request, expected in ((HEAVY, status), (SMALL, b"200")):
                reader, writer = await self.open(port)
                writer.write(request % 1)
                line = await asyncio.wait_for(reader.readline(), SOON_SECONDS)
                self.assertEqual(line.split()[1], expected)

    async def test_a_running_upload_goes_on_while_memory_is_used_up(self) -> None:
        port = await self.start(resources := CallerResources(MEMORY_BYTES))
        reader, writer = await self.open(port)
        body = b"u" * UPLOAD_BYTES
        writer.write(b"POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % len(body))
        writer.write(body)
        await self.wait_for(lambda: resources.memory.held_bytes)
        resources.memory.note(FakeConnection(), MEMORY_BYTES, 0)
        resources.memory.relieve()
        self.release.set()
        await self.read_answers(reader, 1)

    async def test_a_request_is_told_that_memory_is_short(self) -> None:
        port = await self.start(resources := CallerResources(MEMORY_BYTES))
        self.release.set()
        reader, writer = await self.open(port)
        for held in (0, MEMORY_BYTES):
            resources.memory.note(FakeConnection(), held, 0)
            writer.write(SMALL % 1)
            await self.read_answers(reader, 1)
        self.assertEqual(self.short, [False, True])

    async def test_an_unused_connection_makes_room_for_a_request(self) -> None:
        port = await self.start(CallerResources(), max_connections=1)
        self.release.set()
        unused, _ = await self.open(port)
        await self.wait_for(lambda: self.server.connections)
        reader, writer = await self.open(port)
        writer.write(SMALL % 1)
        await self.read_answers(reader, 1)
        with contextlib.suppress(ConnectionResetError):
            self.assertEqual(await asyncio.wait_for(unused.read(), SOON_SECONDS), b"")

    async def test_a_connection_is_refused_at_once_while_the_others_have_requests(self) -> None:
        port = await self.start(CallerResources(), max_connections=1)
        reader, writer = await self.open(port)
        writer.write(SMALL % 1)
        await self.wait_for(lambda: self.paths)
        refused, _ = await self.open(port)
        answer = await asyncio.wait_for(refused.read(), SOON_SECONDS)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
        self.release.set()
        await self.read_answers(reader, 1)
