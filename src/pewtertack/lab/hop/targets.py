"""The processes of the hop measurement: a trivial back end and a proxy without a node core."""

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
from pewtertack.lab.hop.caller import is_complete_message
from pewtertack.lab.serving import print_ready
from pewtertack.node.http.server import HttpServer
from pewtertack.node.proxy.application import ProxyApplication
from pewtertack.node.proxy.refusals import typed_refusal
from pewtertack.settings import Address

RESPONSE_BODY = b"x" * 256
ANY_PORT = Address("127.0.0.1", 0)
KEEP_ALIVE_SECONDS = 75.0
ZONE = "here"
SERVICE = "measured"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\nx-backend-load: 1/6\r\n\r\n" % len(
    RESPONSE_BODY
)
HOLD_PATH = "/hold"
"""A request for this path never gets a response from the back end."""
PIECES_PATH = "/pieces"
"""The body of a response to this path is sent later than its head."""
SECOND_PIECE_DELAY_SECONDS = 0.003
"""Long enough for the receiver to read the head separately from the body."""


class _TrivialBackend(asyncio.Protocol):
    """Responds to every request with the same small body, except to those for ``HOLD_PATH``.

    Head and body are sent in one write, or in two with a delay between them. With two writes in
    immediate succession, it would be chance whether the measured process reads them together,
    which takes a tenth less processor time.
    """

    def __init__(self) -> None:
        self._received = b""
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Respond once the complete request has been received."""
        self._received += data
        if not is_complete_message(self._received):
            return
        path = self._received.split(b" ", 2)[1].decode()
        self._received = b""
        if path == HOLD_PATH:
            return
        if path == PIECES_PATH:
            self._transport.write(RESPONSE_HEAD)
            loop = asyncio.get_running_loop()
            loop.call_later(SECOND_PIECE_DELAY_SECONDS, self._transport.write, RESPONSE_BODY)
        else:
            self._transport.write(RESPONSE_HEAD + RESPONSE_BODY)


async def run_backend() -> None:
    """Run the trivial back end until the process is terminated."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_TrivialBackend, ANY_PORT.host, ANY_PORT.port)
    print_ready(backend=Address(*server.sockets[0].getsockname()))
    await server.serve_forever()


async def run_proxy(backends: list[Address]) -> None:
    """Run a proxy for ``backends`` until the process is terminated."""
    proxy = ProxyApplication(time.monotonic, Random(1))
    proxy.use_configuration(measured_configuration())
    proxy.use_machines(_machine_list(backends))
    proxy.set_serving(True)
    listener = socket.create_server((ANY_PORT.host, ANY_PORT.port))
    print_ready(proxy=Address(*listener.getsockname()))
    await HttpServer(proxy, KEEP_ALIVE_SECONDS, typed_refusal).serve([listener])


def measured_configuration() -> ResolvedConfiguration:
    """Return a configuration with the one route and service of the measurements."""
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


def _machine_list(backends: list[Address]) -> MachineList:
    machines = (
        Machine(f"b{index}", MachineRole.BACKEND, ZONE, str(address), SERVICE)
        for index, address in enumerate(backends)
    )
    return MachineList(1, tuple(machines))
