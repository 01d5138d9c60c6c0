"""Simulated network links of machines, which transfer bytes in order at a limited rate; no I/O."""

from __future__ import annotations


class LinkDirection:
    """One direction of a machine's link. Times are in seconds.

    Args:
        rate: bytes per second.
    """

    __slots__ = ("_free_at", "_rate")

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._free_at = 0.0

    def send(self, now: float, size: int) -> tuple[float, float]:
        """Queue ``size`` bytes; return when sending begins and when it ends."""
        begins = max(now, self._free_at)
        self._free_at = begins + size / self._rate
        return begins, self._free_at


class MachineLinks:
    """The links of all machines, by machine name.

    Args:
        rate: bytes per second of each link in each direction; 0 for no limit.
    """

    __slots__ = ("_down", "_rate", "_up")

    def __init__(self, rate: float = 0.0) -> None:
        self._rate = rate
        self._up: dict[str, LinkDirection] = {}
        self._down: dict[str, LinkDirection] = {}

    @property
    def has_rate_limit(self) -> bool:
        """Whether the rate of the links is limited."""
        return self._rate > 0

    def transfer(
        self, now: float, sender: str, target: str, size: int, delay: float = 0.0
    ) -> float:
        """Queue ``size`` bytes from one machine to another; return when all have arrived.

        The target's link receives bytes while the sender's link still sends, so an idle link adds
        no time of its own. ``delay`` is the latency of a byte between the two links.
        """
        if not self.has_rate_limit:
            return now + delay
        begins, sent = self._direction(self._up, sender).send(now, size)
        _, received = self._direction(self._down, target).send(begins + delay, size)
        return max(sent + delay, received)

    def _direction(self, directions: dict[str, LinkDirection], name: str) -> LinkDirection:
        return directions.setdefault(name, LinkDirection(self._rate))
