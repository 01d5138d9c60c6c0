"""A proxy and minimal back ends on loopback sockets in one event loop."""

import asyncio
import logging
import socket
import time
import unittest
from random import Random
from typing import Any

from pewtertack.core.configuration.resolved import ResolvedConfiguration
from pewtertack.core.machines import MachineList
from pewtertack.node.http.cycle import LOGGER_NAME
from pewtertack.node.http.server import HttpServer
from pewtertack.node.proxy.application import ProxyApplication
from pewtertack.node.proxy.refusals import typed_refusal
from tests.routing.samples import backend, configuration

LOOPBACK = "127.0.0.1"
KEEP_ALIVE = 5.0


logging.getLogger(LOGGER_NAME).setLevel(logging.CRITICAL)  # tests break requests on purpose


class ProxyTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts servers on free ports and stops them after the test."""

    def setUp(self) -> None:
        self.servers: list[HttpServer] = []

    def make_proxy(self, **settings: Any) -> ProxyApplication:
        return ProxyApplication(time.monotonic, Random(7), **settings)

    async def serve(self, application: Any, at: str = LOOPBACK) -> str:
        """Run an ASGI application at an IP address of this machine; return its ``ip:port``."""
        listener = socket.create_server((at, 0))
        host, port = listener.getsockname()
        server = HttpServer(application, KEEP_ALIVE, typed_refusal)
        server.shutdown_seconds = 0.1
        self.servers.append(server)
        task = asyncio.create_task(server.serve(sockets=[listener]))

        async def stop() -> None:
            server.should_exit = True
            await task

        self.addAsyncCleanup(stop)
        return f"{host}:{port}"

    async def start(
        self,
        *backend_applications: Any,
        settings: ResolvedConfiguration | None = None,
        **proxy_settings: Any,
    ) -> str:
        """Run back ends and a serving proxy (``self.proxy``); return the proxy's address."""
        addresses = [await self._address(item) for item in backend_applications]
        machines = [backend(f"b{index}", address) for index, address in enumerate(addresses)]
        self.proxy = self.make_proxy(**proxy_settings)
        self.proxy.use_configuration(settings or configuration())
        self.proxy.use_machines(MachineList(1, tuple(machines)))
        self.proxy.set_serving(True)
        return await self.serve(self.proxy)

    async def _address(self, item: Any) -> str:
        """Start an ASGI application or a raw back end; an address is returned unchanged."""
        if isinstance(item, str):
            return item
        if isinstance(item, RawBackend):
            return await item.start(self)
        return await self.serve(item)


class Answer:
    """A raw HTTP response: its status, its headers in lower case and the bytes after them."""

    def __init__(self, raw: bytes) -> None:
        head, _, self.body = raw.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split()[1]) if lines[0] else 0
        pairs = (line.partition(":") for line in lines[1:])
        self.headers = {name.lower(): value.strip() for name, _, value in pairs}


async def begin_call(address: str, raw: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send bytes on a new connection."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(raw)
    return reader, writer


async def raw_call(address: str, raw: bytes, timeout: float = 10.0) -> Answer:
    """Send bytes on a new connection and read the response to the end of the stream."""
    reader, writer = await begin_call(address, raw)
    try:
        async with asyncio.timeout(timeout):
            return Answer(await reader.read())
    finally:
        writer.close()


def request_bytes(
    method: str = "GET", path: str = "/", body: bytes = b"", headers: tuple[str, ...] = ()
) -> bytes:
    """Return a request that asks to close the connection after the response."""
    lines = [f"{method} {path} HTTP/1.1", "host: guild.example", "connection: close", *headers]
    if body:
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_body(receive: Any) -> bytes:
    body, more = b"", True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            break
        body += message.get("body", b"")
        more = message.get("more_body", False)
    return body


async def respond(
    send: Any, status: int = 200, body: bytes = b"", headers: tuple[tuple[bytes, bytes], ...] = ()
) -> None:
    length = (b"content-length", str(len(body)).encode())
    head = {"type": "http.response.start", "status": status, "headers": [length, *headers]}
    await send(head)
    await send({"type": "http.response.body", "body": body})


class RawBackend:
    """A back end that reads one request head at a time and calls a script for it.

    ``script(reader, writer, head)`` answers one request; if it returns false, the connection is
    closed.
    """

    def __init__(self, script: Any) -> None:
        self.calls = 0
        self.connections = 0
        self._script = script

    async def start(self, case: unittest.IsolatedAsyncioTestCase) -> str:
        server = await asyncio.start_server(self._handle, LOOPBACK, 0)
        case.addAsyncCleanup(server.wait_closed)
        case.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.calls += 1
                if not await self._script(reader, writer, head.decode("latin-1").lower()):
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()


def request_id_of(head: str) -> bytes:
    return head.split("x-request-id: ")[1].split("\r\n")[0].encode()


def answer_bytes(body: bytes = b"ok", *headers: bytes, status: bytes = b"200 OK") -> bytes:
    lines = [b"HTTP/1.1 " + status, b"content-length: %d" % len(body), *headers]
    return b"\r\n".join([*lines, b"", body])
