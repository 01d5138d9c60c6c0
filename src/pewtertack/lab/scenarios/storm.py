"""The body of the scenario in which any failure may come at any moment, also together."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from pewtertack.lab.backend.state import BackendFaults
from pewtertack.lab.platform.store import Availability, PlatformFaults
from pewtertack.lab.scenarios.context import ScenarioContext

STORM_SECONDS = 20.0
EDIT_PAUSE = 1.0

Disturbance = Callable[[ScenarioContext], Awaitable[None]]


async def storm(context: ScenarioContext) -> None:
    """Random failures, two at a time, under edits; all are over at the end."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(context.edit_for, STORM_SECONDS, EDIT_PAUSE)
        tasks.start_soon(_disturb_for, context, STORM_SECONDS, (_cut, _fail_source, _fail_list))
        tasks.start_soon(_disturb_for, context, STORM_SECONDS, (_kill, _pause, _stop))
        tasks.start_soon(_disturb_for, context, STORM_SECONDS, (_freeze, _break, _cross))
    await context.edit()
    await context.wait_for_newest()
    await context.fleet.wait_serving()


async def _disturb_for(
    context: ScenarioContext, seconds: float, disturbances: tuple[Disturbance, ...]
) -> None:
    """One disturbance after the other; the last one begun is also ended."""
    with anyio.move_on_after(seconds):
        while True:
            with anyio.CancelScope(shield=True):
                await context.random.choice(disturbances)(context)
            await anyio.sleep(context.random.uniform(0.2, 1.5))


async def _cut(context: ScenarioContext) -> None:
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


async def _fail_list(context: ScenarioContext) -> None:
    await context.fleet.platform.inject_machine_list_fault(Availability.UNAVAILABLE)
    await anyio.sleep(3.0)
    await context.fleet.platform.clear_machine_list_faults()


async def _kill(context: ScenarioContext) -> None:
    names = context.some_nodes(3)
    await context.fleet.kill_nodes(names)
    await anyio.sleep(1.0)
    await context.fleet.start_nodes(names)


async def _pause(context: ScenarioContext) -> None:
    name = context.some_nodes(1)[0]
    context.fleet.pause_node(name)
    await anyio.sleep(4.0)
    context.fleet.resume_node(name)


async def _stop(context: ScenarioContext) -> None:
    name = context.some_nodes(1)[0]
    await context.fleet.stop_node(name)
    await context.fleet.start_nodes([name])


async def _freeze(context: ScenarioContext) -> None:
    name = context.some_backends(1)[0]
    context.fleet.pause_backend_process(name)
    await anyio.sleep(3.0)
    context.fleet.resume_backend_process(name)


async def _break(context: ScenarioContext) -> None:
    name = context.some_backends(1)[0]
    faults = BackendFaults(die_mid_answer_share=0.3, shedding_share=0.3)
    await context.fleet.backends.inject_faults(name, faults, "breaks answers off and sheds")
    await anyio.sleep(2.0)
    await context.fleet.backends.clear_faults(name)


async def _cross(context: ScenarioContext) -> None:
    name = context.some_backends(1)[0]
    await context.fleet.backends.inject_faults(name, BackendFaults(crossed=True), "crosses answers")
    await anyio.sleep(2.0)
    await context.fleet.backends.clear_faults(name)
