"""Controls cuts, delay and loss of the links between zones."""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import dataclass

from pewtertack.lab.fleet.control import ControlClient
from pewtertack.lab.fleet.history import HistoryRecorder
from pewtertack.lab.fleet.plan import FleetPlan
from pewtertack.lab.records import Cut, Heal
from pewtertack.lab.relay.links import Link, LinkSettings


@dataclass(frozen=True, slots=True)
class LinkControl:
    """Sets the state of the relay's links and records cuts in the history."""

    plan: FleetPlan
    client: ControlClient
    recorder: HistoryRecorder

    async def isolate_zone(self, zone: str) -> None:
        """Cut the links between a zone and all others in both directions."""
        others = [other for other in self.plan.shape.zones if other != zone]
        outward = [Link(zone, other) for other in others]
        inward = [Link(other, zone) for other in others]
        await self.cut((*outward, *inward))

    async def cut(self, links: Iterable[Link]) -> None:
        """Cut these links, each in one direction, and heal all others."""
        cut_links = tuple(links)
        for link in cut_links:
            self.recorder.record(
                Cut(time=time.time(), from_zone=link.from_zone, to_zone=link.to_zone)
            )
        await self._set_links(LinkSettings(cuts=cut_links))

    async def impair(self, delay: float, loss: float) -> None:
        """Delay traffic between zones by ``delay`` seconds; lose a fraction of its datagrams."""
        await self._set_links(LinkSettings(delay=delay, loss=loss))

    async def heal(self) -> None:
        """Remove all cuts, delay and loss."""
        await self._set_links(LinkSettings())
        self.recorder.record(Heal(time=time.time()))

    async def _set_links(self, settings: LinkSettings) -> None:
        await self.client.request("PUT", self.plan.relay_control, "/links", settings)
