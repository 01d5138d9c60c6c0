"""Edits, faults of the platform's services, cuts between zones, and back ends that leave.

What a node must learn from the machine list in time shares a lane with the list's faults and
the cuts, so that the two never overlap.
"""

from __future__ import annotations

import random

import anyio

from pewtertack.lab.platform.store import Availability, PlatformFaults
from pewtertack.lab.relay.links import Link
from pewtertack.lab.soak.context import SoakContext
from pewtertack.lab.soak.faults import Lane, fault

SHORT, LONG = 1.0, 6.0
LEAVING_SEEN_SECONDS = 5.5
"""After so long a leaving back end gets nothing more."""
LEAVING_SECONDS = 8.0
"""Longer than a leaving back end may get new work."""
EVACUATED_SECONDS = 6.0
"""Long enough for all nodes to serve by it, and for some requests then."""
OLDER_SHARE = 0.5


async def _fail_source(
    soak: SoakContext, chooser: random.Random, faults: PlatformFaults, description: str
) -> None:
    await soak.fleet.platform.inject_source_faults(faults, description)
    await anyio.sleep(chooser.uniform(SHORT, LONG))
    await soak.fleet.platform.clear_source_faults()


@fault("source-closed", Lane.PLATFORM)
async def source_closed(soak: SoakContext, chooser: random.Random) -> None:
    """The source takes no connections."""
    await _fail_source(soak, chooser, PlatformFaults(availability=Availability.CLOSED), "closed")


@fault("source-unavailable", Lane.PLATFORM)
async def source_unavailable(soak: SoakContext, chooser: random.Random) -> None:
    """The source refuses every read."""
    await _fail_source(
        soak, chooser, PlatformFaults(availability=Availability.UNAVAILABLE), "unavailable"
    )


@fault("source-stale", Lane.PLATFORM)
async def source_stale(soak: SoakContext, chooser: random.Random) -> None:
    """The source shows nothing newer than an older edit."""
    stale = max(1, soak.scenario.newest_valid - chooser.randint(0, 2))
    await _fail_source(soak, chooser, PlatformFaults(stale_number=stale), "stale")


@fault("source-older", Lane.PLATFORM)
async def source_older(soak: SoakContext, chooser: random.Random) -> None:
    """The source gives the version before in half of its answers."""
    await _fail_source(soak, chooser, PlatformFaults(older_share=OLDER_SHARE), "older")


@fault("list-down", Lane.PLATFORM)
async def list_down(soak: SoakContext, chooser: random.Random) -> None:
    """The machine list cannot be read."""
    down = chooser.choice((Availability.CLOSED, Availability.UNAVAILABLE))
    await soak.fleet.platform.inject_machine_list_fault(down)
    await anyio.sleep(chooser.uniform(SHORT, LONG))
    await soak.fleet.platform.clear_machine_list_faults()


@fault("zones-apart", Lane.PLATFORM)
async def zones_apart(soak: SoakContext, chooser: random.Random) -> None:
    """Nodes of the two zones do not hear each other, one way or both ways."""
    first, second = chooser.sample(soak.fleet.plan.shape.zones, 2)
    links = [Link(first, second), Link(second, first)][: chooser.randint(1, 2)]
    await soak.fleet.links.cut(links)
    await anyio.sleep(chooser.uniform(SHORT, LONG))
    await soak.fleet.links.heal()


@fault("leaving", Lane.PLATFORM, weight=2.0)
async def leaving(soak: SoakContext, chooser: random.Random) -> None:
    """A back end is marked as leaving in the lagging list, and stays after all."""
    name = soak.some_backend(chooser)
    async with soak.learning:
        await soak.fleet.mark_backend_leaving(name)
        await anyio.sleep(LEAVING_SEEN_SECONDS)
    await anyio.sleep(LEAVING_SECONDS - LEAVING_SEEN_SECONDS)
    await soak.fleet.mark_backend_live(name)


@fault("edit", Lane.EDITS, weight=4.0)
async def edit(soak: SoakContext, chooser: random.Random) -> None:
    """An operator makes a good edit."""
    await soak.scenario.edit()


@fault("move-route", Lane.EDITS)
async def move_route(soak: SoakContext, chooser: random.Random) -> None:
    """An operator moves a route to the other service."""
    await soak.scenario.move_route()


@fault("evacuation", Lane.EDITS, weight=1.5)
async def evacuation(soak: SoakContext, chooser: random.Random) -> None:
    """An operator evacuates a zone for a while and takes it back."""
    zone = chooser.choice(soak.fleet.plan.shape.zones)
    await soak.scenario.evacuate(zone)
    await anyio.sleep(EVACUATED_SECONDS)
    await soak.scenario.end_evacuation(zone)


@fault("edit-badly", Lane.EDITS)
async def make_invalid_edit(soak: SoakContext, chooser: random.Random) -> None:
    """An operator makes an edit that must be rejected."""
    await soak.scenario.make_invalid_edit()
