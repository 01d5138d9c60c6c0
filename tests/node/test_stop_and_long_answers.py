"""A node that stops while long answers for its callers wait on another node's link.

What callers saw: a download was cut in the middle though its back end had answered within a
tenth of a second. Order of events: the node that had taken the request was told to stop; the
answer lay in the line of the link of the back end's node, behind answers for other nodes; at
the end of its time to stop the caller's node closed the connection, or answered that nothing
was known. Cause: the end of a stop is known from its first moment, to the stopping node alone.
Evidence: the gateway's log has the back end's end long before, then nothing until the request
is cancelled at that end; told of it, the gateway sends the same answer in time.
"""

import asyncio
import contextlib
import signal
import unittest
from collections.abc import AsyncIterator
from typing import Any

import anyio

from tests.node.processes import TIMEOUT_SECONDS, NodeProcess
from tests.node.proxy.harness import Answer, ProxyTestCase, begin_call
from tests.node.stopping_fleet import fleet_on_a_narrow_link

TREE: dict[str, Any] = {
    "services": {"desk": {}},
    "routes": {
        "export": {
            "service": "desk",
            "path_prefix": "/",
            "timeout": "60s",
            "target_latency": "30s",
            "repeatable": True,
        }
    },
}
NOTICE_SECONDS = 0.5
DRAIN_SECONDS = 3.0
LIMITS = f"""
        [limits]
        drain_notice = "{NOTICE_SECONDS}s"
        drain_timeout = "{DRAIN_SECONDS}s"
"""
MEGABITS = 1.0
"""Of the gateway's link, of which long answers get 100 kB a second."""
DOWNLOAD = 100_000
SLOTS = 20


def download(name: str) -> bytes:
    lines = [f"GET /{name} HTTP/1.1", "host: guild.example", f"x-request-id: {name}"]
    return "\r\n".join([*lines, "x-deadline-ms: 50000", "", ""]).encode()


class DownloadTestCase(ProxyTestCase):
    """Callers who ask for long answers; ``ran`` has the requests that back ends were given."""

    async def asyncSetUp(self) -> None:
        self.size = DOWNLOAD
        self.ran: list[str] = []
        self.tasks: list[asyncio.Task[Answer]] = []

    async def backend(self, scope: Any, receive: Any, send: Any) -> None:
        self.ran.append(scope["path"])
        headers = [(b"content-length", b"%d" % self.size)]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"e" * self.size})

    @contextlib.asynccontextmanager
    async def calls_ended(self) -> AsyncIterator[None]:
        try:
            yield
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

    async def send(
        self, node: NodeProcess, name: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await begin_call(node.lines[0]["proxy"], download(name))

    async def read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Answer:
        """Read one answer; one that is cut has status 0."""
        try:
            answer = Answer(await reader.readuntil(b"\r\n\r\n"))
            answer.body = await reader.readexactly(int(answer.headers["content-length"]))
            return answer
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(b"")
        finally:
            writer.close()

    async def begin(self, node: NodeProcess, name: str) -> asyncio.Task[Answer]:
        task = asyncio.create_task(self.read(*await self.send(node, name)))
        self.tasks.append(task)
        return task

    async def begin_until_running(self, node: NodeProcess, *names: str) -> None:
        for name in names:
            await self.begin(node, name)
        with anyio.fail_after(TIMEOUT_SECONDS):
            while not {f"/{name}" for name in names} <= set(self.ran):
                await anyio.sleep(0.01)


class LongAnswersTest(DownloadTestCase):
    """Callers are at the nodes a, which stops, and c; the only back end is beside b."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.address = await self.serve(self.backend)

    @contextlib.asynccontextmanager
    async def fleet(self) -> Any:
        fleet = fleet_on_a_narrow_link(TREE, self.address, SLOTS, MEGABITS, LIMITS, "a", "c")
        async with fleet as (b, a, c), self.calls_ended():
            # The gateway learns how long the route's answers are.
            self.assertEqual((await self.read(*await self.send(c, "first"))).status, 200)
            yield a, b, c

    async def assert_own_answer_is_whole(self) -> None:
        """Stop node a while its answer stands behind others in the line of b's link."""
        async with self.fleet() as (a, _, c):
            await self.begin_until_running(c, *(f"other-{number}" for number in range(6)))
            own = await self.begin(a, "own")
            await anyio.sleep(0.3)
            a.signal(signal.SIGTERM)
            answer = await asyncio.wait_for(own, TIMEOUT_SECONDS)
            self.assertEqual((answer.status, len(answer.body)), (200, self.size))
            self.assertEqual(await a.wait_exit(), 0)

    async def test_what_waits_on_the_link_for_a_node_that_stops_goes_before_the_others(
        self,
    ) -> None:
        await self.assert_own_answer_is_whole()

    async def test_an_answer_that_is_too_long_to_be_held_back_is_not_cut_either(self) -> None:
        self.size = 150_000
        await self.assert_own_answer_is_whole()

    async def test_what_comes_during_the_notice_is_answered_whole_or_refused(self) -> None:
        async with self.fleet() as (a, _, c):
            await self.begin_until_running(c, *(f"other-{number}" for number in range(6)))
            a.signal(signal.SIGTERM)
            await a.wait_event("NODE_DRAINING")
            own = [await self.begin(a, f"own-{number}") for number in range(6)]
            answers = [await asyncio.wait_for(task, TIMEOUT_SECONDS) for task in own]
            ended = [(answer.status, len(answer.body) == DOWNLOAD) for answer in answers]
            self.assertLessEqual(set(ended), {(200, True), (503, False)})
            self.assertIn((200, True), ended)


if __name__ == "__main__":
    unittest.main()
