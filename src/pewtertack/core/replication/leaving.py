"""Back ends that announced that they are leaving before the machine list says so.

The platform's list lags behind such notices. A notice applies to one back end at one address and
start time and is never withdrawn: a replacement has another address or start time. An entry may be
missing for a while although the back end runs, and a node that has just started may receive notices
before its first list; so notices are kept while their back ends are not listed.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec

from pewtertack.core.machines import Machine, MachineList, MachineRole, MachineState
from pewtertack.wire.messages import LeavingBackend

MAX_UNLISTED_NOTICES = 256
"""Limit on the notices kept about back ends that the list does not contain; the latest are kept."""


class LeavingBackends:
    """The leaving notices about back ends of the current machine list, and about unlisted ones."""

    def __init__(self) -> None:
        self._notices: set[LeavingBackend] = set()
        self._unlisted: dict[LeavingBackend, None] = {}

    def observe(
        self, notices: Collection[LeavingBackend], machines: MachineList
    ) -> tuple[LeavingBackend, ...]:
        """Record notices and return those that were new and about listed back ends."""
        listed = _backends(machines)
        self._keep_unlisted(notice for notice in notices if notice not in listed)
        new_notices = tuple(
            notice for notice in notices if notice in listed and notice not in self._notices
        )
        self._notices.update(new_notices)
        return new_notices

    def apply(self, machines: MachineList) -> MachineList:
        """Return the list with noted back ends marked as leaving."""
        if not (self._notices or self._unlisted):
            return machines
        listed = _backends(machines)
        returned = listed & self._unlisted.keys()
        self._keep_unlisted(self._notices - listed)
        for notice in returned:
            del self._unlisted[notice]
        self._notices = self._notices & listed | returned
        if not self._notices:
            return machines
        return MachineList(machines.number, tuple(map(self._with_notice, machines.machines)))

    def unknown_to(self, machines: MachineList) -> tuple[LeavingBackend, ...]:
        """Return the notices about back ends that a list as read shows as live."""
        live = (item for item in machines.machines if item.state is MachineState.LIVE)
        return tuple(notice for notice in map(_notice_of, live) if notice in self._notices)

    def _keep_unlisted(self, notices: Iterable[LeavingBackend]) -> None:
        self._unlisted.update(dict.fromkeys(notices))
        while len(self._unlisted) > MAX_UNLISTED_NOTICES:
            del self._unlisted[next(iter(self._unlisted))]

    def _with_notice(self, machine: Machine) -> Machine:
        if _notice_of(machine) not in self._notices:
            return machine
        return msgspec.structs.replace(machine, state=MachineState.LEAVING)


def _backends(machines: MachineList) -> set[LeavingBackend]:
    return {
        _notice_of(machine) for machine in machines.machines if machine.role is MachineRole.BACKEND
    }


def _notice_of(machine: Machine) -> LeavingBackend:
    return LeavingBackend(machine.name, machine.address, machine.started_at)
