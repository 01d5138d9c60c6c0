"""Latest known start time of the back end at each address, kept across a source restore."""

from __future__ import annotations

from collections.abc import Iterable

from pewtertack.core.machines import Machine


class AddressOwners:
    """Records the latest known start time per address, so that older incarnations are ignored.

    A restored copy of the source may list a back end whose address has since been taken over by
    another one. A node that started after the old back end stopped never saw its entry removed;
    all it can know is that a later incarnation has had the address.
    """

    __slots__ = ("_expires_at", "started_at_by_address")

    def __init__(self) -> None:
        self.started_at_by_address: dict[str, int] = {}
        """Start times as reported by the back ends, by address; empty after expiry."""
        self._expires_at = 0.0

    def start_era(self, expires_at: float, machines: Iterable[Machine]) -> None:
        """Replace the contents with what was known before a new era, valid until ``expires_at``."""
        self.started_at_by_address = {}
        self._expires_at = expires_at
        self._record(machines)

    def add_reported(self, expires_at: float, machines: Iterable[Machine]) -> None:
        """Add what a peer knew before the era; ``expires_at`` applies only if nothing was known."""
        if not self.started_at_by_address:
            self._expires_at = expires_at
        self._record(machines)

    def add_listed(self, machines: Iterable[Machine]) -> None:
        """Add what a machine list of the present era contains."""
        if self.started_at_by_address:
            self._record(machines)

    def is_superseded(self, machine: Machine) -> bool:
        """Tell whether a later incarnation than the machine's has used its address."""
        started_at = self.started_at_by_address.get(machine.address, 0)
        return machine.is_backend and machine.is_before_incarnation(started_at)

    def has_expired(self, now: float) -> bool:
        """Tell whether there are start times whose validity is over."""
        return bool(self.started_at_by_address) and self._expires_at <= now

    def clear(self) -> None:
        """Discard all start times."""
        self.started_at_by_address = {}

    def _record(self, machines: Iterable[Machine]) -> None:
        for machine in machines:
            if machine.is_backend and machine.started_at > self.started_at_by_address.get(
                machine.address, 0
            ):
                self.started_at_by_address[machine.address] = machine.started_at
