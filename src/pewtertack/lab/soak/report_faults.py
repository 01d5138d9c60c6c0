"""Back ends that report in their answers that they take little or leave, while nodes restart."""

from __future__ import annotations

import random

import anyio

from pewtertack.lab.soak.context import SoakContext
from pewtertack.lab.soak.faults import Lane, fault
from pewtertack.lab.soak.mix import LOOKUP
from pewtertack.lab.soak.node_faults import (
    kill_and_restart,
    pause_and_resume,
    stop_and_restart,
)

RATES = (0.5, 2.5)
"""Requests a second."""
ZERO_SHARE = 0.15
"""Fraction of the limits that are 0."""
LIMIT_SECONDS = (8.0, 14.0)
"""Longer than the time after which a limit binds, and the window in which requests are counted."""
LEAVING_SECONDS = (3.0, 7.0)
DISTURBANCE_GAP_SECONDS = (1.0, 4.0)


def _choose_backend(soak: SoakContext, chooser: random.Random) -> str:
    """Choose a back end of the service that gets short requests."""
    service = soak.fleet.plan.shape.tree["routes"][LOOKUP]["service"]
    backends = soak.fleet.plan.backends.values()
    return chooser.choice(sorted(item.name for item in backends if item.service == service))


async def _disturb_node(soak: SoakContext, chooser: random.Random, node: str) -> None:
    """Stop, kill and pause a node, in a random series, until cancelled."""
    while True:
        await anyio.sleep(chooser.uniform(*DISTURBANCE_GAP_SECONDS))
        disturbance = chooser.choice((kill_and_restart, pause_and_resume, stop_and_restart))
        async with soak.claim_nodes(chooser, 1, [node]):
            with anyio.CancelScope(shield=True):
                await disturbance(soak, chooser, node)


async def _send_while_disturbed(
    soak: SoakContext, chooser: random.Random, backend: str, seconds: float
) -> None:
    """Run callers of short requests while the node beside the back end is disturbed."""
    node = soak.fleet.plan.backends[backend].gateway_node
    with soak.reserve_node(node):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_disturb_node, soak, chooser, node)
            await soak.send_quick_requests(seconds)
            tasks.cancel_scope.cancel()


@fault("limit", Lane.REPORTS, weight=2.0)
async def limit(soak: SoakContext, chooser: random.Random) -> None:
    """A back end names a limit while the node beside it is stopped, killed and paused."""
    name = _choose_backend(soak, chooser)
    rate = 0.0 if chooser.random() < ZERO_SHARE else chooser.uniform(*RATES)
    await soak.fleet.backends.name_limit(name, rate)
    await _send_while_disturbed(soak, chooser, name, chooser.uniform(*LIMIT_SECONDS))
    await soak.fleet.backends.name_limit(name, None)


@fault("leaving-in-answers", Lane.REPORTS)
async def leaving_in_answers(soak: SoakContext, chooser: random.Random) -> None:
    """A back end says only in its answers that it leaves, with the same faults; then restarts."""
    name = _choose_backend(soak, chooser)
    await soak.fleet.backends.report_leaving(name)
    await _send_while_disturbed(soak, chooser, name, chooser.uniform(*LEAVING_SECONDS))
    await soak.fleet.restart_backend(name)
