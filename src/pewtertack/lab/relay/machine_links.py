"""The lines of machines' links: each way, one thing after the other at a rate; no I/O."""

from __future__ import annotations


class LinkDirection:
    """One direction of a machine's link. Times are seconds.

    Args:
        rate: bytes a second.
    """

    __slots__ = ("_free_at", "_rate")

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._free_at = 0.0

    def send(self, now: float, size: int) -> tuple[float, float]:
        """Take in ``size`` bytes; return when the first of them leaves and the last has left."""
        begins = max(now, self._free_at)
        self._free_at = begins + size / self._rate
        return begins, self._free_at


class MachineLinks:
    """The lines of all machines, by name.

    Args:
        rate: bytes a second of each, each way; 0 for no bound.
    """

    __slots__ = ("_down", "_rate", "_up")

    def __init__(self, rate: float = 0.0) -> None:
        self._rate = rate
        self._up: dict[str, LinkDirection] = {}
        self._down: dict[str, LinkDirection] = {}

    @property
    def has_rate_limit(self) -> bool:
        """Whether there is a rate."""
        return self._rate > 0

    def transfer(
        self, now: float, sender: str, target: str, size: int, delay: float = 0.0
    ) -> float:
        """Take in ``size`` bytes from one machine to another; return when all have arrived.

        Bytes pass from line to line as they come: an idle line adds no time of its own.
        ``delay`` is the time that one byte takes between them.
        """
        if not self.has_rate_limit:
            return now + delay
        begins, sent = self._line(self._up, sender).send(now, size)
        _, received = self._line(self._down, target).send(begins + delay, size)
        return max(sent + delay, received)

    def _line(self, lines: dict[str, LinkDirection], name: str) -> LinkDirection:
        return lines.setdefault(name, LinkDirection(self._rate))
