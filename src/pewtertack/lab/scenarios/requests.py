"""Bodies of the scenarios about requests, back ends and graceful shutdowns."""

from __future__ import annotations

import anyio
import anyio.abc

from pewtertack.lab.backend.state import BackendFaults, HealthReport
from pewtertack.lab.scenarios.context import ScenarioContext

FAULT_SECONDS = 4.0
LEAVING_SECONDS = 9.0
RESTART_DELAY_SECONDS = 2.0
EDIT_INTERVAL_SECONDS = 0.7
LONG_WORK_MILLISECONDS = 1500.0
FILL_WORK_MILLISECONDS = 600.0
FILL_BODY_BYTES = 4096
UPLOAD_BYTES = 16 * 1024 * 1024
FAULT_DELAY_SECONDS = 0.3
"""The delay from the start of the long requests to the shutdown or fault."""


async def backends_killed(context: ScenarioContext) -> None:
    """A back end breaks off responses; others are killed under load and restart cold."""
    breaking, *killed = context.pick_backends(4)
    faults = BackendFaults(die_mid_answer_share=0.3)
    await context.fleet.backends.inject_faults(breaking, faults, "breaks answers off")
    for name in killed:
        async with anyio.create_task_group() as callers:
            await _fill_backends(context, callers, f"killed-{name}")
            await context.fleet.kill_backend_process(name)
        await anyio.sleep(RESTART_DELAY_SECONDS)
        await context.fleet.start_backend_process(name)
    await context.fleet.backends.clear_faults(breaking)
    await anyio.sleep(FAULT_SECONDS)


async def _fill_backends(
    context: ScenarioContext, callers: anyio.abc.TaskGroup, prefix: str
) -> None:
    """Start long requests on every node and give them time to reach the back ends."""
    kinds = context.long_calls(FILL_WORK_MILLISECONDS, FILL_BODY_BYTES)
    non_repeatable = [kind for kind in kinds if not kind.repeatable]
    for name in context.fleet.plan.nodes:
        for kind in (*non_repeatable, context.random.choice(kinds)):
            request_id = f"{prefix}-{name}-{kind.route}-{context.random.randrange(10**9)}"
            callers.start_soon(context.fleet.send_request, name, kind, request_id)
    await anyio.sleep(FAULT_DELAY_SECONDS)


async def backends_frozen(context: ScenarioContext) -> None:
    """Back ends are paused while they execute requests, and resumed later."""
    for round_number in range(2):
        frozen = context.pick_backends(2)
        async with anyio.create_task_group() as callers:
            await _fill_backends(context, callers, f"frozen-{round_number}")
            for name in frozen:
                context.fleet.pause_backend_process(name)
            await anyio.sleep(FAULT_SECONDS)
            for name in frozen:
                context.fleet.resume_backend_process(name)
        await anyio.sleep(1.0)


async def backends_shedding(context: ScenarioContext) -> None:
    """Some back ends shed half of their requests, one sheds all of them."""
    shedding_all, *shedding_half = context.pick_backends(5)
    control = context.fleet.backends
    await control.inject_faults(shedding_all, BackendFaults(shedding_share=1.0), "sheds all")
    for name in shedding_half:
        await control.inject_faults(name, BackendFaults(shedding_share=0.5), "sheds half")
    await anyio.sleep(2 * FAULT_SECONDS)
    for name in (shedding_all, *shedding_half):
        await control.clear_faults(name)
    await anyio.sleep(1.0)


async def backends_leaving(context: ScenarioContext) -> None:
    """One back end announces that it leaves, another is only marked in the lagging machine list."""
    fleet = context.fleet
    announcing, listed = context.pick_backends(2)
    await fleet.backends.announce_leaving(announcing)
    await fleet.platform.mark_leaving(announcing)
    await fleet.mark_backend_leaving(listed)
    await anyio.sleep(LEAVING_SECONDS)
    for name in (announcing, listed):
        await fleet.platform.remove_machine(name)
        await fleet.kill_backend_process(name)
    await anyio.sleep(1.0)


async def backends_lying(context: ScenarioContext) -> None:
    """Back ends report no load while slow, good health while broken, or the reverse of both."""
    slow, broken, misreported = context.pick_backends(3)
    control = context.fleet.backends
    reports_idle = BackendFaults(reported_load="0/6", slowdown=10.0)
    await control.inject_faults(slow, reports_idle, "slow, reports no load")
    reports_healthy = BackendFaults(health=HealthReport.ALWAYS_WELL, die_mid_answer_share=0.8)
    await control.inject_faults(broken, reports_healthy, "broken, reports good health")
    reports_failed = BackendFaults(health=HealthReport.ALWAYS_FAILED, reported_load="6/6")
    await control.inject_faults(
        misreported, reports_failed, "well, reports bad health and full load"
    )
    await anyio.sleep(2 * FAULT_SECONDS)
    for name in (slow, broken, misreported):
        await control.clear_faults(name)
    await anyio.sleep(1.0)


async def answers_late_and_crossed(context: ScenarioContext) -> None:
    """Back ends respond after the deadline, and swap the responses of two callers."""
    late, *crossing = context.pick_backends(4)
    control = context.fleet.backends
    await control.inject_faults(late, BackendFaults(late=3.0), "answers late")
    for name in crossing:
        await control.inject_faults(name, BackendFaults(crossed=True), "crosses answers")
    await anyio.sleep(2 * FAULT_SECONDS)
    for name in (late, *crossing):
        await control.clear_faults(name)
    await anyio.sleep(1.0)


async def nodes_stopped(context: ScenarioContext) -> None:
    """Nodes shut down gracefully, one after another and two at once, and are restarted."""
    names = context.pick_nodes(4)
    for batch in (names[:1], names[1:2], names[2:]):
        async with anyio.create_task_group() as stops:
            for name in batch:
                stops.start_soon(_stop_and_start, context, name)
        await context.edit()
    await context.wait_for_newest()


async def _stop_and_start(context: ScenarioContext, name: str) -> None:
    """Shut down a node with uploads and long responses in flight, then restart it."""
    fleet = context.fleet
    async with anyio.create_task_group() as callers:
        for index, kind in enumerate(context.long_calls(LONG_WORK_MILLISECONDS, UPLOAD_BYTES)):
            request_id = f"long-{name}-{index}-{context.newest_valid}"
            callers.start_soon(fleet.send_request, name, kind, request_id)
        await anyio.sleep(FAULT_DELAY_SECONDS)
        code = await fleet.stop_node(name)
        context.expect(code == 0, f"{name} ended its graceful shutdown with exit code {code}")
    await fleet.start_nodes([name])
    await fleet.wait_serving([name])


async def routes_moved(context: ScenarioContext) -> None:
    """Edits move routes between services while callers send requests to them."""
    with anyio.move_on_after(3 * FAULT_SECONDS):
        while True:
            with anyio.CancelScope(shield=True):
                await context.move_route()
            await anyio.sleep(EDIT_INTERVAL_SECONDS)
    await context.wait_for_newest()
