"""The machine list: readers at ``/v1/machines``, the lab at the control address."""

from __future__ import annotations

import time
from typing import Any

import msgspec

from pewtertack.core.machines import MachineState, machine_list_from_document
from pewtertack.lab.asgi import Request, Response, json_response
from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.platform.application import ReadApplication
from pewtertack.lab.platform.control import PlatformService
from pewtertack.lab.platform.store import DocumentStore, PlatformFaults
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
        self._truth = machines
        """The list as it was written last, whatever the store has lost since."""
        self._store.set_faults(PlatformFaults(lag=lag))
        reading = ReadApplication(self._store, "machines", reader_limit)
        handlers = {
            ("PUT", "/machines"): self._replace,
            ("PUT", "/machines/"): self._put_machine,
            ("DELETE", "/machines/"): self._remove,
            ("POST", "/leaving/"): self._mark_leaving,
            ("POST", "/return"): self._restore,
            ("POST", "/write-again"): self._replay_lost_writes,
        }
        self.service = PlatformService(
            self._store, reading, READ_PATH, listen, control, dict(handlers)
        )

    async def _replace(self, request: Request) -> Response:
        return self._put(msgspec.json.decode(request.body, type=dict[str, Any]))

    async def _put_machine(self, request: Request) -> Response:
        return self._put_entry(_name(request), msgspec.json.decode(request.body, type=dict))

    async def _remove(self, request: Request) -> Response:
        name = _name(request)
        if name not in self._truth:
            raise LabUsageError(f"no machine {name}")
        return self._put_entry(name, None)

    async def _mark_leaving(self, request: Request) -> Response:
        name = _name(request)
        if name not in self._truth:
            raise LabUsageError(f"no machine {name}")
        return self._put_entry(name, {**self._truth[name], "state": MachineState.LEAVING})

    async def _restore(self, request: Request) -> Response:
        lost = self._store.restore(float(request.query["copied_at"]))
        return json_response({"lost": len(lost)})

    async def _replay_lost_writes(self, request: Request) -> Response:
        """Write one after the other what the store lacks since it has come back."""
        listed = self._store.newest.document
        for name in self._truth.keys() | listed.keys():
            if self._truth.get(name) != listed.get(name):
                self._put_entry(name, self._truth.get(name))
        return json_response({})

    def _put_entry(self, name: str, entry: dict[str, Any] | None) -> Response:
        """Write a machine's entry, or its removal."""
        self._truth = _checked(_with(self._truth, name, entry))
        machines = _with(self._store.newest.document, name, entry)
        return json_response({"number": self._store.put(machines, time.time())})

    def _put(self, machines: dict[str, Any]) -> Response:
        self._truth = _checked(machines)
        return json_response({"number": self._store.put(machines, time.time())})


def _with(machines: dict[str, Any], name: str, entry: dict[str, Any] | None) -> dict[str, Any]:
    others = {key: value for key, value in machines.items() if key != name}
    return others if entry is None else {**others, name: entry}


def _name(request: Request) -> str:
    return request.path.rpartition("/")[2]


def _checked(machines: dict[str, Any]) -> dict[str, Any]:
    """Return ``machines`` if it reads as a machine list.

    Raises:
        msgspec.ValidationError: an entry is wrong.
    """
    machine_list_from_document(1, machines)
    return machines
