"""Back ends that said they are leaving, ahead of the platform's lagging list.

A notice is about one back end at one address and is sticky: a replacement has
another address, or another start, and the list drops what is gone.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from pewtertack.core.machines import Machine, MachineList, MachineRole, MachineState
from pewtertack.wire.messages import LeavingBackend


class LeavingBackends:
    """The notices about back ends of the current list."""

    def __init__(self) -> None:
        self._notices: set[LeavingBackend] = set()

    def observe(
        self, notices: Iterable[LeavingBackend], machines: MachineList
    ) -> tuple[LeavingBackend, ...]:
        """Note back ends of the list as leaving and return those that were news."""
        listed = _backends(machines)
        news = tuple(
            notice for notice in notices if notice in listed and notice not in self._notices
        )
        self._notices.update(news)
        return news

    def apply(self, machines: MachineList) -> MachineList:
        """Return the list with noted back ends leaving, and forget unlisted ones."""
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
