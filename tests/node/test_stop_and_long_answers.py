"""A node that shuts down while long responses for its callers wait on another node's link.

Guards against a download cut in the middle although its back end had answered within 0.1 s. The
response waited in the link queue of the back end's node, behind responses for other nodes; at the
end of its shutdown the caller's node closed the connection, or answered with an unknown outcome.
Only the node that shut down knew when that would end. So it notifies the gateway of that time, and
the gateway sends the response before it.
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
from tests.node.slow_link_fleet import fleet_with_slow_link

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
"""Rate of the gateway's link; long responses get 100 kB/s of it."""
RESPONSE_BYTES = 100_000
SLOTS = 20


def download(name: str) -> bytes:
    lines = [f"GET /{name} HTTP/1.1", "host: guild.example", f"x-request-id: {name}"]
    return "\r\n".join([*lines, "x-deadline-ms: 50000", "", ""]).encode()


class DownloadTestCase(ProxyTestCase):
    """Callers that request long responses; ``ran`` lists the requests that back ends received."""

    async def asyncSetUp(self) -> None:
        self.size = RESPONSE_BYTES
        self.ran: list[str] = []
        self.tasks: list[asyncio.Task[Answer]] = []

    async def backend(self, scope: Any, receive: Any, send: Any) -> None:
        self.ran.append(scope["path"])
        headers = [(b"content-length", b"%d" % self.size)]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"e" * self.size})

    @contextlib.asynccontextmanager
    async def cancelled_calls(self) -> AsyncIterator[None]:
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
        """Read one response; an incomplete one has status 0."""
        try:
            response = Answer(await reader.readuntil(b"\r\n\r\n"))
            response.body = await reader.readexactly(int(response.headers["content-length"]))
            return response
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(b"")
        finally:
            writer.close()

    async def start_download(self, node: NodeProcess, name: str) -> asyncio.Task[Answer]:
        task = asyncio.create_task(self.read(*await self.send(node, name)))
        self.tasks.append(task)
        return task

    async def start_downloads(self, node: NodeProcess, *names: str) -> None:
        for name in names:
            await self.start_download(node, name)
        with anyio.fail_after(TIMEOUT_SECONDS):
            while not {f"/{name}" for name in names} <= set(self.ran):
                await anyio.sleep(0.01)


class LongAnswersTest(DownloadTestCase):
    """Callers are at the nodes a, which shuts down, and c; the only back end is local to b."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.address = await self.serve(self.backend)

    @contextlib.asynccontextmanager
    async def fleet(self) -> Any:
        fleet = fleet_with_slow_link(TREE, self.address, SLOTS, MEGABITS, LIMITS, "a", "c")
        async with fleet as (b, a, c), self.cancelled_calls():
            # The gateway learns the length of the route's responses.
            self.assertEqual((await self.read(*await self.send(c, "first"))).status, 200)
            yield a, b, c

    async def assert_own_response_is_complete(self) -> None:
        """Shut down node a while its response waits behind others in the queue of b's link."""
        async with self.fleet() as (a, _, c):
            await self.start_downloads(c, *(f"other-{index}" for index in range(6)))
            own_download = await self.start_download(a, "own")
            await anyio.sleep(0.3)
            a.signal(signal.SIGTERM)
            response = await asyncio.wait_for(own_download, TIMEOUT_SECONDS)
            self.assertEqual((response.status, len(response.body)), (200, self.size))
            self.assertEqual(await a.wait_exit(), 0)

    async def test_responses_for_a_node_that_shuts_down_overtake_others(
        self,
    ) -> None:
        await self.assert_own_response_is_complete()

    async def test_a_response_too_long_to_be_held_is_not_cut(self) -> None:
        self.size = 150_000
        await self.assert_own_response_is_complete()

    async def test_requests_during_the_notice_are_answered_completely_or_refused(self) -> None:
        async with self.fleet() as (a, _, c):
            await self.start_downloads(c, *(f"other-{index}" for index in range(6)))
            a.signal(signal.SIGTERM)
            await a.wait_event("NODE_DRAINING")
            own_download = [await self.start_download(a, f"own-{index}") for index in range(6)]
            responses = [await asyncio.wait_for(task, TIMEOUT_SECONDS) for task in own_download]
            results = [
                (response.status, len(response.body) == RESPONSE_BYTES) for response in responses
            ]
            self.assertLessEqual(set(results), {(200, True), (503, False)})
            self.assertIn((200, True), results)


if __name__ == "__main__":
    unittest.main()
