"""The machine list: readers at ``/v1/machines``, the lab at the control address."""

from __future__ import annotations

import time
from typing import Any

import msgspec

from pewtertack.core.machines import MachineState, machine_list_from_document
from pewtertack.lab.asgi import Answer, Request, json_answer
from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.platform.application import ReadApplication
from pewtertack.lab.platform.control import PlatformService
from pewtertack.lab.platform.store import DocumentStore, Faults
from pewtertack.settings import Address

READ_PATH = "/v1/machines"
DEFAULT_READER_LIMIT = 32


class MachineListService:
    """The list's store and its service.

    Args:
        machines: the first list, ``{name: {role, zone, address, ...}}``, number 1.
        listen: address for the readers.
        control: address for the lab.
        lag: seconds until a change shows.
        reader_limit: reads beyond this many at once get 503.
    """

    def __init__(
        self,
        machines: dict[str, Any],
        listen: Address,
        control: Address,
        lag: float = 0.0,
        reader_limit: int = DEFAULT_READER_LIMIT,
    ) -> None:
        self._store = DocumentStore(_checked(machines))
        self._store.set_faults(Faults(lag=lag))
        reading = ReadApplication(self._store, "machines", reader_limit)
        handlers = {
            ("PUT", "/machines"): self._replace,
            ("PUT", "/machines/"): self._put_machine,
            ("DELETE", "/machines/"): self._remove,
            ("POST", "/leaving/"): self._mark_leaving,
        }
        self.service = PlatformService(
            self._store, reading, READ_PATH, listen, control, dict(handlers)
        )

    async def _replace(self, request: Request) -> Answer:
        return self._put(msgspec.json.decode(request.body, type=dict[str, Any]))

    async def _put_machine(self, request: Request) -> Answer:
        entry = msgspec.json.decode(request.body, type=dict[str, Any])
        return self._put({**self._store.newest.document, _name(request): entry})

    async def _remove(self, request: Request) -> Answer:
        machines = dict(self._store.newest.document)
        if machines.pop(_name(request), None) is None:
            raise LabUsageError(f"no machine {_name(request)}")
        return self._put(machines)

    async def _mark_leaving(self, request: Request) -> Answer:
        machines = dict(self._store.newest.document)
        if _name(request) not in machines:
            raise LabUsageError(f"no machine {_name(request)}")
        machines[_name(request)] = {**machines[_name(request)], "state": MachineState.LEAVING}
        return self._put(machines)

    def _put(self, machines: dict[str, Any]) -> Answer:
        return json_answer({"number": self._store.put(_checked(machines), time.time())})


def _name(request: Request) -> str:
    return request.path.rpartition("/")[2]


def _checked(machines: dict[str, Any]) -> dict[str, Any]:
    """Return ``machines`` if it reads as a machine list.

    Raises:
        msgspec.ValidationError: an entry is wrong.
    """
    machine_list_from_document(1, machines)
    return machines
