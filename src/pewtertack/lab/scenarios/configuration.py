"""Bodies of the scenarios about revisions, membership and dissemination."""

from __future__ import annotations

import anyio

from pewtertack.lab.errors import NumberConflictError
from pewtertack.lab.platform.store import Availability, PlatformFaults
from pewtertack.lab.relay.links import Link
from pewtertack.lab.scenarios.context import ScenarioContext

EDIT_INTERVAL_SECONDS = 0.7
PAUSED_SECONDS = 6.0
"""Longer than the clock gap from which a node detects that it was paused."""
CUT_SECONDS = 6.0
REPLACEMENT_DELAY_SECONDS = 1.5
EDIT_SPREAD_SECONDS = 3.0
STALE_SECONDS = 8.0
OUTAGE_SECONDS = 5.0
SOURCE_LAG_SECONDS = 1.0
CONCURRENT_EDIT_ROUNDS = 5
QUIET_SECONDS = 15.0


async def quiet(context: ScenarioContext) -> None:
    """One edit, then idle nodes, to measure the traffic between them without edits."""
    await context.edit()
    await context.wait_for_newest()
    await anyio.sleep(QUIET_SECONDS)


async def steady_edits(context: ScenarioContext) -> None:
    """A sequence of edits, then concurrent edits by two operators."""
    await context.edit_for(8.0, EDIT_INTERVAL_SECONDS)
    for _ in range(CONCURRENT_EDIT_ROUNDS):
        await _edit_concurrently(context)
        await context.wait_for_newest()


async def _edit_concurrently(context: ScenarioContext) -> None:
    """Let two operators edit the same revision concurrently; one edit must conflict."""
    conflicts: list[NumberConflictError] = []
    number = context.newest_valid

    async def edit_tree() -> None:
        try:
            edit = await context.fleet.platform.put_tree(
                context.editor.make_valid_edit(), expected=number
            )
        except NumberConflictError as error:
            conflicts.append(error)
        else:
            context.newest_valid = edit.revision

    async with anyio.create_task_group() as operators:
        operators.start_soon(edit_tree)
        operators.start_soon(edit_tree)
    context.expect(len(conflicts) == 1, f"{len(conflicts)} conflicts between two concurrent edits")


async def herd_killed(context: ScenarioContext) -> None:
    """Half of the fleet is killed and replaced under the same names, twice, during edits."""
    for _ in range(2):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                context.edit_for, REPLACEMENT_DELAY_SECONDS + 3.0, EDIT_INTERVAL_SECONDS
            )
            await anyio.sleep(1.0)
            await _replace(context, context.pick_half_of_nodes())
        await context.wait_for_newest()
    counters = await context.fleet.platform.source_counters()
    context.expect(counters.peak_readers <= 16, f"{counters.peak_readers} concurrent readers")


async def _replace(context: ScenarioContext, names: list[str]) -> None:
    fleet = context.fleet
    await fleet.kill_nodes(names)
    await anyio.sleep(REPLACEMENT_DELAY_SECONDS)
    await fleet.start_nodes(names)
    await fleet.wait_serving(names)


async def nodes_paused(context: ScenarioContext) -> None:
    """Nodes are paused during edits and resumed late, twice."""
    for _ in range(2):
        paused = context.pick_nodes(2)
        for name in paused:
            context.fleet.pause_node(name)
        await context.edit_for(PAUSED_SECONDS, EDIT_INTERVAL_SECONDS)
        for name in paused:
            context.fleet.resume_node(name)
        await context.wait_for_newest()
        await context.fleet.wait_serving(paused)


async def holders_killed(context: ScenarioContext) -> None:
    """All holders of a new edit are killed while the others are paused; the source is stale."""
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
    await anyio.sleep(EDIT_SPREAD_SECONDS)
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
    """A zone is cut off from all others during edits, then the links are restored."""
    zone = context.random.choice(context.fleet.plan.shape.zones)
    await context.edit()
    await context.wait_for_newest()
    await context.fleet.links.isolate_zone(zone)
    await context.edit_for(CUT_SECONDS, EDIT_INTERVAL_SECONDS)
    await context.fleet.links.heal()
    await context.wait_for_newest()
    await context.edit()
    await context.wait_for_newest()


