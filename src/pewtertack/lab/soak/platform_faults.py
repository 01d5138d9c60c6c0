"""Edits, faults of the platform's services, cuts between zones, and leaving back ends.

Back ends leave in the same lane as the faults of the machine list and the cuts, so that these never
overlap: nodes must read in time from the list that a back end leaves.
"""

from __future__ import annotations

import random

import anyio

from pewtertack.lab.platform.store import Availability, PlatformFaults
from pewtertack.lab.relay.links import Link
from pewtertack.lab.soak.context import SoakContext
from pewtertack.lab.soak.faults import Lane, fault

MIN_FAULT_SECONDS, MAX_FAULT_SECONDS = 1.0, 6.0
LEAVING_READ_SECONDS = 5.5
"""Time after which a leaving back end must get no new requests."""
LEAVING_SECONDS = 8.0
"""Time for which a back end is marked as leaving, longer than it may get new requests."""
EVACUATED_SECONDS = 6.0
"""Long enough for the evacuation to be in force on all nodes and for some requests after that."""
OLDER_SHARE = 0.5


async def _inject_source_faults(
    soak: SoakContext, chooser: random.Random, faults: PlatformFaults, description: str
) -> None:
    await soak.fleet.platform.inject_source_faults(faults, description)
    await anyio.sleep(chooser.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS))
    await soak.fleet.platform.clear_source_faults()


@fault("source-closed", Lane.PLATFORM)
async def source_closed(soak: SoakContext, chooser: random.Random) -> None:
    """The source refuses connections."""
    await _inject_source_faults(
        soak, chooser, PlatformFaults(availability=Availability.CLOSED), "closed"
    )


@fault("source-unavailable", Lane.PLATFORM)
async def source_unavailable(soak: SoakContext, chooser: random.Random) -> None:
    """The source refuses every read."""
    await _inject_source_faults(
        soak, chooser, PlatformFaults(availability=Availability.UNAVAILABLE), "unavailable"
    )


@fault("source-stale", Lane.PLATFORM)
async def source_stale(soak: SoakContext, chooser: random.Random) -> None:
    """The source hides the edits after an older one."""
    stale_number = max(1, soak.scenario.newest_valid - chooser.randint(0, 2))
    await _inject_source_faults(soak, chooser, PlatformFaults(stale_number=stale_number), "stale")


@fault("source-older", Lane.PLATFORM)
async def source_older(soak: SoakContext, chooser: random.Random) -> None:
    """The source returns the previous version in half of its responses."""
    await _inject_source_faults(soak, chooser, PlatformFaults(older_share=OLDER_SHARE), "older")


@fault("list-down", Lane.PLATFORM)
async def list_down(soak: SoakContext, chooser: random.Random) -> None:
    """The machine list cannot be read."""
    availability = chooser.choice((Availability.CLOSED, Availability.UNAVAILABLE))
    await soak.fleet.platform.inject_machine_list_fault(availability)
    await anyio.sleep(chooser.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS))
    await soak.fleet.platform.clear_machine_list_faults()


@fault("zones-apart", Lane.PLATFORM)
async def zones_apart(soak: SoakContext, chooser: random.Random) -> None:
    """The links between the two zones are cut in one or both directions."""
    first, second = chooser.sample(soak.fleet.plan.shape.zones, 2)
    links = [Link(first, second), Link(second, first)][: chooser.randint(1, 2)]
    await soak.fleet.links.cut(links)
    await anyio.sleep(chooser.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS))
    await soak.fleet.links.heal()


@fault("leaving", Lane.PLATFORM, weight=2.0)
async def leaving(soak: SoakContext, chooser: random.Random) -> None:
    """A back end is marked as leaving in the lagging machine list, then as live again."""
    name = soak.choose_backend(chooser)
    async with soak.restore_lock:
        await soak.fleet.mark_backend_leaving(name)
        await anyio.sleep(LEAVING_READ_SECONDS)
    await anyio.sleep(LEAVING_SECONDS - LEAVING_READ_SECONDS)
    await soak.fleet.mark_backend_live(name)


@fault("edit", Lane.EDITS, weight=4.0)
async def edit(soak: SoakContext, _chooser: random.Random) -> None:
    """An operator makes a valid edit."""
    await soak.scenario.edit()


@fault("move-route", Lane.EDITS)
async def move_route(soak: SoakContext, _chooser: random.Random) -> None:
    """An operator moves a route to the other service."""
    await soak.scenario.move_route()


@fault("evacuation", Lane.EDITS, weight=1.5)
async def evacuation(soak: SoakContext, chooser: random.Random) -> None:
    """An operator evacuates a zone for a while."""
    zone = chooser.choice(soak.fleet.plan.shape.zones)
    await soak.scenario.evacuate(zone)
    await anyio.sleep(EVACUATED_SECONDS)
    await soak.scenario.end_evacuation(zone)


@fault("edit-badly", Lane.EDITS)
async def make_invalid_edit(soak: SoakContext, _chooser: random.Random) -> None:
    """An operator makes an edit that must be rejected."""
    await soak.scenario.make_invalid_edit()
