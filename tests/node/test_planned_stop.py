"""Real node processes that are told to stop while more is asked of them than back ends hold."""

import asyncio
import contextlib
import signal
import socket
from collections.abc import AsyncIterator
from typing import Any

import anyio

from pewtertack.lab.fleet.ports import PortAllocator
from pewtertack.lab.machines.service import MachineListService
from pewtertack.lab.source.service import ConfigurationSource
from pewtertack.settings import Address
from tests.node.processes import TIMEOUT_SECONDS, NodeProcess, get, get_until, settings_text
from tests.node.proxy.harness import Answer, ProxyTestCase, begin_call, respond

ANY = Address("127.0.0.1", 0)
TREE: dict[str, Any] = {
    "services": {"archive": {}},
    "routes": {
        "upload": {
            "service": "archive",
            "path_prefix": "/",
            "timeout": "120s",
            "target_latency": "60s",
        }
    },
}
STOP = """
        [limits]
        drain_notice = "500ms"
        drain_timeout = "2s"
"""
WITHIN = 3.0
"""Seconds after which the platform ends a process that it told to stop."""
STOP_WITHIN = f"""
        [limits]
        stop_within = "{WITHIN:.0f}s"
        drain_notice = """
PAUSE_SECONDS = 1.0
SLOTS = 1
LONG_BYTES = 120_000
ETHERNET_SEGMENT = 1400
"""Bytes. With loopback's own segments the system keeps megabytes for each connection."""
SMALL_WINDOW = 4096
"""Bytes that the system takes for a caller that does not read yet."""


