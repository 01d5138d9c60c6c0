"""What one proxy knows of one back end."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Backend:
    """One incarnation of a back end: a machine's name at one address."""

    name: str
    service: str
    address: str
    """``ip:port``."""
    zone: str
    in_flight: int = 0
    """Requests of this proxy at the back end."""
    listed_live: bool = True
    said_leaving: bool = False
    """Sticky: a back end never takes a leaving back within one incarnation."""

    @property
    def leaving(self) -> bool:
        """Whether the back end gets no new work, by the list or by its own answers."""
        return self.said_leaving or not self.listed_live
