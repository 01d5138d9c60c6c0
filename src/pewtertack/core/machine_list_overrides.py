"""Overrides for the machine lists of a new era of the source, for a bounded time.

A source that has come back from a copy lists machines as they were some seconds before: who came
since is missing until it has registered again, who has left since is still listed as ready. Each
node overrides the new era's lists with what it knew; the lists themselves are kept as they were
read, so that all nodes hold the same documents. Once the time is over the list alone counts.
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

GONE_KEPT = 1024
"""Machines remembered as gone from the list."""
EARLY_KEPT = 64
"""Messages of peers that wait for the first list of their era."""
MILLISECONDS = 1000.0


class _Known:
    """A machine as it was known before the era began."""

    __slots__ = ("listed", "machine", "until")

    def __init__(self, machine: Machine, until: float, listed: bool = False) -> None:
        self.machine = machine
        self.until = until
        self.listed = listed
        """Whether the new era has named it: from then on its absence is believed."""


class MachineListOverrides:
    """Overrides the present era's lists with what was known before it.

    Without eras no list is overridden. Times are monotonic seconds.

    Args:
        seconds: for how long what was known goes before what a new era's lists say.
        began_at: since when the node has seen who leaves.
    """

    def __init__(self, seconds: float, began_at: float = -math.inf) -> None:
        self._seconds = seconds
        self.new_entries = NewEntries(began_at, seconds)
        self._believed: dict[str, Machine] = {}
        self._era: int | None = None
        self._known: dict[str, _Known] = {}
        self._gone: dict[str, Machine] = {}
        """Machines that went off the list, by name, the latest last."""
        self._barred: dict[str, tuple[Machine, float]] = {}
        """Those of them that a new era may show again."""
        self._leaving: dict[LeavingBackend, float] = {}
        """Those of which a peer has told that they leave."""
        self._owners = AddressOwners()
        self._early: deque[tuple[float, ListOverrides]] = deque(maxlen=EARLY_KEPT)
        self._until = -math.inf
        self.kept_count = 0
        """Machines that are believed in although the list lacks them."""

    def update(self, now: float, listed: MachineList) -> EraChange | None:
        """Take in a newer list; return what changed if its era is a new one."""
        names = {machine.name: machine for machine in listed.machines}
        era, before = era_of(listed.number), self._era
        self._era = era
        if before is None or era == before:
            self._note_listed(names)
            self._apply_early(now, listed)
            return None
        self._begin_era(now)
        self.new_entries.begin(now, filter(self._is_new, listed.machines))
        known = {name: known.machine for name, known in self._known.items()}
        came_back = sum(self._is_barred(machine) for machine in listed.machines)
        self._note_listed(names)
        lost = [name for name in known.keys() - names.keys() if known[name].is_backend]
        kept = self._kept_of(names).keys() & set(lost)
        self._apply_early(now, listed)
        return EraChange(before, era, len(lost), len(kept), came_back)

    def _is_new(self, machine: Machine) -> bool:
        """Tell whether nothing is known of a back end from before the era."""
        known = self._known.get(machine.name)
        is_known = known is not None and known.machine.incarnation == machine.incarnation
        return not (is_known or self._is_barred(machine) or self._owners.have_followed(machine))

    def apply_report(self, now: float, told: ListOverrides, listed: MachineList) -> bool:
        """Take in what a peer holds against its list; tell whether it concerns ``listed``.

        What is told of a later era waits for the first list of that.
        """
        era, until = era_of(told.number), now + min(told.remaining_ms / MILLISECONDS, self._seconds)
        if self._era is None or era > self._era:
            self._early.append((until, told))
            return False
        if era < self._era or until <= now:
            return False
        self._apply(until, told, listed)
        return True

    def _apply_early(self, now: float, listed: MachineList) -> None:
        early = list(self._early)
        self._early.clear()
        for until, told in early:
            if era_of(told.number) > era_of(listed.number):
                self._early.append((until, told))
            elif era_of(told.number) == era_of(listed.number) and until > now:
                self._apply(until, told, listed)

    def _apply(self, until: float, told: ListOverrides, listed: MachineList) -> None:
        """Take over a peer's overrides, except where the own list is no older and differs."""
        self._until = max(self._until, until)
        names = {machine.name: machine for machine in listed.machines}
        is_older = listed.number < told.number
        for gone in told.gone:
            if is_older or gone.name in names:
                self._bar(gone, until, names)
        for leaving in told.leaving:
            if is_older or leaving.name in names:
                self._leaving.setdefault(leaving, until)
        kept = [entry.machine() for entry in told.kept]
        for machine in kept:
            self._keep(machine, until, names)
        if kept:
            self._owners.hear(until, (*kept, *names.values()))

    def _bar(self, gone: DepartedBackend, until: float, names: dict[str, Machine]) -> None:
        listed, machine = names.get(gone.name), gone.machine()
        if listed is None or not self._is_barred(listed):
            self._barred[gone.name] = (machine, until)
        if gone.name not in self._believed:
            self._gone.setdefault(gone.name, machine)
            self._bound_gone()

    def _keep(self, machine: Machine, until: float, names: dict[str, Machine]) -> None:
        """Keep a machine that a peer keeps, unless it was seen here to go."""
        name, known = machine.name, self._known.get(machine.name)
        if name in self._gone and self._gone[name].incarnation == machine.incarnation:
            return
        if known is None or machine.is_after_incarnation(known.machine.started_at):
            self._known[name] = _Known(machine, until, name in names)
        elif (
            machine.state is MachineState.LEAVING
            and known.machine.incarnation == machine.incarnation
        ):
            known.machine = machine

    def is_active(self, now: float) -> bool:
        """Tell whether anything may be held against the list."""
        return now < self._until

    def remaining_seconds(self, now: float, name: str) -> float:
        """Return for how many more seconds what is known of a machine holds; 0 if not known."""
        if name in self.new_entries and name not in self._barred:
            return 0.0
        known = self._known.get(name)
        return (known.until if known is not None else self._until) - now

    def _begin_era(self, now: float) -> None:
        until = self._until = now + self._seconds
        self._leaving = {}
        still_kept = {name: known for name, known in self._known.items() if not known.listed}
        self._known = {}
        for name, machine in self._believed.items():
            earlier = still_kept.get(name)
            self._known[name] = _Known(machine, earlier.until if earlier else until)
        self._barred = {
            name: (machine, until) for name, machine in self._gone.items() if machine.is_backend
        }
        self._owners.begin(until, (*self._gone.values(), *self._believed.values()))

    def _note_listed(self, names: dict[str, Machine]) -> None:
        """Note who is named now; who was named in this era and is no longer has gone."""
        for name, known in list(self._known.items()):
            if name in names:
                known.listed = True
            elif known.listed:
                del self._known[name]
        for name in self._barred.keys() - names.keys():
            del self._barred[name]
        self._leaving = {
            leaving: until for leaving, until in self._leaving.items() if leaving.name in names
        }
        self._owners.note(names.values())

    def overridden(self, now: float, listed: MachineList) -> MachineList:
        """Return the list with what is still held against it."""
        self._forget(now)
        names = {machine.name: machine for machine in listed.machines}
        result = listed
        self.kept_count = 0
        if self._holds_any():
            current = {
                name: self._current(machine)
                for name, machine in names.items()
                if not self._is_away(machine)
            }
            current = {
                name: machine
                for name, machine in current.items()
                if not self._owners.have_followed(machine)
            }
            kept = self._kept_of(names)
            self.kept_count = len(kept)
            machines = {**current, **kept}
            ordered = tuple(machines[name] for name in sorted(machines))
            result = MachineList(listed.number, ordered)
        self._remember(result.machines)
        return result

    def _holds_any(self) -> bool:
        held = (
            self._known or self._barred or self._leaving or self.new_entries or self._owners.known
        )
        return bool(held)

    def has_expired(self, now: float) -> bool:
        """Tell whether something that is held against the list holds no longer."""
        moments = [known.until for known in self._known.values()]
        moments += [until for _, until in self._barred.values()]
        moments += self._leaving.values()
        is_due = self._owners.is_due(now) or self.new_entries.is_due(now)
        return is_due or any(until <= now for until in moments)

    def _forget(self, now: float) -> None:
        self._known = {name: known for name, known in self._known.items() if known.until > now}
        self._barred = {name: held for name, held in self._barred.items() if held[1] > now}
        self._leaving = {leaving: until for leaving, until in self._leaving.items() if until > now}
        if self.new_entries.is_due(now):
            self.new_entries.clear()
        if self._owners.is_due(now):
            self._owners.forget()

    def _remember(self, machines: Iterable[Machine]) -> None:
        """Remember who is believed in now, and who is not any more."""
        current = {machine.name: machine for machine in machines}
        for name, machine in self._believed.items():
            if name not in current:
                self._gone[name] = machine
        for name in current:
            self._gone.pop(name, None)
        self._bound_gone()
        self._believed = current

    def _bound_gone(self) -> None:
        while len(self._gone) > GONE_KEPT:
            del self._gone[next(iter(self._gone))]

    def _current(self, machine: Machine) -> Machine:
        """Return what is believed of a listed machine: no life before the one known."""
        known = self._known.get(machine.name)
        if known is not None and machine.is_before_incarnation(known.machine.started_at):
            return known.machine
        leaves = _notice_of(machine) in self._leaving
        if known is not None and known.machine.state is MachineState.LEAVING:
            leaves |= machine.incarnation == known.machine.incarnation
        return msgspec.structs.replace(machine, state=MachineState.LEAVING) if leaves else machine

    def _is_barred(self, machine: Machine) -> bool:
        """Tell whether it had left; an entry that was made anew is another."""
        held = self._barred.get(machine.name)
        return held is not None and held[0].entry_key == machine.entry_key

    def _is_away(self, machine: Machine) -> bool:
        return self._is_barred(machine) or machine.name in self.new_entries

    def _kept_of(self, names: dict[str, Machine]) -> dict[str, Machine]:
        """Return the known machines that the list lacks and that nobody has followed."""
        owners: dict[str, Machine] = {}
        for machine in names.values():
            is_gone = self._is_away(machine) or self._owners.have_followed(machine)
            if machine.is_backend and not is_gone:
                owners[machine.address] = machine
        return {
            name: known.machine
            for name, known in self._known.items()
            if name not in names
            and not known.listed
            and not _is_followed(known.machine, owners)
            and not self._owners.have_followed(known.machine)
        }


def _is_followed(machine: Machine, owners: dict[str, Machine]) -> bool:
    """Tell whether its address has another owner, of no earlier start."""
    owner = owners.get(machine.address) if machine.is_backend else None
    return owner is not None and not owner.is_before_incarnation(machine.started_at)


def _notice_of(machine: Machine) -> LeavingBackend:
    return LeavingBackend(machine.name, machine.address, machine.started_at)
