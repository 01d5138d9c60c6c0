"""The latest start known of a back end at each address, over a return of the source."""

from __future__ import annotations

from collections.abc import Iterable

from pewtertack.core.machines import Machine


class AddressOwners:
    """The latest start known of a back end at each address: no life before it comes back.

    A node that began after a life had ended knows only that another has followed.
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

    def hear(self, until: float, machines: Iterable[Machine]) -> None:
        """Take in what a peer knew before the era; the time is not extended."""
        if not self.known:
            self._until = until
        self._take(machines)

    def note(self, machines: Iterable[Machine]) -> None:
        """Take in what the present era lists."""
        if self.known:
            self._take(machines)

    def have_followed(self, machine: Machine) -> bool:
        """Tell whether a later life than the machine's has had its address."""
        started_at = self.known.get(machine.address, 0)
        return machine.is_backend and machine.is_before_incarnation(started_at)

    def is_due(self, now: float) -> bool:
        """Tell whether the time is over."""
        return bool(self.known) and self._until <= now

    def forget(self) -> None:
        """Forget the starts."""
        self.known = {}

    def _take(self, machines: Iterable[Machine]) -> None:
        for machine in machines:
            if machine.is_backend and machine.started_at > self.known.get(machine.address, 0):
                self.known[machine.address] = machine.started_at
