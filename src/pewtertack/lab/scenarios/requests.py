"""Bodies of the scenarios about requests, back ends and planned stops."""

from __future__ import annotations

import anyio
import anyio.abc

from pewtertack.lab.backend.state import BackendFaults, HealthReport
from pewtertack.lab.scenarios.context import ScenarioContext

FAULT_SECONDS = 4.0
LEAVING_SECONDS = 9.0
STOPPED_BACKEND_SECONDS = 2.0
EDIT_PAUSE = 0.7
LONG_WORK_MILLISECONDS = 1500.0
LASTING_WORK_MILLISECONDS = 600.0
LASTING_BODY_BYTES = 4096
UPLOAD_BYTES = 16 * 1024 * 1024
IN_FLIGHT_SECONDS = 0.3
"""Between the begin of the long requests and the stop or fault."""


async def backends_killed(context: ScenarioContext) -> None:
    """Back ends break off answers; others are killed under load and come back cold."""
    breaking, *killed = context.some_backends(4)
    faults = BackendFaults(die_mid_answer_share=0.3)
    await context.fleet.backends.inject_faults(breaking, faults, "breaks answers off")
    for name in killed:
        async with anyio.create_task_group() as callers:
            await _fill_backends(context, callers, f"killed-{name}")
            await context.fleet.kill_backend_process(name)
        await anyio.sleep(STOPPED_BACKEND_SECONDS)
        await context.fleet.start_backend_process(name)
    await context.fleet.backends.clear_faults(breaking)
    await anyio.sleep(FAULT_SECONDS)


async def _fill_backends(
    context: ScenarioContext, callers: anyio.abc.TaskGroup, prefix: str
) -> None:
    """Begin requests that last, on every node, and wait until they are in the back ends."""
    kinds = context.long_calls(LASTING_WORK_MILLISECONDS, LASTING_BODY_BYTES)
    once_only = [kind for kind in kinds if not kind.repeatable]
    for name in context.fleet.plan.nodes:
        for kind in (*once_only, context.random.choice(kinds)):
            request_id = f"{prefix}-{name}-{kind.route}-{context.random.randrange(10**9)}"
            callers.start_soon(context.fleet.send_request, name, kind, request_id)
    await anyio.sleep(IN_FLIGHT_SECONDS)


async def backends_frozen(context: ScenarioContext) -> None:
    """Back ends freeze with requests in them, and run on later."""
    for turn in range(2):
        frozen = context.some_backends(2)
        async with anyio.create_task_group() as callers:
            await _fill_backends(context, callers, f"frozen-{turn}")
            for name in frozen:
                context.fleet.pause_backend_process(name)
            await anyio.sleep(FAULT_SECONDS)
            for name in frozen:
                context.fleet.resume_backend_process(name)
        await anyio.sleep(1.0)


async def backends_shedding(context: ScenarioContext) -> None:
    """Some back ends shed half of their requests, one sheds all."""
    always, *often = context.some_backends(5)
    control = context.fleet.backends
    await control.inject_faults(always, BackendFaults(shedding_share=1.0), "sheds all")
    for name in often:
        await control.inject_faults(name, BackendFaults(shedding_share=0.5), "sheds half")
    await anyio.sleep(2 * FAULT_SECONDS)
    for name in (always, *often):
        await control.clear_faults(name)
    await anyio.sleep(1.0)


async def backends_leaving(context: ScenarioContext) -> None:
    """One back end says that it leaves, another is only marked in the lagging list."""
    fleet = context.fleet
    telling, listed = context.some_backends(2)
    await fleet.backends.announce_leaving(telling)
    await fleet.platform.mark_leaving(telling)
    await fleet.mark_backend_leaving(listed)
    await anyio.sleep(LEAVING_SECONDS)
    for name in (telling, listed):
        await fleet.platform.remove_machine(name)
        await fleet.kill_backend_process(name)
    await anyio.sleep(1.0)


async def backends_lying(context: ScenarioContext) -> None:
    """Back ends report no load though slow, good health though broken, and the reverse."""
    slow, broken, slandered = context.some_backends(3)
    control = context.fleet.backends
    idle = BackendFaults(reported_load="0/6", slowdown=10.0)
    await control.inject_faults(slow, idle, "slow, reports no load")
    well = BackendFaults(health=HealthReport.ALWAYS_WELL, die_mid_answer_share=0.8)
    await control.inject_faults(broken, well, "broken, reports good health")
    failed = BackendFaults(health=HealthReport.ALWAYS_FAILED, reported_load="6/6")
    await control.inject_faults(slandered, failed, "well, reports bad health and full load")
    await anyio.sleep(2 * FAULT_SECONDS)
    for name in (slow, broken, slandered):
        await control.clear_faults(name)
    await anyio.sleep(1.0)


async def answers_late_and_crossed(context: ScenarioContext) -> None:
    """Back ends answer after the deadline, and mix up the answers of two callers."""
    late, *crossing = context.some_backends(4)
    control = context.fleet.backends
    await control.inject_faults(late, BackendFaults(late=3.0), "answers late")
    for name in crossing:
        await control.inject_faults(name, BackendFaults(crossed=True), "crosses answers")
    await anyio.sleep(2 * FAULT_SECONDS)
    for name in (late, *crossing):
        await control.clear_faults(name)
    await anyio.sleep(1.0)


async def nodes_stopped(context: ScenarioContext) -> None:
    """Nodes are stopped by plan, one after another and two at once, and started again."""
    names = context.some_nodes(4)
    for batch in (names[:1], names[1:2], names[2:]):
        async with anyio.create_task_group() as stops:
            for name in batch:
                stops.start_soon(_stop_and_start, context, name)
        await context.edit()
    await context.wait_for_newest()


async def _stop_and_start(context: ScenarioContext, name: str) -> None:
    """Stop a node with uploads and long answers in flight, then start it again."""
    fleet = context.fleet
    async with anyio.create_task_group() as callers:
        for index, kind in enumerate(context.long_calls(LONG_WORK_MILLISECONDS, UPLOAD_BYTES)):
            request_id = f"long-{name}-{index}-{context.newest_valid}"
            callers.start_soon(fleet.send_request, name, kind, request_id)
        await anyio.sleep(IN_FLIGHT_SECONDS)
        code = await fleet.stop_node(name)
        context.expect(code == 0, f"{name} ended its planned stop with exit code {code}")
    await fleet.start_nodes([name])
    await fleet.wait_serving([name])


async def routes_moved(context: ScenarioContext) -> None:
    """Edits move routes between services while callers use them."""
    with anyio.move_on_after(3 * FAULT_SECONDS):
        while True:
            with anyio.CancelScope(shield=True):
                await context.move_route()
            await anyio.sleep(EDIT_PAUSE)
    await context.wait_for_newest()
