"""The platform comes back from older copies of itself, again and again."""

from __future__ import annotations

import contextlib
import random
import time

import anyio

from pewtertack.lab.errors import FleetTimeoutError
from pewtertack.lab.fleet.plan import BackendPlan
from pewtertack.lab.soak.context import SoakContext
from pewtertack.lab.soak.faults import Lane, fault
from pewtertack.lab.soak.platform_faults import LEAVING_SEEN_SECONDS

AWAY_SECONDS = (0.1, 0.8)
COPY_AGE = (0.5, 12.0)
"""Seconds; the longest lacks a back end's whole leaving, or its beginning alone."""
WRITTEN_AGAIN = (0.0, 0.8)
"""Seconds after the return of the one, then of the other service: within the time for which what
was known holds (``source.hold_after_return``)."""

LEAVING_UNUSED_SECONDS = 2.0
"""For which that is looked at in the end."""
MORE_WRITES = 3
"""Writes that change nothing: what follows them has higher revisions than what follows a return."""
NOTICED_SECONDS = 5.0
"""After a return, within which nodes notice it: they back off from a platform that is away."""
LATER = 3.0
"""Seconds from then until the machine list is written again. A node that has started meanwhile
serves, and the list, which lags a second, shows it while what was known holds."""
STOP_SECONDS = 30.0


@fault("return", Lane.RETURNS)
async def come_back(soak: SoakContext, chooser: random.Random) -> None:
    """Source and machine list come back from copies, and are written again one after the other."""
    platform = soak.fleet.platform
    services = [platform.plan.source, platform.plan.machines]
    chooser.shuffle(services)
    async with soak.learning:
        await platform.restore(chooser.uniform(*AWAY_SECONDS), chooser.uniform(*COPY_AGE))
        for service in services:
            await anyio.sleep(chooser.uniform(*WRITTEN_AGAIN))
            await platform.replay_lost_writes(service)


@fault("leaving-over-return", Lane.PLATFORM, weight=3.0)
async def leaving_over_return(soak: SoakContext, chooser: random.Random) -> None:
    """A leaving back end is live in the copy that comes back, and its node starts after the return.

    Another back end leaves after the return.
    """
    backends = sorted(soak.fleet.plan.backends.values(), key=lambda backend: backend.name)
    first = chooser.choice(backends)
    second = chooser.choice([item for item in backends if item.service != first.service])
    async with soak.claim_nodes(chooser, 1, [first.gateway_node]), soak.learning:
        await _leave_over_return(soak, chooser, first, second)
    for backend in (first, second):
        await soak.fleet.mark_backend_live(backend.name)


async def _leave_over_return(
    soak: SoakContext,
    chooser: random.Random,
    first: BackendPlan,
    second: BackendPlan,
) -> None:
    platform = soak.fleet.platform
    copied_at = time.monotonic()
    for _ in range(MORE_WRITES):
        await soak.fleet.mark_backend_live(first.name)
    await soak.fleet.mark_backend_leaving(first.name)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(soak.fleet.stop_node, first.gateway_node, STOP_SECONDS)
        await anyio.sleep(LEAVING_SEEN_SECONDS)
    recorder = soak.fleet.recorder
    noticed = recorder.view.restores_detected
    await platform.restore(chooser.uniform(*AWAY_SECONDS), time.monotonic() - copied_at)
    with contextlib.suppress(FleetTimeoutError):
        await recorder.wait_until(
            lambda view: view.restores_detected > noticed, NOTICED_SECONDS, "the return is noticed"
        )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(soak.start_again, [first.gateway_node])
        await anyio.sleep(LATER)
        await platform.replay_lost_writes(platform.plan.machines, platform.plan.source)
    await soak.fleet.mark_backend_leaving(second.name)
    await anyio.sleep(LEAVING_SEEN_SECONDS + LEAVING_UNUSED_SECONDS)