async def one_way_cut(context: ScenarioContext) -> None:
    """A zone receives messages but cannot send any; then links lose and delay datagrams."""
    zones = context.fleet.plan.shape.zones
    silent_zone = context.random.choice(zones)
    await context.fleet.links.cut(
        [Link(silent_zone, other) for other in zones if other != silent_zone]
    )
    await context.edit_for(CUT_SECONDS, EDIT_INTERVAL_SECONDS)
    await context.fleet.links.heal()
    await context.wait_for_newest()
    await context.fleet.links.impair(delay=0.05, loss=0.2)
    await context.edit_for(CUT_SECONDS, EDIT_INTERVAL_SECONDS)
    await context.wait_for_newest()
    await context.fleet.links.heal()


async def source_down(context: ScenarioContext) -> None:
    """The source stays down until the end while half of the fleet is replaced, twice."""
    await context.edit()
    await context.wait_for_newest()
    closed = PlatformFaults(availability=Availability.CLOSED)
    await context.fleet.platform.inject_source_faults(closed, "closed")
    await _replace(context, context.pick_half_of_nodes())
    await context.wait_for_newest()
    await _replace(context, context.pick_half_of_nodes())
    await context.wait_for_newest()


async def source_stale(context: ScenarioContext) -> None:
    """The source returns older revisions, first at times, then always, while nodes are killed."""
    await context.edit_for(3.0, EDIT_INTERVAL_SECONDS)
    await context.fleet.platform.inject_source_faults(PlatformFaults(older_share=0.5), "older")
    await context.edit_for(3.0, EDIT_INTERVAL_SECONDS)
    await context.wait_for_newest()
    stale = PlatformFaults(stale_number=max(1, context.newest_valid - 2))
    await context.fleet.platform.inject_source_faults(stale, "stale")
    await _replace(context, context.pick_half_of_nodes())
    await context.wait_for_newest()
    await anyio.sleep(OUTAGE_SECONDS)
    await context.fleet.platform.clear_source_faults()
    await context.edit()
    await context.wait_for_newest()


async def source_crowded(context: ScenarioContext) -> None:
    """The source admits only a few concurrent readers, then also shows edits late."""
    await context.edit_for(OUTAGE_SECONDS, EDIT_INTERVAL_SECONDS)
    await context.wait_for_newest()
    await context.fleet.platform.inject_source_faults(
        PlatformFaults(lag=SOURCE_LAG_SECONDS), "lagging"
    )
    await context.edit_for(OUTAGE_SECONDS, EDIT_INTERVAL_SECONDS)
    await context.wait_for_newest()
    await context.fleet.platform.clear_source_faults()
    counters = await context.fleet.platform.source_counters()
    context.expect(counters.refused > 0, "the source refused no reader")


async def machine_list_down(context: ScenarioContext) -> None:
    """The machine list service is down while half of the fleet is replaced during edits."""
    await context.fleet.platform.inject_machine_list_fault(Availability.CLOSED)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(context.edit_for, OUTAGE_SECONDS, EDIT_INTERVAL_SECONDS)
        await _replace(context, context.pick_half_of_nodes())
    await context.wait_for_newest()
    await context.fleet.platform.clear_machine_list_faults()
    await context.edit()
    await context.wait_for_newest()


async def bad_revisions(context: ScenarioContext) -> None:
    """Invalid edits between valid ones; half of the fleet is replaced while one is the newest."""
    for _ in range(3):
        await context.edit()
        await context.make_invalid_edit()
        await context.edit()
        await context.wait_for_newest()
    await context.make_invalid_edit()
    await _replace(context, context.pick_half_of_nodes())
    await context.wait_for_newest()
