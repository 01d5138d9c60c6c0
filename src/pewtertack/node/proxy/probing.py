"""Probes unreachable gateways, so that no request has to try them.

A gateway whose machine lost power or its network, or whose process ended, is probed over a new
connection until it responds. A request that tried it instead would lose most of its time, and a
request that may not be repeated would lose its only attempt.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from pewtertack.node.gateway.hop import PROBE, PROBE_ANSWERED
from pewtertack.node.http.messages import OutgoingRequest
from pewtertack.node.http.response_reading import ExchangeBrokenError
from pewtertack.node.proxy.upstream import connect
from pewtertack.routing.backend import Backend
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.routing.outcomes import BackendUnreachableError

CHECK_SECONDS = 0.1
"""Interval at which due probes are started while a gateway is unreachable."""
PROBE_SECONDS = 0.3
"""Timeout for the connection and the response together."""


class GatewayProber:
    """Probes the gateways that the dispatcher reports as due, each in a task of its own."""

    def __init__(self, dispatcher: Dispatcher, clock: Callable[[], float]) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self._needed = anyio.Event()

    def wake(self) -> None:
        """Resume probing: a gateway has become unreachable."""
        self._needed.set()

    async def run(self) -> None:
        """Probe until cancelled.

        While every gateway is reachable, nothing wakes the process: ten checks a second on each
        node of a fleet would cost more than the probes.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                if not self._dispatcher.any_unreachable():
                    self._needed = anyio.Event()
                    await self._needed.wait()
                self._start_due(tasks)
                await anyio.sleep(CHECK_SECONDS)

    def _start_due(self, tasks: TaskGroup) -> None:
        for backend in self._dispatcher.probes_due(self._clock()):
            tasks.start_soon(self._probe, backend)

    async def _probe(self, backend: Backend) -> None:
        answered = False
        try:
            with anyio.move_on_after(PROBE_SECONDS):
                answered = await takes_requests(backend.gateway)
        finally:
            self._dispatcher.note_probe_result(backend, self._clock(), answered)


async def takes_requests(gateway: str) -> bool:
    """Return whether the gateway at ``ip:port`` accepts requests, asked over a new connection."""
    try:
        connection = await connect(gateway, PROBE_SECONDS)
    except BackendUnreachableError:
        return False
    try:
        response = await connection.exchange(_probe_request(gateway))
        return response.status == PROBE_ANSWERED
    except ExchangeBrokenError:
        return False
    finally:
        connection.abort()


def _probe_request(gateway: str) -> OutgoingRequest:
    return OutgoingRequest(b"GET", b"/", [(b"host", gateway.encode()), (PROBE, b"1")])
