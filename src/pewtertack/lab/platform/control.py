"""A platform service with its control endpoint for faults and counters."""

from __future__ import annotations

import anyio
import anyio.abc
import msgspec

from pewtertack.lab.asgi import Handler, HandlerTable, Request, Response, json_response
from pewtertack.lab.platform.application import ReadApplication
from pewtertack.lab.platform.store import Availability, DocumentStore, PlatformFaults
from pewtertack.lab.serving import Listener, print_ready
from pewtertack.settings import Address


class PlatformService:
    """Serves a numbered document on one listener for readers and one for control requests.

    Args:
        store: the document.
        reading: the read endpoint.
        read_path: the path of the read endpoint.
        listen: the address for readers.
        control: the address for control requests.
        handlers: additional control handlers.
    """

    def __init__(
        self,
        store: DocumentStore,
        read_application: ReadApplication,
        read_path: str,
        listen: Address,
        control: Address,
        handlers: dict[tuple[str, str], Handler],
    ) -> None:
        self._store = store
        self._read_application = read_application
        self.readers = Listener(
            HandlerTable({("GET", read_path): read_application.handler}), listen
        )
        common: dict[tuple[str, str], Handler] = {
            ("POST", "/faults"): self._set_faults,
            ("GET", "/counters"): self._get_counters,
            ("POST", "/away"): self._make_unreachable,
        }
        self.control = Listener(HandlerTable({**common, **handlers}), control)
        self._task_group: anyio.abc.TaskGroup | None = None

    async def open(self, task_group: anyio.abc.TaskGroup) -> None:
        """Serve in ``task_group``."""
        self._task_group = task_group
        await self.readers.open(task_group)
        await self.control.open(task_group)

    async def run(self) -> None:
        """Serve until the process is terminated."""
        async with anyio.create_task_group() as task_group:
            await self.open(task_group)
            print_ready(listen=self.readers.address, control=self.control.address)
            await anyio.sleep_forever()

    async def _set_faults(self, request: Request) -> Response:
        faults = msgspec.json.decode(request.body, type=PlatformFaults)
        self._store.set_faults(faults)
        closed = faults.availability is Availability.CLOSED
        if closed:
            self.readers.close()
        elif not self.readers.is_open and self._task_group is not None:
            await self.readers.open(self._task_group)
        return json_response(faults)

    async def _make_unreachable(self, _request: Request) -> Response:
        self._store.make_unreachable()
        return json_response({})

    async def _get_counters(self, _request: Request) -> Response:
        return json_response(self._read_application.counters)
