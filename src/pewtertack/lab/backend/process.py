"""Process that hosts one or more simulated back ends and their control listener."""

from __future__ import annotations

import time
from dataclasses import dataclass
from functools import partial

import anyio
import anyio.abc
import msgspec

from pewtertack.lab.asgi import HandlerTable, Request, Response, json_response
from pewtertack.lab.backend.application import BackendApplication
from pewtertack.lab.backend.repeated_refusals import repeating_protocol
from pewtertack.lab.backend.state import BackendFaults, BackendReports, BackendState, Capacity
from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.records import Record, encode_record
from pewtertack.lab.serving import Listener, print_line, print_ready
from pewtertack.settings import Address


@dataclass(frozen=True, slots=True)
class HostedBackend:
    """A back end with its listener."""

    application: BackendApplication
    listener: Listener


RESTART_SECONDS = 1.0
"""Time after which a back end that a request has crashed accepts connections again."""


def _print_record(record: Record) -> None:
    print_line(encode_record(record))


class BackendProcess:
    """Hosts simulated back ends.

    Args:
        backends: the addresses of the back ends by name.
        control: the address on which the lab sets faults.
        capacity: the limits of each back end.
        seed: determines which requests are shed and which responses are aborted.
    """

    def __init__(
        self, backends: dict[str, Address], control: Address, capacity: Capacity, seed: int = 0
    ) -> None:
        started = time.monotonic()
        self._hosted: dict[str, HostedBackend] = {}
        for name, address in backends.items():
            state = BackendState(capacity, started)
            application = BackendApplication(name, state, _print_record, seed)
            listener = Listener(
                application, address, capacity.connections, repeating_protocol(state)
            )
            hosted = self._hosted[name] = HostedBackend(application, listener)
            application.on_crash = partial(self._crash, hosted)
        handlers = {
            ("POST", "/faults/"): self._set_faults,
            ("POST", "/reports/"): self._set_reports,
            ("POST", "/close/"): self._close,
        }
        self._task_group: anyio.abc.TaskGroup | None = None
        self._control = Listener(HandlerTable(dict(handlers)), control)

    async def run(self) -> None:
        """Serve until the process is terminated."""
        async with anyio.create_task_group() as task_group:
            self._task_group = task_group
            for hosted in self._hosted.values():
                await hosted.listener.open(task_group)
            await self._control.open(task_group)
            addresses = {name: hosted.listener.address for name, hosted in self._hosted.items()}
            print_ready(control=self._control.address, **addresses)
            await anyio.sleep_forever()

    def _crash(self, hosted: HostedBackend) -> None:
        """Reset all connections of a back end and restart it after ``RESTART_SECONDS``."""
        hosted.listener.close()
        if self._task_group is not None:
            self._task_group.start_soon(self._restart, hosted)

    async def _restart(self, hosted: HostedBackend) -> None:
        await anyio.sleep(RESTART_SECONDS)
        if self._task_group is not None and not hosted.listener.is_open:
            await hosted.listener.open(self._task_group)

    async def _set_faults(self, request: Request) -> Response:
        faults = msgspec.json.decode(request.body, type=BackendFaults)
        self._find_backend(request).application.state.set_faults(faults, time.monotonic())
        return json_response(faults)

    async def _set_reports(self, request: Request) -> Response:
        reports = msgspec.json.decode(request.body, type=BackendReports)
        self._find_backend(request).application.state.reports = reports
        return json_response(reports)

    async def _close(self, request: Request) -> Response:
        self._find_backend(request).listener.close()
        return json_response({})

    def _find_backend(self, request: Request) -> HostedBackend:
        name = request.path.rpartition("/")[2]
        if name not in self._hosted:
            raise LabUsageError(f"no back end {name}")
        return self._hosted[name]
