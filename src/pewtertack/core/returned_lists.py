"""What a machine list of a new era does not know, for a bounded time.

A source that has come back from a copy lists machines as they were some seconds before: who came
since is missing until it has written itself again, who has left since stands there as ready. Each
node lays what it knew over the new era's lists; these themselves stay as they were read, so that
all nodes hold the same documents whoever reads. Once the time is over the list is believed.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from pewtertack.core.eras import era_of
from pewtertack.core.machines import Machine, MachineList, MachineRole, MachineState

GONE_KEPT = 1024
"""Machines remembered as gone from the list; a copy is no older than some seconds."""


class EraChange(msgspec.Struct, frozen=True):
    """What the first list of a new era says, against what was known before."""

    old: int
    new: int
    lost: int
    """Back ends that the list lacks."""
    kept: int
    """How many of them are kept for now."""
    came_back: int
    """Back ends that the list names although they had left."""


class _Known:
    """A machine as it was known before the era began."""

    __slots__ = ("listed", "machine", "until")

    def __init__(self, machine: Machine, until: float) -> None:
        self.machine = machine
        self.until = until
        self.listed = False
        """Whether the new era has named it: from then on its absence is believed."""


class AddressOwners:
    """The latest start known of a back end at each address: no life before it comes back.

    A node that began after a life had ended knows nothing of it but that another followed.
    """

    __slots__ = ("_until", "known")

    def __init__(self) -> None:
        self.known: dict[str, int] = {}
        """Starts, as back ends tell them, by address; empty once the time is over."""
        self._until = 0.0

    def begin(self, until: float, machines: Iterable[Machine]) -> None:
        """Begin anew with what was known before an era; it holds ``until``."""
        self.known = {}
        self._until = until
        self._take(machines)

    def note(self, machines: Iterable[Machine]) -> None:
        """Take in what the present era lists."""
        if self.known:
            self._take(machines)

    def have_followed(self, machine: Machine) -> bool:
        """Tell whether a later life than the machine's has had its address."""
        started_at = self.known.get(machine.address, 0)
        return _is_backend(machine) and machine.is_of_life_before(started_at)

    def is_due(self, now: float) -> bool:
        """Tell whether what is known holds no longer."""
        return bool(self.known) and self._until <= now

    def forget(self) -> None:
        """Hold nothing any more."""
        self.known = {}

    def _take(self, machines: Iterable[Machine]) -> None:
        for machine in machines:
            if _is_backend(machine) and machine.started_at > self.known.get(machine.address, 0):
                self.known[machine.address] = machine.started_at


class ReturnedLists:
    """Lays what was known before the present era over its lists.

    Without eras nothing is ever laid over a list. Times are monotonic seconds.

    Args:
        seconds: for how long what was known goes before what a new era's lists say.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._believed: dict[str, Machine] = {}
        self._era: int | None = None
        self._known: dict[str, _Known] = {}
        self._gone: dict[str, Machine] = {}
        """Machines that went off the list, by name, the latest last."""
        self._barred: dict[str, tuple[Machine, float]] = {}
        """Those of them that a new era may show again."""
        self._owners = AddressOwners()
        self.kept = 0
        """Machines that are believed in although the list lacks them."""

    def take(self, now: float, listed: MachineList) -> EraChange | None:
        """Take in a newer list; return what changed if its era is a new one."""
        names = {machine.name: machine for machine in listed.machines}
        era, before = era_of(listed.number), self._era
        self._era = era
        if before is None or era == before:
            self._note_listed(names)
            return None
        self._begin_era(now)
        known = {name: known.machine for name, known in self._known.items()}
        came_back = sum(self._is_barred(machine) for machine in listed.machines)
        self._note_listed(names)
        lost = [name for name in known.keys() - names.keys() if _is_backend(known[name])]
        kept = self._kept_of(names).keys() & set(lost)
        return EraChange(before, era, len(lost), len(kept), came_back)

    def _begin_era(self, now: float) -> None:
        until = now + self._seconds
        still_kept = {name: known for name, known in self._known.items() if not known.listed}
        self._known = {}
        for name, machine in self._believed.items():
            earlier = still_kept.get(name)
            self._known[name] = _Known(machine, earlier.until if earlier else until)
        self._barred = {
            name: (machine, until) for name, machine in self._gone.items() if _is_backend(machine)
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
        self._owners.note(names.values())

    def believed(self, now: float, listed: MachineList) -> MachineList:
        """Return the list with what is still held against it."""
        self._forget(now)
        names = {machine.name: machine for machine in listed.machines}
        result = listed
        self.kept = 0
        if self._known or self._barred or self._owners.known:
            current = {
                name: self._current(machine)
                for name, machine in names.items()
                if not self._is_barred(machine)
            }
            current = {
                name: machine
                for name, machine in current.items()
                if not self._owners.have_followed(machine)
            }
            kept = self._kept_of(names)
            self.kept = len(kept)
            machines = {**current, **kept}
            ordered = tuple(machines[name] for name in sorted(machines))
            result = MachineList(listed.number, ordered)
        self._remember(result.machines)
        return result

    def is_due(self, now: float) -> bool:
        """Tell whether something that is held against the list holds no longer."""
        moments = [known.until for known in self._known.values()]
        moments += [until for _, until in self._barred.values()]
        return self._owners.is_due(now) or any(until <= now for until in moments)

    def _forget(self, now: float) -> None:
        self._known = {name: known for name, known in self._known.items() if known.until > now}
        self._barred = {name: held for name, held in self._barred.items() if held[1] > now}
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
        while len(self._gone) > GONE_KEPT:
            del self._gone[next(iter(self._gone))]
        self._believed = current

    def _current(self, machine: Machine) -> Machine:
        """Return what is believed of a listed machine: no life before the one known."""
        known = self._known.get(machine.name)
        if known is None:
            return machine
        if machine.is_of_life_before(known.machine.started_at):
            return known.machine
        leaving = known.machine.state is MachineState.LEAVING
        if leaving and _incarnation(machine) == _incarnation(known.machine):
            return msgspec.structs.replace(machine, state=MachineState.LEAVING)
        return machine

    def _is_barred(self, machine: Machine) -> bool:
        """Tell whether it had left; an entry that was made anew is another."""
        held = self._barred.get(machine.name)
        return held is not None and _entry_of(held[0]) == _entry_of(machine)

    def _kept_of(self, names: dict[str, Machine]) -> dict[str, Machine]:
        """Return the known machines that the list lacks and that nobody has followed."""
        owners: dict[str, Machine] = {}
        for machine in names.values():
            is_gone = self._is_barred(machine) or self._owners.have_followed(machine)
            if _is_backend(machine) and not is_gone:
                owners[machine.address] = machine
        return {
            name: known.machine
            for name, known in self._known.items()
            if name not in names and not _is_followed(known.machine, owners)
        }


def _is_followed(machine: Machine, owners: dict[str, Machine]) -> bool:
    """Tell whether its address has another owner, of no earlier start."""
    owner = owners.get(machine.address) if _is_backend(machine) else None
    return owner is not None and not owner.is_of_life_before(machine.started_at)


def _is_backend(machine: Machine) -> bool:
    return machine.role is MachineRole.BACKEND


def _incarnation(machine: Machine) -> tuple[str, str, int]:
    return machine.address, machine.service, machine.started_at


def _entry_of(machine: Machine) -> tuple[object, ...]:
    return (*_incarnation(machine), machine.listed_at)
