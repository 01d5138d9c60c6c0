"""The body of the scenario in which random failures occur at any time, also concurrently."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from pewtertack.lab.backend.state import BackendFaults
from pewtertack.lab.platform.store import Availability, PlatformFaults
from pewtertack.lab.scenarios.context import ScenarioContext

STORM_SECONDS = 20.0
EDIT_INTERVAL_SECONDS = 1.0

Disturbance = Callable[[ScenarioContext], Awaitable[None]]


async def storm(context: ScenarioContext) -> None:
    """Random failures, up to three at a time, during edits; all have ended when the body ends."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(context.edit_for, STORM_SECONDS, EDIT_INTERVAL_SECONDS)
        tasks.start_soon(
            _disturb_for, context, STORM_SECONDS, (_cut_off_zone, _fail_source, _fail_machine_list)
        )
        tasks.start_soon(
            _disturb_for, context, STORM_SECONDS, (_kill_nodes, _pause_node, _stop_node)
        )
        tasks.start_soon(
            _disturb_for, context, STORM_SECONDS, (_pause_backend, _break_backend, _cross_responses)
        )
    await context.edit()
    await context.wait_for_newest()
    await context.fleet.wait_serving()


async def _disturb_for(
    context: ScenarioContext, seconds: float, disturbances: tuple[Disturbance, ...]
) -> None:
    """Run random disturbances one after another; the last one started is also ended."""
    with anyio.move_on_after(seconds):
        while True:
            with anyio.CancelScope(shield=True):
                await context.random.choice(disturbances)(context)
            await anyio.sleep(context.random.uniform(0.2, 1.5))


async def _cut_off_zone(context: ScenarioContext) -> None:
    await context.fleet.links.isolate_zone(context.random.choice(context.fleet.plan.shape.zones))
    await anyio.sleep(3.0)
    await context.fleet.links.heal()


async def _fail_source(context: ScenarioContext) -> None:
    stale = PlatformFaults(stale_number=max(1, context.newest_valid - 1))
    closed = PlatformFaults(availability=Availability.CLOSED)
    await context.fleet.platform.inject_source_faults(
        context.random.choice((stale, closed)), "failing"
    )
    await anyio.sleep(3.0)
    await context.fleet.platform.clear_source_faults()


async def _fail_machine_list(context: ScenarioContext) -> None:
    await context.fleet.platform.inject_machine_list_fault(Availability.UNAVAILABLE)
    await anyio.sleep(3.0)
    await context.fleet.platform.clear_machine_list_faults()


async def _kill_nodes(context: ScenarioContext) -> None:
    names = context.pick_nodes(3)
    await context.fleet.kill_nodes(names)
    await anyio.sleep(1.0)
    await context.fleet.start_nodes(names)


async def _pause_node(context: ScenarioContext) -> None:
    name = context.pick_nodes(1)[0]
    context.fleet.pause_node(name)
    await anyio.sleep(4.0)
    context.fleet.resume_node(name)


async def _stop_node(context: ScenarioContext) -> None:
    name = context.pick_nodes(1)[0]
    await context.fleet.stop_node(name)
    await context.fleet.start_nodes([name])


async def _pause_backend(context: ScenarioContext) -> None:
    name = context.pick_backends(1)[0]
    context.fleet.pause_backend_process(name)
    await anyio.sleep(3.0)
    context.fleet.resume_backend_process(name)


async def _break_backend(context: ScenarioContext) -> None:
    name = context.pick_backends(1)[0]
    faults = BackendFaults(die_mid_answer_share=0.3, shedding_share=0.3)
    await context.fleet.backends.inject_faults(name, faults, "breaks answers off and sheds")
    await anyio.sleep(2.0)
    await context.fleet.backends.clear_faults(name)


async def _cross_responses(context: ScenarioContext) -> None:
    name = context.pick_backends(1)[0]
    await context.fleet.backends.inject_faults(name, BackendFaults(crossed=True), "crosses answers")
    await anyio.sleep(2.0)
    await context.fleet.backends.clear_faults(name)
