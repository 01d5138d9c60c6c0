"""Bodies of the scenarios about versions, membership and spread."""

from __future__ import annotations

import anyio

from pewtertack.lab.errors import NumberConflictError
from pewtertack.lab.platform.store import Availability, PlatformFaults
from pewtertack.lab.relay.links import Link
from pewtertack.lab.scenarios.context import ScenarioContext

EDIT_PAUSE = 0.7
PAUSED_SECONDS = 6.0
"""Longer than the gap by which a node finds that it was paused."""
CUT_SECONDS = 6.0
DEAD_SECONDS = 1.5
HOLDING_SECONDS = 3.0
STALE_SECONDS = 8.0
OUTAGE_SECONDS = 5.0
LAG_SECONDS = 1.0
RACES = 5
QUIET_SECONDS = 15.0


async def quiet(context: ScenarioContext) -> None:
    """One edit and then none: what the nodes send each other all the time."""
    await context.edit()
    await context.wait_for_newest()
    await anyio.sleep(QUIET_SECONDS)


async def steady_edits(context: ScenarioContext) -> None:
    """Edits now and then, and two operators in a race."""
    await context.edit_for(8.0, EDIT_PAUSE)
    for _ in range(RACES):
        await _race(context)
        await context.wait_for_newest()


async def _race(context: ScenarioContext) -> None:
    """Let two operators edit the same number; one must get a conflict."""
    conflicts: list[NumberConflictError] = []
    number = context.newest_valid

    async def operate() -> None:
        try:
            edit = await context.fleet.platform.put_tree(
                context.editor.make_valid_edit(), expected=number
            )
        except NumberConflictError as error:
            conflicts.append(error)
        else:
            context.newest_valid = edit.revision

    async with anyio.create_task_group() as operators:
        operators.start_soon(operate)
        operators.start_soon(operate)
    context.expect(len(conflicts) == 1, f"{len(conflicts)} conflicts in a race of two operators")


async def herd_killed(context: ScenarioContext) -> None:
    """Half of the fleet is killed and replaced under the same names, twice, under edits."""
    for _ in range(2):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(context.edit_for, DEAD_SECONDS + 3.0, EDIT_PAUSE)
            await anyio.sleep(1.0)
            await _replace(context, context.half_of_the_nodes())
        await context.wait_for_newest()
    counters = await context.fleet.platform.source_counters()
    context.expect(counters.peak_readers <= 16, f"{counters.peak_readers} readers at once")


async def _replace(context: ScenarioContext, names: list[str]) -> None:
    fleet = context.fleet
    await fleet.kill_nodes(names)
    await anyio.sleep(DEAD_SECONDS)
    await fleet.start_nodes(names)
    await fleet.wait_serving(names)


async def nodes_paused(context: ScenarioContext) -> None:
    """Nodes are paused across edits and wake up late, twice."""
    for _ in range(2):
        paused = context.some_nodes(2)
        for name in paused:
            context.fleet.pause_node(name)
        await context.edit_for(PAUSED_SECONDS, EDIT_PAUSE)
        for name in paused:
            context.fleet.resume_node(name)
        await context.wait_for_newest()
        await context.fleet.wait_serving(paused)


async def holders_killed(context: ScenarioContext) -> None:
    """All that hold a new edit die while the rest is paused; the source answers stale."""
    fleet = context.fleet
    zone = context.random.choice(fleet.plan.shape.zones)
    holders = [name for name, node in fleet.plan.nodes.items() if node.zone == zone]
    others = [name for name in fleet.plan.nodes if name not in holders]
    await context.edit()
    await context.wait_for_newest()
    before = context.newest_valid
    for name in others:
        fleet.pause_node(name)
    await context.edit()
    await anyio.sleep(HOLDING_SECONDS)
    await fleet.platform.inject_source_faults(PlatformFaults(stale_number=before), "stale")
    await fleet.kill_nodes(holders)
    for name in others:
        fleet.resume_node(name)
    await fleet.start_nodes(holders)
    await fleet.wait_serving()
    await anyio.sleep(STALE_SECONDS)
    await fleet.platform.clear_source_faults()
    await context.wait_for_newest()


