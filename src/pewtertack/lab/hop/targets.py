"""The processes of the hop measurement: a trivial back end, and a proxy by itself."""

from __future__ import annotations

import asyncio
import socket
import time
from random import Random

from pewtertack.core.configuration.resolved import (
    ResolvedConfiguration,
    ResolvedRoute,
    ResolvedService,
    WorkClass,
)
from pewtertack.core.machines import Machine, MachineList, MachineRole
from pewtertack.core.revision import RevisionId
from pewtertack.lab.hop.caller import is_whole
from pewtertack.lab.serving import print_ready
from pewtertack.node.http.server import HttpServer
from pewtertack.node.proxy.application import ProxyApplication
from pewtertack.node.proxy.refusals import typed_refusal
from pewtertack.settings import Address

BODY = b"x" * 256
ANY_PORT = Address("127.0.0.1", 0)
KEEP_ALIVE = 75.0
ZONE = "here"
SERVICE = "measured"
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\nx-backend-load: 1/6\r\n\r\n" % len(BODY)
HOLD_PATH = "/hold"
"""What asks for this stays at the back end."""
PIECES_PATH = "/pieces"
"""What asks for this gets its answer's body some time after the head."""
PIECES_SECONDS = 0.003
"""Long enough that the head is read by itself."""


class _TrivialBackend(asyncio.Protocol):
    """Answers every request of a connection with the same small body, but what is to be held.

    Head and body are one write, or two that lie apart: written one right after the other, it
    would be chance whether who measures reads them at once, which takes a tenth less.
    """

    def __init__(self) -> None:
        self._received = b""
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer once the whole request has come."""
        self._received += data
        if not is_whole(self._received):
            return
        path = self._received.split(b" ", 2)[1].decode()
        self._received = b""
        if path == HOLD_PATH:
            return
        if path == PIECES_PATH:
            self._transport.write(HEAD)
            loop = asyncio.get_running_loop()
            loop.call_later(PIECES_SECONDS, self._transport.write, BODY)
        else:
            self._transport.write(HEAD + BODY)


async def run_backend() -> None:
    """Serve the trivial back end until the process is ended."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_TrivialBackend, ANY_PORT.host, ANY_PORT.port)
    print_ready(backend=Address(*server.sockets[0].getsockname()))
    await server.serve_forever()


async def run_proxy(backends: list[Address]) -> None:
    """Serve a proxy to ``backends`` until the process is ended."""
    proxy = ProxyApplication(time.monotonic, Random(1))
    proxy.use_configuration(measured_configuration())
    proxy.use_machines(_machines(backends))
    proxy.set_serving(True)
    listening = socket.create_server((ANY_PORT.host, ANY_PORT.port))
    print_ready(proxy=Address(*listening.getsockname()))
    await HttpServer(proxy, KEEP_ALIVE, typed_refusal).serve([listening])


def measured_configuration() -> ResolvedConfiguration:
    """Return the one route and service of the measurements."""
    service = ResolvedService(SERVICE, 6, 130, 1.0, 0.0, 5, 5.0)
    route = ResolvedRoute(
        name="all",
        service=SERVICE,
        hosts=(),
        path_prefix="/",
        methods=(),
        work_class=WorkClass.INTERACTIVE,
        timeout=5.0,
        repeatable=True,
        retry_limit=1,
        retry_budget=0.1,
        queue_limit=50,
        header_secrets={},
    )
    return ResolvedConfiguration(RevisionId(1, b""), ZONE, (route,), {SERVICE: service}, {})


def _machines(backends: list[Address]) -> MachineList:
    listed = (
        Machine(f"b{index}", MachineRole.BACKEND, ZONE, str(address), SERVICE)
        for index, address in enumerate(backends)
    )
    return MachineList(1, tuple(listed))
