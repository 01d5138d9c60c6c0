"""Overrides for the machine lists of a new era of the source, for a bounded time.

A source that was restored from a copy lists machines as of some seconds before: back ends that
registered since are missing until they register again, and back ends that left since are still
listed as live. Each node overrides the lists of the new era with what it knew before. The lists
themselves are stored as they were read, so that all nodes hold the same documents. After the
time has passed, the list alone counts.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

import msgspec

from pewtertack.core.address_owners import AddressOwners
from pewtertack.core.eras import EraChange, era_of
from pewtertack.core.machines import Machine, MachineList, MachineState
from pewtertack.core.new_entries import NewEntries
from pewtertack.wire.messages import DepartedBackend, LeavingBackend, ListOverrides

DEPARTED_MAX = 1024
"""Number of machines remembered that are no longer in the list."""
EARLY_REPORTS_MAX = 64
"""Number of peers' reports stored until the first list of their era is known."""
MILLISECONDS_PER_SECOND = 1000.0


class _KnownMachine:
    """A machine as it was known before the era, valid until ``expires_at``."""

    __slots__ = ("expires_at", "listed_in_era", "machine")

    def __init__(self, machine: Machine, expires_at: float, listed_in_era: bool = False) -> None:
        self.machine = machine
        self.expires_at = expires_at
        self.listed_in_era = listed_in_era
        """Whether a list of the new era has contained it, so that its later removal counts."""


