"""The back ends that have lived at the address beside a node, one after the other."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from pewtertack.core.machines import Machine, MachineState
from pewtertack.routing.admission import Admission
from pewtertack.routing.cold import ColdBounds, ColdStart
from pewtertack.routing.outcomes import (
    BackendGoneError,
    BackendLeftError,
    BackendUnlistedError,
    NotRunError,
)
from pewtertack.routing.policies import DEFAULT_POLICIES, Policies

DEFAULT_SLOTS = 6
"""Slots of a back end of which the machine list does not tell them yet."""
MAX_UNLISTED_NAMES = 256
"""Back ends that the newest list does not name and of which something is known. Senders may ask
for any name: without a bound each would take memory for good."""


class Incarnation(msgspec.Struct):
    """One back end that has lived at the address beside this node."""

    admission: Admission
    cold: ColdStart
    listed_cold: bool = False
    """Whether the newest list says that it is cold."""
    leaving: bool = False
    """Said to leave, or replaced at its address; for good."""
    listed: bool = True
    told: bool = False
    """Whether a list has named it."""
    ended: bool = False
    """Another life has begun under its name."""
    started_at: int = 0
    """Unix milliseconds of its start, 0 while unknown."""

    @property
    def takes_work(self) -> bool:
        """Whether requests may still be sent to it."""
        return self.listed and not self.leaving

    @property
    def evictable(self) -> bool:
        """Whether the newest list lacks it and nobody's request is here for it."""
        return not (self.told and self.listed) and self.admission.is_idle

    def hand_back_waiting(self) -> None:
        """Have what waits for a back end that takes no more work served elsewhere."""
        if not self.takes_work:
            self.admission.refuse_all(self.gone)

    def gone(self, wanted: int = 0) -> NotRunError:
        """Return the refusal of what no back end has seen, since this one takes no work.

        Of a life that began later, at ``wanted``, it says nothing for good. Nor does a list that
        lacks it: its entry goes while its heartbeats do not reach the store, and comes back then.
        """
        error = self._refusal_type(wanted)("the back end is leaving or gone")
        error.offered = False
        return error

    def _refusal_type(self, wanted: int) -> type[NotRunError]:
        of_later_life = 0 < self.started_at < wanted
        if self.leaving and not of_later_life:
            return BackendLeftError
        return BackendGoneError if self.leaving or self.ended else BackendUnlistedError


class Incarnations:
    """All of them by name; one that nobody has told of yet is made when it is asked for.

    Args:
        clock: monotonic time in seconds.
        policies: the way of each decision that has several.
    """

    def __init__(self, clock: Callable[[], float], policies: Policies = DEFAULT_POLICIES) -> None:
        self._clock = clock
        self._policies = policies
        self._bounds: ColdBounds | None = None
        self._known: dict[str, Incarnation] = {}

    def __len__(self) -> int:
        return len(self._known)

    def find(self, name: str) -> Incarnation | None:
        """Return the back end if anything is known of it."""
        return self._known.get(name)

    def get(self, name: str) -> Incarnation:
        """Return the back end, for which nothing has to be known yet."""
        found = self._known.get(name)
        if found is not None and not found.told:
            self._known[name] = self._known.pop(name)  # the last asked for is forgotten last
        if found is None:
            self._evict_idle()
            cold = ColdStart(DEFAULT_SLOTS, self._clock(), self._bounds)
            found = self._known[name] = Incarnation(
                Admission(DEFAULT_SLOTS, cold, self._policies), cold
            )
        return found

    def _evict_idle(self) -> None:
        """Forget whom no list names beyond those kept: first the one least lately asked for that
        no list has ever named.
        """
        if len(self._known) < MAX_UNLISTED_NAMES:
            return
        idle = [name for name, item in self._known.items() if item.evictable]
        idle.sort(key=lambda name: self._known[name].told)
        for name in idle[: max(0, len(idle) + 1 - MAX_UNLISTED_NAMES)]:
            del self._known[name]

    def apply_machine_list(self, listed: Mapping[str, Machine]) -> bool:
        """Learn from a newer list which live, leave or have gone.

        Return whether one of them has started again. What is said late of the life before
        changes nothing.
        """
        restarted = [name for name, machine in listed.items() if self._retire_previous(machine)]
        for name, incarnation in self._known.items():
            if name not in listed:
                incarnation.listed = False
        for name, machine in listed.items():
            self._learn(name, machine)
        for incarnation in self._known.values():
            incarnation.hand_back_waiting()
        return bool(restarted)

    def _retire_previous(self, machine: Machine) -> bool:
        """Forget a life that has ended: what waits is handed back, what runs there ends itself."""
        known = self._known.get(machine.name)
        if known is None or not machine.is_after_incarnation(known.started_at):
            return False
        known.listed = False
        known.ended = True
        known.hand_back_waiting()
        del self._known[machine.name]
        return True

    def _learn(self, name: str, machine: Machine) -> None:
        incarnation = self.get(name)
        if machine.is_before_incarnation(incarnation.started_at):
            return
        incarnation.listed = incarnation.told = True
        incarnation.started_at = machine.started_at or incarnation.started_at
        slots = machine.slots or DEFAULT_SLOTS
        incarnation.cold.slots = slots
        if machine.cold and not incarnation.listed_cold:
            incarnation.cold.forget(self._clock())
        incarnation.listed_cold = machine.cold
        incarnation.leaving |= machine.state is MachineState.LEAVING
        incarnation.hand_back_waiting()
        incarnation.admission.use_slots(slots, self._clock())

    def use_bounds(self, bounds: ColdBounds) -> None:
        """Bound those that are cold from now on."""
        self._bounds = bounds
        now = self._clock()
        for incarnation in self._known.values():
            incarnation.cold.use_bounds(bounds, now)

    def assume_cold(self) -> None:
        """Take all for cold until they say otherwise."""
        now = self._clock()
        for incarnation in self._known.values():
            incarnation.cold.forget(now)

    def cold_starts(self) -> list[ColdStart]:
        """Return what is known of the coldness of those that take work."""
        return [item.cold for item in self._known.values() if item.takes_work]

    def refuse_waiting(self, refusal_of: Callable[[], NotRunError]) -> None:
        """End the waiting of all requests, each with a refusal of its own."""
        for incarnation in self._known.values():
            incarnation.admission.refuse_all(refusal_of)
