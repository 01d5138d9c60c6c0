"""The processes of the hop measurement: a trivial back end, and a proxy by itself."""

from __future__ import annotations

import socket
import time
from random import Random

import anyio

from pewtertack.core.configuration.resolved import (
    ResolvedConfiguration,
    ResolvedRoute,
    ResolvedService,
    WorkClass,
)
from pewtertack.core.machines import Machine, MachineList, MachineRole
from pewtertack.core.revision import RevisionId
from pewtertack.lab.asgi import Receive, Scope, Send, read_body
from pewtertack.lab.serving import Listener, print_ready
from pewtertack.node.http.server import HttpServer
from pewtertack.node.proxy.application import ProxyApplication
from pewtertack.node.proxy.refusals import typed_refusal
from pewtertack.settings import Address

BODY = b"x" * 256
ANY_PORT = Address("127.0.0.1", 0)
KEEP_ALIVE = 75.0
ZONE = "here"
SERVICE = "measured"
HOLD_PATH = "/hold"
"""What asks for this stays at the back end."""


async def _answer(scope: Scope, receive: Receive, send: Send) -> None:
    """Answer every request with the same small body, but what is to be held."""
    await read_body(receive)
    if scope["path"] == HOLD_PATH:
        await anyio.sleep_forever()
    headers = [(b"content-length", str(len(BODY)).encode()), (b"x-backend-load", b"1/6")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": BODY})


async def run_backend() -> None:
    """Serve the trivial back end until the process is ended."""
    async with anyio.create_task_group() as tasks:
        listener = Listener(_answer, ANY_PORT)
        await listener.open(tasks)
        print_ready(backend=listener.address)


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