class MachineListOverrides:
    """Overrides the machine lists of the present era with what was known before it.

    Without a change of era no list is overridden. Times are monotonic seconds.

    Args:
        hold_seconds: for how long earlier knowledge takes precedence over a new era's lists.
        began_at: since when the node has seen which back ends leave.
    """

    def __init__(self, hold_seconds: float, began_at: float = -math.inf) -> None:
        self._hold_seconds = hold_seconds
        self.new_entries = NewEntries(began_at, hold_seconds)
        self._in_use: dict[str, Machine] = {}
        self._era: int | None = None
        self._known: dict[str, _KnownMachine] = {}
        self._departed: dict[str, Machine] = {}
        """Machines that were removed from the list, by name, the latest last."""
        self._blocked: dict[str, tuple[Machine, float]] = {}
        """Departed back ends that lists of the new era may contain again, with the expiry time."""
        self._leaving: dict[LeavingBackend, float] = {}
        """Back ends that are leaving according to a peer, with the expiry time."""
        self._address_owners = AddressOwners()
        self._early_reports: deque[tuple[float, ListOverrides]] = deque(maxlen=EARLY_REPORTS_MAX)
        self._active_until = -math.inf
        self.kept_count = 0
        """Number of machines in use although the list lacks them."""

    def update(self, now: float, listed: MachineList) -> EraChange | None:
        """Process a newer list; return the differences from what was known if it starts an era."""
        listed_by_name = {machine.name: machine for machine in listed.machines}
        era, previous_era = era_of(listed.number), self._era
        self._era = era
        if previous_era is None or era == previous_era:
            self._record_listed(listed_by_name)
            self._apply_early_reports(now, listed)
            return None
        self._start_era(now)
        self.new_entries.begin(now, filter(self._is_new, listed.machines))
        known = {name: known.machine for name, known in self._known.items()}
        came_back = sum(self._is_blocked(machine) for machine in listed.machines)
        self._record_listed(listed_by_name)
        lost = [name for name in known.keys() - listed_by_name.keys() if known[name].is_backend]
        kept = self._kept_machines(listed_by_name).keys() & set(lost)
        self._apply_early_reports(now, listed)
        return EraChange(previous_era, era, len(lost), len(kept), came_back)

    def _is_new(self, machine: Machine) -> bool:
        """Tell whether nothing was known about a back end before the era."""
        known = self._known.get(machine.name)
        is_known = known is not None and known.machine.incarnation == machine.incarnation
        return not (
            is_known or self._is_blocked(machine) or self._address_owners.is_superseded(machine)
        )

    def apply_report(self, now: float, report: ListOverrides, listed: MachineList) -> bool:
        """Apply a peer's overrides of its list; return whether they concern ``listed``.

        A report about a later era is stored until the first list of that era is known.
        """
        era, expires_at = (
            era_of(report.number),
            now + min(report.remaining_ms / MILLISECONDS_PER_SECOND, self._hold_seconds),
        )
        if self._era is None or era > self._era:
            self._early_reports.append((expires_at, report))
            return False
        if era < self._era or expires_at <= now:
            return False
        self._adopt(expires_at, report, listed)
        return True

    def _apply_early_reports(self, now: float, listed: MachineList) -> None:
        early = list(self._early_reports)
        self._early_reports.clear()
        for expires_at, report in early:
            if era_of(report.number) > era_of(listed.number):
                self._early_reports.append((expires_at, report))
            elif era_of(report.number) == era_of(listed.number) and expires_at > now:
                self._adopt(expires_at, report, listed)

    def _adopt(self, expires_at: float, report: ListOverrides, listed: MachineList) -> None:
        """Adopt a peer's overrides, except where the own list is not older and says otherwise."""
        self._active_until = max(self._active_until, expires_at)
        listed_by_name = {machine.name: machine for machine in listed.machines}
        is_older = listed.number < report.number
        for gone in report.gone:
            if is_older or gone.name in listed_by_name:
                self._block(gone, expires_at, listed_by_name)
        for leaving in report.leaving:
            if is_older or leaving.name in listed_by_name:
                self._leaving.setdefault(leaving, expires_at)
        kept = [entry.machine() for entry in report.kept]
        for machine in kept:
            self._keep(machine, expires_at, listed_by_name)
        if kept:
            self._address_owners.add_reported(expires_at, (*kept, *listed_by_name.values()))

    def _block(
        self, gone: DepartedBackend, expires_at: float, listed_by_name: dict[str, Machine]
    ) -> None:
        """Ignore entries of a back end that has left according to a peer."""
        listed, machine = listed_by_name.get(gone.name), gone.machine()
        if listed is None or not self._is_blocked(listed):
            self._blocked[gone.name] = (machine, expires_at)
        if gone.name not in self._in_use:
            self._departed.setdefault(gone.name, machine)
            self._evict_departed()

    def _keep(
        self, machine: Machine, expires_at: float, listed_by_name: dict[str, Machine]
    ) -> None:
        """Keep a machine that a peer keeps, unless this node has seen it leave."""
        name, known = machine.name, self._known.get(machine.name)
        if name in self._departed and self._departed[name].incarnation == machine.incarnation:
            return
        if known is None or machine.is_after_incarnation(known.machine.started_at):
            self._known[name] = _KnownMachine(machine, expires_at, name in listed_by_name)
        elif (
            machine.state is MachineState.LEAVING
            and known.machine.incarnation == machine.incarnation
        ):
            known.machine = machine

    def is_active(self, now: float) -> bool:
        """Tell whether the list may still be overridden."""
        return now < self._active_until

    def remaining_seconds(self, now: float, name: str) -> float:
        """Return for how many more seconds a machine's override is valid; 0 if there is none."""
        if name in self.new_entries and name not in self._blocked:
            return 0.0
        known = self._known.get(name)
        return (known.expires_at if known is not None else self._active_until) - now

    def _start_era(self, now: float) -> None:
        expires_at = self._active_until = now + self._hold_seconds
        self._leaving = {}
        still_kept = {name: known for name, known in self._known.items() if not known.listed_in_era}
        self._known = {}
        for name, machine in self._in_use.items():
            earlier = still_kept.get(name)
            self._known[name] = _KnownMachine(
                machine, earlier.expires_at if earlier else expires_at
            )
        self._blocked = {
            name: (machine, expires_at)
            for name, machine in self._departed.items()
            if machine.is_backend
        }
        self._address_owners.start_era(
            expires_at, (*self._departed.values(), *self._in_use.values())
        )

    def _record_listed(self, listed_by_name: dict[str, Machine]) -> None:
        """Record the listed machines; one that this era has listed and no longer lists has left."""
        for name, known in list(self._known.items()):
            if name in listed_by_name:
                known.listed_in_era = True
            elif known.listed_in_era:
                del self._known[name]
        for name in self._blocked.keys() - listed_by_name.keys():
            del self._blocked[name]
        self._leaving = {
            leaving: expires_at
            for leaving, expires_at in self._leaving.items()
            if leaving.name in listed_by_name
        }
        self._address_owners.add_listed(listed_by_name.values())

    def apply(self, now: float, listed: MachineList) -> MachineList:
        """Return the list with the overrides that are still valid."""
        self._discard_expired(now)
        listed_by_name = {machine.name: machine for machine in listed.machines}
        result = listed
        self.kept_count = 0
        if self._has_overrides():
            current = {
                name: self._override(machine)
                for name, machine in listed_by_name.items()
                if not self._is_excluded(machine)
            }
            current = {
                name: machine
                for name, machine in current.items()
                if not self._address_owners.is_superseded(machine)
            }
            kept = self._kept_machines(listed_by_name)
            self.kept_count = len(kept)
            machines = {**current, **kept}
            ordered = tuple(machines[name] for name in sorted(machines))
            result = MachineList(listed.number, ordered)
        self._record_in_use(result.machines)
        return result

    def _has_overrides(self) -> bool:
        has_any = (
            self._known
            or self._blocked
            or self._leaving
            or self.new_entries
            or self._address_owners.started_at_by_address
        )
        return bool(has_any)

    def has_expired(self, now: float) -> bool:
        """Tell whether an override is no longer valid, so that the list must be built anew."""
        expiry_times = [known.expires_at for known in self._known.values()]
        expiry_times += [expires_at for _, expires_at in self._blocked.values()]
        expiry_times += self._leaving.values()
        any_expired = self._address_owners.has_expired(now) or self.new_entries.has_expired(now)
        return any_expired or any(expires_at <= now for expires_at in expiry_times)

    def _discard_expired(self, now: float) -> None:
        self._known = {name: known for name, known in self._known.items() if known.expires_at > now}
        self._blocked = {name: entry for name, entry in self._blocked.items() if entry[1] > now}
        self._leaving = {
            leaving: expires_at for leaving, expires_at in self._leaving.items() if expires_at > now
        }
        if self.new_entries.has_expired(now):
            self.new_entries.clear()
        if self._address_owners.has_expired(now):
            self._address_owners.clear()

    def _record_in_use(self, machines: Iterable[Machine]) -> None:
        """Record which machines are in use now, and which no longer are."""
        current = {machine.name: machine for machine in machines}
        for name, machine in self._in_use.items():
            if name not in current:
                self._departed[name] = machine
        for name in current:
            self._departed.pop(name, None)
        self._evict_departed()
        self._in_use = current

    def _evict_departed(self) -> None:
        while len(self._departed) > DEPARTED_MAX:
            del self._departed[next(iter(self._departed))]

    def _override(self, machine: Machine) -> Machine:
        """Return a listed machine as it is used: not an earlier incarnation than the known one."""
        known = self._known.get(machine.name)
        if known is not None and machine.is_before_incarnation(known.machine.started_at):
            return known.machine
        leaves = _leaving_notice(machine) in self._leaving
        if known is not None and known.machine.state is MachineState.LEAVING:
            leaves |= machine.incarnation == known.machine.incarnation
        return msgspec.structs.replace(machine, state=MachineState.LEAVING) if leaves else machine

    def _is_blocked(self, machine: Machine) -> bool:
        """Tell whether this entry was removed earlier; a newly registered one is not blocked."""
        blocked = self._blocked.get(machine.name)
        return blocked is not None and blocked[0].entry_key == machine.entry_key

    def _is_excluded(self, machine: Machine) -> bool:
        return self._is_blocked(machine) or machine.name in self.new_entries

    def _kept_machines(self, listed_by_name: dict[str, Machine]) -> dict[str, Machine]:
        """Return the known machines that the list lacks and whose address has no other owner."""
        owners: dict[str, Machine] = {}
        for machine in listed_by_name.values():
            is_gone = self._is_excluded(machine) or self._address_owners.is_superseded(machine)
            if machine.is_backend and not is_gone:
                owners[machine.address] = machine
        return {
            name: known.machine
            for name, known in self._known.items()
            if name not in listed_by_name
            and not known.listed_in_era
            and not _is_replaced(known.machine, owners)
            and not self._address_owners.is_superseded(known.machine)
        }


def _is_replaced(machine: Machine, owners: dict[str, Machine]) -> bool:
    """Tell whether another back end, not of an earlier start, has the machine's address."""
    owner = owners.get(machine.address) if machine.is_backend else None
    return owner is not None and not owner.is_before_incarnation(machine.started_at)


def _leaving_notice(machine: Machine) -> LeavingBackend:
    return LeavingBackend(machine.name, machine.address, machine.started_at)
