"""Simulated machine list: nodes read ``/v1/machines``, the lab edits by control requests."""

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
    """Stores the versions of the machine list and serves them.

    Args:
        machines: the first version, number 1: ``{name: {role, zone, address, ...}}``.
        listen: the address for readers.
        control: the address for the lab.
        lag: seconds until a change becomes visible.
        reader_limit: limit on concurrent reads; further ones get 503.
    """

    def __init__(
        self,
        machines: dict[str, Any],
        listen: Address,
        control: Address,
        lag: float = 0.0,
        reader_limit: int = DEFAULT_READER_LIMIT,
    ) -> None:
        self._store = DocumentStore(_validated(machines))
        self._intended_machines = machines
        """The list with all edits, including those that a restore of the store has lost."""
        self._store.set_faults(PlatformFaults(lag=lag))
        read_application = ReadApplication(self._store, "machines", reader_limit)
        handlers = {
            ("PUT", "/machines"): self._replace_list,
            ("PUT", "/machines/"): self._put_machine,
            ("DELETE", "/machines/"): self._remove_machine,
            ("POST", "/leaving/"): self._mark_leaving,
            ("POST", "/return"): self._restore,
            ("POST", "/write-again"): self._replay_lost_writes,
        }
        self.service = PlatformService(
            self._store, read_application, READ_PATH, listen, control, dict(handlers)
        )

    async def _replace_list(self, request: Request) -> Response:
        return self._put_list(msgspec.json.decode(request.body, type=dict[str, Any]))

    async def _put_machine(self, request: Request) -> Response:
        return self._put_entry(_machine_name(request), msgspec.json.decode(request.body, type=dict))

    async def _remove_machine(self, request: Request) -> Response:
        name = _machine_name(request)
        if name not in self._intended_machines:
            raise LabUsageError(f"no machine {name}")
        return self._put_entry(name, None)

    async def _mark_leaving(self, request: Request) -> Response:
        name = _machine_name(request)
        if name not in self._intended_machines:
            raise LabUsageError(f"no machine {name}")
        return self._put_entry(
            name, {**self._intended_machines[name], "state": MachineState.LEAVING}
        )

    async def _restore(self, request: Request) -> Response:
        lost = self._store.restore(float(request.query["copied_at"]))
        return json_response({"lost": len(lost)})

    async def _replay_lost_writes(self, _request: Request) -> Response:
        """Write the entries again, one by one, that differ since the store was restored."""
        listed = self._store.newest.document
        for name in self._intended_machines.keys() | listed.keys():
            if self._intended_machines.get(name) != listed.get(name):
                self._put_entry(name, self._intended_machines.get(name))
        return json_response({})

    def _put_entry(self, name: str, entry: dict[str, Any] | None) -> Response:
        """Write a machine's entry; ``None`` removes the machine."""
        self._intended_machines = _validated(_replace_entry(self._intended_machines, name, entry))
        machines = _replace_entry(self._store.newest.document, name, entry)
        return json_response({"number": self._store.put(machines, time.time())})

    def _put_list(self, machines: dict[str, Any]) -> Response:
        self._intended_machines = _validated(machines)
        return json_response({"number": self._store.put(machines, time.time())})


def _replace_entry(
    machines: dict[str, Any], name: str, entry: dict[str, Any] | None
) -> dict[str, Any]:
    others = {key: value for key, value in machines.items() if key != name}
    return others if entry is None else {**others, name: entry}


def _machine_name(request: Request) -> str:
    return request.path.rpartition("/")[2]


def _validated(machines: dict[str, Any]) -> dict[str, Any]:
    """Return ``machines`` if it is a valid machine list.

    Raises:
        msgspec.ValidationError: an entry is invalid.
    """
    machine_list_from_document(1, machines)
    return machines
