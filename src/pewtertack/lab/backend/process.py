"""A process that hosts one or more back ends, and their control address."""

from __future__ import annotations

import time
from dataclasses import dataclass
from functools import partial

import anyio
import anyio.abc
import msgspec

from pewtertack.lab.asgi import HandlerTable, Request, Response, json_response
from pewtertack.lab.backend.application import BackendApplication
from pewtertack.lab.backend.state import BackendFaults, BackendState, Capacity
from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.records import Record, encode_record
from pewtertack.lab.serving import Listener, print_line, print_ready
from pewtertack.settings import Address


@dataclass(frozen=True, slots=True)
class HostedBackend:
    """One back end and its listener."""

    application: BackendApplication
    listener: Listener


AWAY_SECONDS = 1.0
"""A back end that a request has ended listens again after so long."""


def _print_record(record: Record) -> None:
    print_line(encode_record(record))


class BackendProcess:
    """Hosts back ends.

    Args:
        backends: address of each back end by name.
        control: address for the lab.
        capacity: the limits of each.
        seed: decides on shedding and broken answers.
    """

    def __init__(
        self, backends: dict[str, Address], control: Address, capacity: Capacity, seed: int = 0
    ) -> None:
        started = time.monotonic()
        self._hosted: dict[str, HostedBackend] = {}
        for name, address in backends.items():
            state = BackendState(capacity, started)
            application = BackendApplication(name, state, _print_record, seed)
            listener = Listener(application, address, capacity.connections)
            hosted = self._hosted[name] = HostedBackend(application, listener)
            application.end = partial(self._end, hosted)
        handlers = {("POST", "/faults/"): self._set_faults, ("POST", "/close/"): self._close}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._control = Listener(HandlerTable(dict(handlers)), control)

    async def run(self) -> None:
        """Serve until the process is ended."""
        async with anyio.create_task_group() as task_group:
            self._tasks = task_group
            for hosted in self._hosted.values():
                await hosted.listener.open(task_group)
            await self._control.open(task_group)
            addresses = {name: hosted.listener.address for name, hosted in self._hosted.items()}
            print_ready(control=self._control.address, **addresses)
            await anyio.sleep_forever()

    def _end(self, hosted: HostedBackend) -> None:
        """Reset all connections of a back end, which is back after ``AWAY_SECONDS``."""
        hosted.listener.close()
        if self._tasks is not None:
            self._tasks.start_soon(self._come_back, hosted)

    async def _come_back(self, hosted: HostedBackend) -> None:
        await anyio.sleep(AWAY_SECONDS)
        if self._tasks is not None and not hosted.listener.is_open:
            await hosted.listener.open(self._tasks)

    async def _set_faults(self, request: Request) -> Response:
        faults = msgspec.json.decode(request.body, type=BackendFaults)
        self._find(request).application.state.set_faults(faults, time.monotonic())
        return json_response(faults)

    async def _close(self, request: Request) -> Response:
        self._find(request).listener.close()
        return json_response({})

    def _find(self, request: Request) -> HostedBackend:
        name = request.path.rpartition("/")[2]
        if name not in self._hosted:
            raise LabUsageError(f"no back end {name}")
        return self._hosted[name]