async def zone_cut_off(context: ScenarioContext) -> None:
    """A zone is cut off from all others under edits, then the cut heals."""
    zone = context.random.choice(context.fleet.plan.shape.zones)
    await context.edit()
    await context.wait_for_newest()
    await context.fleet.links.isolate_zone(zone)
    await context.edit_for(CUT_SECONDS, EDIT_PAUSE)
    await context.fleet.links.heal()
    await context.wait_for_newest()
    await context.edit()
    await context.wait_for_newest()


async def one_way_cut(context: ScenarioContext) -> None:
    """A zone hears the others but is not heard; then links lose and delay datagrams."""
    zones = context.fleet.plan.shape.zones
    mute = context.random.choice(zones)
    await context.fleet.links.cut([Link(mute, other) for other in zones if other != mute])
    await context.edit_for(CUT_SECONDS, EDIT_PAUSE)
    await context.fleet.links.heal()
    await context.wait_for_newest()
    await context.fleet.links.impair(delay=0.05, loss=0.2)
    await context.edit_for(CUT_SECONDS, EDIT_PAUSE)
    await context.wait_for_newest()
    await context.fleet.links.heal()


async def source_down(context: ScenarioContext) -> None:
    """The source is down from the start of the callers to the end; half are replaced."""
    await context.edit()
    await context.wait_for_newest()
    closed = PlatformFaults(availability=Availability.CLOSED)
    await context.fleet.platform.inject_source_faults(closed, "closed")
    await _replace(context, context.half_of_the_nodes())
    await context.wait_for_newest()
    await _replace(context, context.half_of_the_nodes())
    await context.wait_for_newest()


async def source_stale(context: ScenarioContext) -> None:
    """The source answers older versions, now and then and then always, while nodes die."""
    await context.edit_for(3.0, EDIT_PAUSE)
    await context.fleet.platform.inject_source_faults(PlatformFaults(older_share=0.5), "older")
    await context.edit_for(3.0, EDIT_PAUSE)
    await context.wait_for_newest()
    stale = PlatformFaults(stale_number=max(1, context.newest_valid - 2))
    await context.fleet.platform.inject_source_faults(stale, "stale")
    await _replace(context, context.half_of_the_nodes())
    await context.wait_for_newest()
    await anyio.sleep(OUTAGE_SECONDS)
    await context.fleet.platform.clear_source_faults()
    await context.edit()
    await context.wait_for_newest()


async def source_crowded(context: ScenarioContext) -> None:
    """The source takes a few readers at once only, then shows edits late as well."""
    await context.edit_for(OUTAGE_SECONDS, EDIT_PAUSE)
    await context.wait_for_newest()
    await context.fleet.platform.inject_source_faults(PlatformFaults(lag=LAG_SECONDS), "lagging")
    await context.edit_for(OUTAGE_SECONDS, EDIT_PAUSE)
    await context.wait_for_newest()
    await context.fleet.platform.clear_source_faults()
    counters = await context.fleet.platform.source_counters()
    context.expect(counters.refused > 0, "the source refused no reader")


async def machine_list_down(context: ScenarioContext) -> None:
    """The machine list is down while half of the fleet is replaced under edits."""
    await context.fleet.platform.inject_machine_list_fault(Availability.CLOSED)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(context.edit_for, OUTAGE_SECONDS, EDIT_PAUSE)
        await _replace(context, context.half_of_the_nodes())
    await context.wait_for_newest()
    await context.fleet.platform.clear_machine_list_faults()
    await context.edit()
    await context.wait_for_newest()


async def bad_revisions(context: ScenarioContext) -> None:
    """Bad edits between good ones; half of the fleet is replaced while a bad one is newest."""
    for _ in range(3):
        await context.edit()
        await context.make_invalid_edit()
        await context.edit()
        await context.wait_for_newest()
    await context.make_invalid_edit()
    await _replace(context, context.half_of_the_nodes())
    await context.wait_for_newest()
