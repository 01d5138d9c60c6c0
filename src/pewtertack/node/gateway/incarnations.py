"""The incarnations of back ends that have run at a node's local back-end address."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

import msgspec

from pewtertack.core.machines import Machine, MachineState
from pewtertack.routing.admission import Admission
from pewtertack.routing.cold import WINDOW_SECONDS, ColdBounds, ColdStart
from pewtertack.routing.outcomes import (
    BackendGoneError,
    BackendLeftError,
    BackendUnlistedError,
    NotRunError,
)
from pewtertack.routing.policies import DEFAULT_POLICIES, Policies

DEFAULT_SLOTS = 6
"""Slots of a back end whose number the machine list does not report yet."""
MAX_UNLISTED_NAMES = 256
"""Limit on remembered back ends that the newest machine list does not contain. Senders may request
any name, and without a limit each name would occupy memory forever."""


class Incarnation(msgspec.Struct):
    """One back end that runs, or has run, at the local address."""

    admission: Admission
    cold: ColdStart
    listed_cold: bool = False
    """Whether the newest machine list marks it as cold."""
    leaving: bool = False
    """Whether it was reported as leaving or was replaced at its address; never reset."""
    listed: bool = True
    """Whether the newest machine list contains it; true until a list says otherwise."""
    ever_listed: bool = False
    """Whether any machine list has contained it."""
    superseded: bool = False
    """Whether a later incarnation has started under its name."""
    invalid_rate: str = ""
    """What was wrong with the limit that its latest answer names; empty if nothing."""
    started_at: int = 0
    """Start time in Unix milliseconds, 0 while unknown."""

    @property
    def takes_work(self) -> bool:
        """Whether requests may be sent to it."""
        return self.listed and not self.leaving

    @property
    def evictable(self) -> bool:
        """Whether it is not in the newest list and no request for it is at this gateway."""
        return not (self.ever_listed and self.listed) and self.admission.is_idle

    def hand_back_waiting(self) -> None:
        """Refuse waiting requests if the back end takes no more work; senders try elsewhere."""
        if not self.takes_work:
            self.admission.refuse_all(self.refusal)

    def refusal(self, wanted_start: int = 0) -> NotRunError:
        """Return the refusal of a request that did not run because this back end takes no work.

        The refusal is not a permanent one if the sender meant a later incarnation, started at
        ``wanted_start``, or if the entry is only missing from the list: an entry lapses while the
        back end's heartbeats do not reach the store, and returns with them.
        """
        error = self._refusal_type(wanted_start)("the back end is leaving or gone")
        error.reached_backend = False
        return error

    def _refusal_type(self, wanted_start: int) -> type[NotRunError]:
        wanted_is_later = 0 < self.started_at < wanted_start
        if self.leaving and not wanted_is_later:
            return BackendLeftError
        return BackendGoneError if self.leaving or self.superseded else BackendUnlistedError


class Incarnations:
    """All known incarnations by name; unknown ones are created when they are requested.

    Args:
        clock: monotonic time in seconds.
        policies: the policy for each configurable decision.
        follows_another: whether an earlier process of the node may have sent requests until now.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        policies: Policies = DEFAULT_POLICIES,
        follows_another: bool = False,
    ) -> None:
        self._clock = clock
        self._cold_blocked_until = clock() + WINDOW_SECONDS if follows_another else -math.inf
        self._policies = policies
        self._bounds: ColdBounds | None = None
        self._by_name: dict[str, Incarnation] = {}

    def __len__(self) -> int:
        return len(self._by_name)

    def find(self, name: str) -> Incarnation | None:
        """Return the incarnation, or ``None`` if the name is unknown."""
        return self._by_name.get(name)

    def get(self, name: str) -> Incarnation:
        """Return the incarnation; create it if the name is unknown."""
        found = self._by_name.get(name)
        if found is not None and not found.ever_listed:
            # The most recently requested names are evicted last.
            self._by_name[name] = self._by_name.pop(name)
        if found is None:
            self._evict_idle()
            cold = ColdStart(DEFAULT_SLOTS, self._clock(), self._bounds, self._cold_blocked_until)
            found = self._by_name[name] = Incarnation(
                Admission(DEFAULT_SLOTS, cold, self._policies), cold
            )
        return found

    def _evict_idle(self) -> None:
        """Evict unlisted names above the limit.

        Names that no list has ever contained go first, in order of their last request.
        """
        if len(self._by_name) < MAX_UNLISTED_NAMES:
            return
        evictable_names = [name for name, item in self._by_name.items() if item.evictable]
        evictable_names.sort(key=lambda name: self._by_name[name].ever_listed)
        for name in evictable_names[: max(0, len(evictable_names) + 1 - MAX_UNLISTED_NAMES)]:
            del self._by_name[name]

    def apply_machine_list(self, listed: Mapping[str, Machine]) -> bool:
        """Update the incarnations from a newer machine list.

        Return whether one of them has restarted. Late entries of an earlier incarnation are
        ignored.
        """
        restarted = [name for name, machine in listed.items() if self._retire_previous(machine)]
        for name, incarnation in self._by_name.items():
            if name not in listed:
                incarnation.listed = False
        for name, machine in listed.items():
            self._update(name, machine)
        for incarnation in self._by_name.values():
            incarnation.hand_back_waiting()
        return bool(restarted)

    def _retire_previous(self, machine: Machine) -> bool:
        """Drop an incarnation that has been superseded by ``machine``.

        Its waiting requests are handed back; running ones end by themselves.
        """
        previous = self._by_name.get(machine.name)
        if previous is None or not machine.is_after_incarnation(previous.started_at):
            return False
        previous.listed = False
        previous.superseded = True
        previous.hand_back_waiting()
        del self._by_name[machine.name]
        return True

    def _update(self, name: str, machine: Machine) -> None:
        incarnation = self.get(name)
        if machine.is_before_incarnation(incarnation.started_at):
            return
        incarnation.listed = incarnation.ever_listed = True
        incarnation.started_at = machine.started_at or incarnation.started_at
        slots = machine.slots or DEFAULT_SLOTS
        incarnation.cold.slots = slots
        if machine.cold and not incarnation.listed_cold:
            incarnation.cold.assume_cold(self._clock())
        incarnation.listed_cold = machine.cold
        incarnation.leaving |= machine.state is MachineState.LEAVING
        incarnation.hand_back_waiting()
        incarnation.admission.use_slots(slots, self._clock())

    def use_bounds(self, bounds: ColdBounds) -> None:
        """Set the limits for cold back ends."""
        self._bounds = bounds
        now = self._clock()
        for incarnation in self._by_name.values():
            incarnation.cold.set_bounds(bounds, now)

    def assume_cold(self) -> None:
        """Treat all back ends as cold until they report otherwise."""
        now = self._clock()
        for incarnation in self._by_name.values():
            incarnation.cold.assume_cold(now)

    def accepting(self) -> list[tuple[str, Incarnation]]:
        """Return the incarnations that take work, with their names."""
        return [(name, item) for name, item in self._by_name.items() if item.takes_work]

    def named_rates(self) -> list[tuple[str, float]]:
        """Return name and limit of the back ends that name a limit."""
        rates = ((name, item.admission.rate_limit.rate) for name, item in self._by_name.items())
        return [(name, rate) for name, rate in rates if rate is not None]

    def refuse_waiting(self, refusal_of: Callable[[], NotRunError]) -> None:
        """Refuse all waiting requests, each with an error of its own."""
        for incarnation in self._by_name.values():
            incarnation.admission.refuse_all(refusal_of)
