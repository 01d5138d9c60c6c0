"""Repeated restores of the platform's services from older copies."""

from __future__ import annotations

import contextlib
import random
import time

import anyio

from pewtertack.lab.errors import FleetTimeoutError
from pewtertack.lab.fleet.plan import BackendPlan
from pewtertack.lab.soak.context import SoakContext
from pewtertack.lab.soak.faults import Lane, fault
from pewtertack.lab.soak.platform_faults import LEAVING_READ_SECONDS

OUTAGE_SECONDS = (0.1, 0.8)
COPY_AGE_SECONDS = (0.5, 12.0)
"""Age of the copies in seconds. The oldest lack the whole time in which a back end was leaving,
younger ones only its beginning."""
REWRITE_DELAY_SECONDS = (0.0, 0.8)
"""Delay in seconds before the lost edits of the first, then of the second service are made again:
within the time for which nodes hold what they knew before (``source.hold_after_return``)."""

LEAVING_OBSERVED_SECONDS = 2.0
"""Time for which it is then observed that leaving back ends get no new requests."""
EXTRA_EDITS = 3
"""Number of edits that change nothing, made so that the edits after them have higher numbers than
the edits after the restore."""
DETECTION_SECONDS = 5.0
"""Time after a restore within which nodes detect it: they back off from an unreachable platform."""
LATE_REWRITE_DELAY_SECONDS = 3.0
"""Delay between the detection and making the lost edits again. By then a node that was started
meanwhile serves, and the machine list, which lags by a second, shows the edits while nodes still
hold what they knew before the restore."""
STOP_TIMEOUT_SECONDS = 30.0


@fault("return", Lane.RETURNS)
async def restore_platform(soak: SoakContext, chooser: random.Random) -> None:
    """Source and machine list are restored from copies, and lost edits are made again."""
    platform = soak.fleet.platform
    services = [platform.plan.source, platform.plan.machines]
    chooser.shuffle(services)
    async with soak.restore_lock:
        await platform.restore(chooser.uniform(*OUTAGE_SECONDS), chooser.uniform(*COPY_AGE_SECONDS))
        for service in services:
            await anyio.sleep(chooser.uniform(*REWRITE_DELAY_SECONDS))
            await platform.replay_lost_writes(service)


@fault("leaving-over-return", Lane.PLATFORM, weight=3.0)
async def leaving_across_restore(soak: SoakContext, chooser: random.Random) -> None:
    """A leaving back end is live in the restored copy, and its node starts after the restore.

    Another back end leaves after the restore.
    """
    backends = sorted(soak.fleet.plan.backends.values(), key=lambda backend: backend.name)
    first = chooser.choice(backends)
    second = chooser.choice([other for other in backends if other.service != first.service])
    async with soak.claim_nodes(chooser, 1, [first.gateway_node]), soak.restore_lock:
        await _leave_across_restore(soak, chooser, first, second)
    for backend in (first, second):
        await soak.fleet.mark_backend_live(backend.name)


async def _leave_across_restore(
    soak: SoakContext,
    chooser: random.Random,
    first: BackendPlan,
    second: BackendPlan,
) -> None:
    platform = soak.fleet.platform
    copied_at = time.monotonic()
    for _ in range(EXTRA_EDITS):
        await soak.fleet.mark_backend_live(first.name)
    await soak.fleet.mark_backend_leaving(first.name)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(soak.fleet.stop_node, first.gateway_node, STOP_TIMEOUT_SECONDS)
        await anyio.sleep(LEAVING_READ_SECONDS)
    recorder = soak.fleet.recorder
    detected_before = recorder.view.restores_detected
    await platform.restore(chooser.uniform(*OUTAGE_SECONDS), time.monotonic() - copied_at)
    with contextlib.suppress(FleetTimeoutError):
        await recorder.wait_until(
            lambda view: view.restores_detected > detected_before,
            DETECTION_SECONDS,
            "the restore is detected",
        )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(soak.restart_nodes, [first.gateway_node])
        await anyio.sleep(LATE_REWRITE_DELAY_SECONDS)
        await platform.replay_lost_writes(platform.plan.machines, platform.plan.source)
    await soak.fleet.mark_backend_leaving(second.name)
    await anyio.sleep(LEAVING_READ_SECONDS + LEAVING_OBSERVED_SECONDS)
