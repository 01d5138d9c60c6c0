"""Cuts, delay and loss of the links between zones."""

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
    """Sets the relay's links."""

    plan: FleetPlan
    client: ControlClient
    recorder: HistoryRecorder

    async def isolate_zone(self, zone: str) -> None:
        """Cut a zone off from all others, both ways."""
        others = [other for other in self.plan.shape.zones if other != zone]
        outward = [Link(zone, other) for other in others]
        inward = [Link(other, zone) for other in others]
        await self.cut((*outward, *inward))

    async def cut(self, links: Iterable[Link]) -> None:
        """Cut exactly these links, each one way."""
        cuts = tuple(links)
        for link in cuts:
            self.recorder.record(
                Cut(time=time.time(), from_zone=link.from_zone, to_zone=link.to_zone)
            )
        await self._set(LinkSettings(cuts=cuts))

    async def impair(self, delay: float, loss: float) -> None:
        """Delay all traffic between zones by ``delay`` seconds and lose a share of datagrams."""
        await self._set(LinkSettings(delay=delay, loss=loss))

    async def heal(self) -> None:
        """Let all traffic pass."""
        await self._set(LinkSettings())
        self.recorder.record(Heal(time=time.time()))

    async def _set(self, settings: LinkSettings) -> None:
        await self.client.request("PUT", self.plan.relay_control, "/links", settings)