def upload(number: int, *headers: str, size: int = 60_000) -> bytes:
    """Return a request that may not be repeated, on a connection that is kept."""
    lines = [
        f"POST /{number} HTTP/1.1",
        "host: guild.example",
        f"x-request-id: call-{number}",
        "x-deadline-ms: 110000",
        f"content-length: {size}",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode() + b"p" * size


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer with a length; an empty one has status 0."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        return Answer(error.partial)
    answer = Answer(head)
    answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    return answer


class PlannedStopTest(ProxyTestCase):
    """Callers are at node a; the only back end, of one slot, is beside node b."""

    async def asyncSetUp(self) -> None:
        self.release = asyncio.Event()
        self.ran: list[str] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.address = await self.serve(self.backend)

    async def backend(self, scope: Any, receive: Any, send: Any) -> None:
        while (await receive()).get("more_body", False):
            pass
        self.ran.append(scope["path"])
        if scope["path"] == "/long":
            await respond(send, 200, b"b" * LONG_BYTES)
            return
        await self.release.wait()
        await respond(send, 200, b"ok")

    @contextlib.asynccontextmanager
    async def fleet(self, limits: str = STOP) -> AsyncIterator[tuple[NodeProcess, NodeProcess]]:
        gateway = PortAllocator().allocate("127.0.0.1")
        machine = {
            "role": "backend",
            "zone": "yaba",
            "address": self.address,
            "service": "archive",
            "gateway": str(gateway),
            "slots": SLOTS,
        }
        source = ConfigurationSource(TREE, ANY, ANY).service
        machines = MachineListService({"b": machine}, ANY, ANY).service
        async with anyio.create_task_group() as tasks:
            await source.open(tasks)
            await machines.open(tasks)
            platform = (str(source.readers.address), str(machines.readers.address))
            beside = f'\n        backend = {{address = "{self.address}"}}\n'
            text = settings_text("b", "yaba", *platform).replace(
                "listen = {", f'listen = {{gateway = "{gateway}", '
            )
            async with (
                NodeProcess(text + beside + STOP) as b,
                NodeProcess(settings_text("a", "yaba", *platform) + limits) as a,
            ):
                for node in (a, b):
                    await node.wait_event("NODE_SERVING")
                    admin = node.lines[0]["admin"]
                    await get_until(admin, "/status", lambda page: page["machine_list_number"])
                yield a, b
            tasks.cancel_scope.cancel()
            for service in (source, machines):
                service.readers.close()
                service.control.close()

    async def send(self, node: NodeProcess, raw: bytes) -> asyncio.StreamReader:
        reader, writer = await begin_call(node.lines[0]["proxy"], raw)
        self.writers.append(writer)
        self.addCleanup(writer.close)
        return reader

    async def until_running(self, count: int) -> None:
        with anyio.fail_after(TIMEOUT_SECONDS):
            while len(self.ran) < count:
                await anyio.sleep(0.01)

    async def until_not_ready(self, node: NodeProcess) -> None:
        with anyio.fail_after(TIMEOUT_SECONDS):
            while (await get(node.lines[0]["admin"], "/ready"))[0] == 200:
                await anyio.sleep(0.01)

    def assert_ended(self, answer: Answer, status: int, outcome: str) -> None:
        self.assertEqual((answer.status, answer.headers.get("x-outcome")), (status, outcome))

    async def test_what_waits_at_another_node_is_answered_as_not_run(self) -> None:
        async with self.fleet() as (a, b):
            working = await self.send(a, upload(1))
            await self.until_running(1)
            waiting = await self.send(a, upload(2))
            await b.wait_event("GATEWAY_QUEUED", request="call-2")
            kept = await self.send(a, b"")
            a.signal(signal.SIGTERM)
            await self.until_not_ready(a)
            self.writers[-1].write(upload(3))
            await b.wait_event("GATEWAY_QUEUED", request="call-3")
            with anyio.fail_after(TIMEOUT_SECONDS):
                self.assert_ended(await read_answer(waiting), 503, "not-run")
                self.assert_ended(await read_answer(kept), 503, "not-run")
                self.assert_ended(await read_answer(working), 502, "unknown")
                self.assertEqual(await a.wait_exit(), 0)
            self.release.set()
            await anyio.sleep(0.2)
        self.assertEqual(self.ran, ["/1"])

    async def test_what_was_received_behind_another_is_answered_too(self) -> None:
        async with self.fleet() as (a, _):
            reader = await self.send(a, upload(1) + upload(2))
            await self.until_running(1)
            a.signal(signal.SIGTERM)
            await a.wait_event("NODE_DRAINING")
            self.release.set()
            with anyio.fail_after(TIMEOUT_SECONDS):
                self.assertEqual((await read_answer(reader)).status, 200)
                second = await read_answer(reader)
                self.assertIn(second.status, (200, 503))
                self.assertEqual(self.ran, ["/1", "/2"] if second.status == 200 else ["/1"])

    async def test_a_stopping_gateway_hands_back_what_waits_for_its_back_end(self) -> None:
        async with self.fleet() as (a, b):
            await self.send(a, upload(1))
            await self.until_running(1)
            waiting = await self.send(a, upload(2))
            await b.wait_event("GATEWAY_QUEUED", request="call-2")
            b.signal(signal.SIGTERM)
            with anyio.fail_after(TIMEOUT_SECONDS):
                self.assert_ended(await read_answer(waiting), 503, "not-run")
        self.assertEqual(self.ran, ["/1"])

    async def test_a_stop_without_a_notice_ends_within_its_time(self) -> None:
        """What callers saw: nothing yet; a platform that ends the process at the time it named
        would cut last answers on their way.

        Cause: the time in which peers hear of the stop was added to the drain, 2.7 s and 0.5 s.
        """
        async with self.fleet(f'{STOP_WITHIN}"0s"\n') as (a, _):
            await self.send(a, upload(1))
            await self.until_running(1)
            a.signal(signal.SIGTERM)
            with anyio.fail_after(WITHIN):
                self.assertEqual(await a.wait_exit(), 0)

    async def test_a_node_that_was_paused_while_it_stops_ends_within_its_time(self) -> None:
        """The same where the process stands still for a second of its notice, as on a machine
        that has none to give.

        Cause: each stage of a stop was measured from the end of the one before.
        """
        async with self.fleet(f'{STOP_WITHIN}"1s"\n') as (a, _):
            working = await self.send(a, upload(1))
            await self.until_running(1)
            a.signal(signal.SIGTERM)
            with anyio.fail_after(WITHIN):
                await anyio.sleep(PAUSE_SECONDS / 2)
                a.signal(signal.SIGSTOP)
                await anyio.sleep(PAUSE_SECONDS)
                a.signal(signal.SIGCONT)
                self.assert_ended(await read_answer(working), 502, "unknown")
                self.assertEqual(await a.wait_exit(), 0)

    async def test_told_to_stop_again_and_to_reload_meanwhile(self) -> None:
        async with self.fleet() as (a, b):
            working = await self.send(a, upload(1))
            await self.until_running(1)
            waiting = await self.send(a, upload(2))
            await b.wait_event("GATEWAY_QUEUED", request="call-2")
            a.signal(signal.SIGTERM)
            for _ in range(18):
                a.signal(signal.SIGHUP)
                a.signal(signal.SIGTERM)
                await anyio.sleep(0.1)
            with anyio.fail_after(TIMEOUT_SECONDS):
                self.assert_ended(await read_answer(waiting), 503, "not-run")
                self.assert_ended(await read_answer(working), 502, "unknown")
                self.assertEqual(await a.wait_exit(), 0)

    async def test_an_answer_goes_on_over_a_narrow_link_after_its_node_has_ended(self) -> None:
        """What callers saw: an answer of 120 kB cut in the middle, at the end of a stop.

        The caller's side of the link takes 4 kB and then nothing until the node has ended, as
        a full link does. Cause: what the system had not taken of the answer was in the process
        and ended with it; 71,974 bytes had arrived.
        """
        async with self.fleet() as (a, _):
            caller = self.slow_caller(a)
            caller.sendall(b"GET /long HTTP/1.1\r\nhost: guild.example\r\n\r\n")
            await self.until_running(1)
            await anyio.sleep(0.1)
            a.signal(signal.SIGTERM)
            self.assertEqual(await a.wait_exit(), 0)
            _, _, body = (await asyncio.to_thread(read_to_end, caller)).partition(b"\r\n\r\n")
            self.assertEqual(len(body), LONG_BYTES)

    def slow_caller(self, node: NodeProcess) -> socket.socket:
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.settimeout(TIMEOUT_SECONDS)
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_SEGMENT)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
        host, _, port = node.lines[0]["proxy"].rpartition(":")
        caller.connect((host, int(port)))
        return caller


def read_to_end(caller: socket.socket) -> bytes:
    """Return all that still comes."""
    parts = []
    while part := caller.recv(4096):
        parts.append(part)
    return b"".join(parts)
