"""Faults of nodes: planned stops, reloads, kills, pauses, alone and in series."""

from __future__ import annotations

import random

import anyio

from pewtertack.lab.soak.context import SoakContext
from pewtertack.lab.soak.faults import Lane, fault

NODES = (Lane.NODES, Lane.MORE_NODES)
STOP_SECONDS = 30.0
"""A planned stop that lasts longer is a problem, also on a slow machine."""
RELOAD_GAP = 0.15
"""Shorter than any stop: the process must not have ended."""


async def _stop(soak: SoakContext, name: str) -> None:
    code = await soak.fleet.stop_node(name, STOP_SECONDS)
    soak.scenario.expect(code == 0, f"{name} ended its planned stop with exit code {code}")


async def _stop_all(soak: SoakContext, names: list[str], gap: float) -> None:
    async with anyio.create_task_group() as stops:
        for name in names:
            stops.start_soon(_stop, soak, name)
            await anyio.sleep(gap)


@fault("stop", *NODES, weight=4.0)
async def stop(soak: SoakContext, chooser: random.Random) -> None:
    """A node is stopped by plan and started again."""
    async with soak.claim_nodes(chooser, 1) as names:
        await _stop_all(soak, names, 0.0)
        await soak.start_again(names)


@fault("stops-overlap", *NODES, weight=2.0)
async def stops_overlap(soak: SoakContext, chooser: random.Random) -> None:
    """Two nodes are stopped by plan, the second while the first drains."""
    async with soak.claim_nodes(chooser, 2) as names:
        await _stop_all(soak, names, chooser.uniform(0.0, 1.5))
        await soak.start_again(names)


@fault("stops-in-series", *NODES)
async def stops_in_series(soak: SoakContext, chooser: random.Random) -> None:
    """A node is stopped and started three times, as soon as it serves again."""
    async with soak.claim_nodes(chooser, 1) as names:
        for _ in range(3):
            await _stop_all(soak, names, 0.0)
            await soak.start_again(names)


@fault("reload-and-stop", *NODES)
async def reload_and_stop(soak: SoakContext, chooser: random.Random) -> None:
    """A node reads its settings again just before its planned stop and during it."""
    async with soak.claim_nodes(chooser, 1) as names:
        soak.fleet.reload_node(names[0])
        await anyio.sleep(chooser.uniform(0.0, RELOAD_GAP))
        async with anyio.create_task_group() as stops:
            stops.start_soon(_stop, soak, names[0])
            await anyio.sleep(RELOAD_GAP)
            soak.fleet.reload_node(names[0])
        await soak.start_again(names)


@fault("reloads", *NODES)
async def reloads(soak: SoakContext, chooser: random.Random) -> None:
    """A node reads its settings again five times in a row."""
    async with soak.claim_nodes(chooser, 1) as names:
        for _ in range(5):
            soak.fleet.reload_node(names[0])
            await anyio.sleep(chooser.uniform(0.0, 0.5))


@fault("kill", *NODES)
async def kill(soak: SoakContext, chooser: random.Random) -> None:
    """A node is killed and replaced under its name."""
    async with soak.claim_nodes(chooser, 1) as names:
        await soak.fleet.kill_nodes(names)
        await anyio.sleep(chooser.uniform(0.0, 2.0))
        await soak.start_again(names)


@fault("kill-while-stopping", *NODES, weight=0.5)
async def kill_while_stopping(soak: SoakContext, chooser: random.Random) -> None:
    """A node is killed while it drains."""
    async with soak.claim_nodes(chooser, 1) as names:
        async with anyio.create_task_group() as stops:
            stops.start_soon(soak.fleet.stop_node, names[0], STOP_SECONDS)
            await anyio.sleep(chooser.uniform(0.1, 1.5))
            await soak.fleet.kill_nodes(names)
        await soak.start_again(names)


@fault("pause", *NODES)
async def pause(soak: SoakContext, chooser: random.Random) -> None:
    """A node is paused and wakes up late."""
    async with soak.claim_nodes(chooser, 1) as names:
        soak.fleet.pause_node(names[0])
        await anyio.sleep(chooser.uniform(0.3, 5.0))
        soak.fleet.resume_node(names[0])
        await soak.fleet.wait_serving(names)


@fault("pause-and-stop", *NODES, weight=0.5)
async def pause_and_stop(soak: SoakContext, chooser: random.Random) -> None:
    """A node is paused, and stopped by plan soon after it woke."""
    async with soak.claim_nodes(chooser, 1) as names:
        soak.fleet.pause_node(names[0])
        await anyio.sleep(chooser.uniform(0.3, 2.0))
        soak.fleet.resume_node(names[0])
        await anyio.sleep(chooser.uniform(0.0, 1.0))
        await _stop_all(soak, names, 0.0)
        await soak.start_again(names)
