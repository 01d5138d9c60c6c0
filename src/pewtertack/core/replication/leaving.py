"""Back ends that announced that they are leaving before the machine list says so.

The platform's list lags behind such notices. A notice applies to one back end at one address and
start time and is never withdrawn: a replacement has another address or start time, and back ends
that are gone disappear from the list.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from pewtertack.core.machines import Machine, MachineList, MachineRole, MachineState
from pewtertack.wire.messages import LeavingBackend


class LeavingBackends:
    """The leaving notices about back ends of the current machine list."""

    def __init__(self) -> None:
        self._notices: set[LeavingBackend] = set()

    def observe(
        self, notices: Iterable[LeavingBackend], machines: MachineList
    ) -> tuple[LeavingBackend, ...]:
        """Record notices about listed back ends and return those that were new."""
        listed = _backends(machines)
        new_notices = tuple(
            notice for notice in notices if notice in listed and notice not in self._notices
        )
        self._notices.update(new_notices)
        return new_notices

    def apply(self, machines: MachineList) -> MachineList:
        """Return the list with noted back ends marked as leaving; drop notices about unlisted."""
        self._notices &= _backends(machines)
        if not self._notices:
            return machines
        return MachineList(machines.number, tuple(map(self._with_notice, machines.machines)))

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
