"""Back ends of all services, according to the platform's machine list, which lags."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from pewtertack.core.machines import Machine, MachineList, MachineRole, MachineState
from pewtertack.routing.backend import Backend

if TYPE_CHECKING:
    from pewtertack.routing.rate_reports import KnownRate

MAX_REMEMBERED_LEAVING = 4096
"""Number of incarnations remembered as leaving."""
MAX_REMEMBERED_RATES = 4096
"""Number of removed back ends whose limits are remembered."""
MAX_REMEMBERED_STARTS = 4096
"""Number of back ends whose latest start is remembered, to recognize outdated entries."""


class ListChange(Enum):
    """Change of a back end's entry between two lists."""

    SEEN = "seen"
    LEAVING = "leaving"
    GONE = "gone"


class _Incarnation(NamedTuple):
    """Identifies an incarnation of a back end."""

    name: str
    address: str
    service: str
    started_at: int = 0


class BackendRegistry:
    """Keeps one ``Backend`` per incarnation across updates of the list."""

    def __init__(self) -> None:
        self._number = 0
        self._backends: dict[str, Backend] = {}
        self._services: dict[str, tuple[Backend, ...]] = {}
        self._leaving_incarnations: dict[_Incarnation, None] = {}
        self._known_rates: dict[_Incarnation, KnownRate] = {}
        """Limits named by back ends that the list does not contain now."""
        self._latest_starts: dict[str, int] = {}
        """The latest start of each back end, where known, in order of the last report."""
        self.changes: tuple[tuple[Backend, ListChange], ...] = ()
        """Changes made by the newest list."""

    def update(self, machines: MachineList, now: float) -> bool:
        """Take over a newer list; return false for an older one, which is ignored.

        A back end that is removed from the list, or changes its address, gets a new state when it
        is listed again. Only what it has reported of itself carries over: that it is leaving, and
        the limit that it names; entries may be outdated, or lapse while it serves on. One
        that has started again under its name is another incarnation: nothing carries over, and
        outdated entries of the former incarnation change nothing.
        """
        if machines.number < self._number:
            return False
        self._number = machines.number
        was_leaving = {name: backend.leaving for name, backend in self._backends.items()}
        previous = self._backends
        listed = [machine for machine in machines.machines if machine.role is MachineRole.BACKEND]
        for backend in self._backends.values():
            backend.removed = True
        current = (self._updated_backend(machine, now) for machine in listed)
        self._backends = {backend.name: backend for backend in current if backend is not None}
        for backend in previous.values():
            if backend.removed:
                self.remember(backend)
        self._note_successors(listed)
        self._services = _by_service(self._backends.values())
        self.changes = tuple(self._compare(previous, was_leaving))
        return True

    def _note_successors(self, listed: Iterable[Machine]) -> None:
        """Set the successor of each back end whose address was later given to another."""
        newest: dict[str, Machine] = {}
        for machine in listed:
            known = newest.get(machine.address)
            if known is None or _is_later(machine, known):
                newest[machine.address] = machine
        for machine in listed:
            backend = self._backends.get(machine.name)
            if backend is not None and backend.address == machine.address:
                successor = newest[machine.address]
                is_dated = machine.listed_at > 0 or machine.started_at > 0
                replaced = is_dated and _is_later(successor, machine)
                backend.successor = self._backends.get(successor.name) if replaced else None

    def _compare(
        self, previous: dict[str, Backend], was_leaving: dict[str, bool]
    ) -> Iterator[tuple[Backend, ListChange]]:
        """Yield the changes made by the newest list."""
        for name, backend in previous.items():
            if self._backends.get(name) is not backend:
                yield backend, ListChange.GONE
        for name, backend in self._backends.items():
            if previous.get(name) is not backend:
                yield backend, ListChange.SEEN
            if backend.leaving and not was_leaving.get(name, False):
                yield backend, ListChange.LEAVING

    def _updated_backend(self, machine: Machine, now: float) -> Backend | None:
        backend = self._backends.get(machine.name)
        if machine.is_before_incarnation(self._latest_starts.get(machine.name, 0)):
            if backend is not None:
                backend.removed = False
            return backend
        self._remember_start(machine)
        started_at = machine.started_at or (backend.started_at if backend is not None else 0)
        incarnation = _Incarnation(machine.name, machine.address, machine.service, started_at)
        if backend is None or not _is_same(backend, incarnation):
            backend = Backend(machine.name, machine.service, machine.address, machine.zone, now)
            backend.leaving = incarnation in self._leaving_incarnations
            backend.known_rate = self._known_rates.pop(incarnation, None)
        backend.started_at = started_at
        backend.zone = machine.zone
        backend.gateway = machine.gateway
        backend.slots = backend.slots or machine.slots
        if machine.cold and not backend.listed_cold:
            backend.assume_cold(now)
        backend.listed_cold = machine.cold
        backend.leaving = backend.leaving or machine.state is MachineState.LEAVING
        backend.removed = False
        if backend.leaving:
            self._remember_leaving(incarnation)
        return backend

    def _remember_start(self, machine: Machine) -> None:
        if machine.started_at == 0:
            return
        self._latest_starts.pop(machine.name, None)
        self._latest_starts[machine.name] = machine.started_at
        if len(self._latest_starts) > MAX_REMEMBERED_STARTS:
            del self._latest_starts[next(iter(self._latest_starts))]

    def remember(self, backend: Backend) -> None:
        """Remember what a back end that was removed from the list has reported of itself."""
        incarnation = _Incarnation(
            backend.name, backend.address, backend.service, backend.started_at
        )
        if backend.leaving:
            self._remember_leaving(incarnation)
        self._known_rates.pop(incarnation, None)
        if backend.known_rate is not None:
            self._known_rates[incarnation] = backend.known_rate
            if len(self._known_rates) > MAX_REMEMBERED_RATES:
                del self._known_rates[next(iter(self._known_rates))]

    def _remember_leaving(self, incarnation: _Incarnation) -> None:
        self._leaving_incarnations[incarnation] = None
        if len(self._leaving_incarnations) > MAX_REMEMBERED_LEAVING:
            del self._leaving_incarnations[next(iter(self._leaving_incarnations))]

    def all(self) -> Iterable[Backend]:
        """Return all listed back ends."""
        return self._backends.values()

    def addresses(self) -> frozenset[str]:
        """Return the addresses to which requests for back ends that are not leaving are sent."""
        backends = self._backends.values()
        return frozenset(
            backend.gateway or backend.address for backend in backends if not backend.leaving
        )

    def of_service(self, service: str) -> tuple[Backend, ...]:
        """Return all listed back ends of ``service``, leaving ones too."""
        return self._services.get(service, ())


def _is_later(machine: Machine, other: Machine) -> bool:
    """Tell whether a back end was given the address after the other, as far as is known.

    A back end that restarts keeps its entry, so start times decide where both are known.
    """
    if machine.started_at and other.started_at:
        return machine.started_at > other.started_at
    return machine.listed_at > other.listed_at


def _is_same(backend: Backend, incarnation: _Incarnation) -> bool:
    """Tell whether the back end is this incarnation; an unknown start time matches any."""
    started_at = backend.started_at or incarnation.started_at
    return incarnation == _Incarnation(backend.name, backend.address, backend.service, started_at)


def _by_service(backends: Iterable[Backend]) -> dict[str, tuple[Backend, ...]]:
    services: dict[str, list[Backend]] = {}
    for backend in backends:
        services.setdefault(backend.service, []).append(backend)
    return {service: tuple(members) for service, members in services.items()}
