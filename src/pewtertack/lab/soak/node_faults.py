"""Faults of nodes: graceful shutdowns, reloads, kills and pauses, alone and combined."""

from __future__ import annotations

import random

import anyio

from pewtertack.lab.soak.context import SoakContext
from pewtertack.lab.soak.faults import Lane, fault

NODE_LANES = (Lane.NODES, Lane.MORE_NODES)
STOP_TIMEOUT_SECONDS = 30.0
"""A graceful shutdown that takes longer is a problem, even on a slow machine."""
RELOAD_GAP_SECONDS = 0.15
"""Shorter than any graceful shutdown, so that the process still runs at the second reload."""


async def _stop_node(soak: SoakContext, name: str) -> None:
    code = await soak.fleet.stop_node(name, STOP_TIMEOUT_SECONDS)
    soak.scenario.expect(code == 0, f"{name} exited with code {code} after a graceful shutdown")


async def _stop_nodes(soak: SoakContext, names: list[str], gap_seconds: float) -> None:
    async with anyio.create_task_group() as stops:
        for name in names:
            stops.start_soon(_stop_node, soak, name)
            await anyio.sleep(gap_seconds)


async def stop_and_restart(soak: SoakContext, _chooser: random.Random, name: str) -> None:
    """Shut a claimed node down gracefully and start it again."""
    await _stop_nodes(soak, [name], 0.0)
    await soak.restart_nodes([name])


async def kill_and_restart(soak: SoakContext, chooser: random.Random, name: str) -> None:
    """Kill a claimed node and start it again under its name."""
    await soak.fleet.kill_nodes([name])
    await anyio.sleep(chooser.uniform(0.0, 2.0))
    await soak.restart_nodes([name])


async def pause_and_resume(soak: SoakContext, chooser: random.Random, name: str) -> None:
    """Pause a claimed node and resume it later."""
    soak.fleet.pause_node(name)
    await anyio.sleep(chooser.uniform(0.3, 5.0))
    soak.fleet.resume_node(name)
    await soak.fleet.wait_serving([name])


@fault("stop", *NODE_LANES, weight=4.0)
async def stop(soak: SoakContext, chooser: random.Random) -> None:
    """A node is shut down gracefully and started again."""
    async with soak.claim_nodes(chooser, 1) as names:
        await stop_and_restart(soak, chooser, names[0])


@fault("stops-overlap", *NODE_LANES, weight=2.0)
async def stops_overlap(soak: SoakContext, chooser: random.Random) -> None:
    """Two nodes are shut down gracefully, the second while the first drains."""
    async with soak.claim_nodes(chooser, 2) as names:
        await _stop_nodes(soak, names, chooser.uniform(0.0, 1.5))
        await soak.restart_nodes(names)


@fault("stops-in-series", *NODE_LANES)
async def stops_in_series(soak: SoakContext, chooser: random.Random) -> None:
    """A node is shut down three times, each time as soon as it serves again."""
    async with soak.claim_nodes(chooser, 1) as names:
        for _ in range(3):
            await _stop_nodes(soak, names, 0.0)
            await soak.restart_nodes(names)


@fault("reload-and-stop", *NODE_LANES)
async def reload_and_stop(soak: SoakContext, chooser: random.Random) -> None:
    """A node reloads its settings just before its graceful shutdown and during it."""
    async with soak.claim_nodes(chooser, 1) as names:
        soak.fleet.reload_node(names[0])
        await anyio.sleep(chooser.uniform(0.0, RELOAD_GAP_SECONDS))
        async with anyio.create_task_group() as stops:
            stops.start_soon(_stop_node, soak, names[0])
            await anyio.sleep(RELOAD_GAP_SECONDS)
            soak.fleet.reload_node(names[0])
        await soak.restart_nodes(names)


@fault("reloads", *NODE_LANES)
async def reloads(soak: SoakContext, chooser: random.Random) -> None:
    """A node reloads its settings five times in a row."""
    async with soak.claim_nodes(chooser, 1) as names:
        for _ in range(5):
            soak.fleet.reload_node(names[0])
            await anyio.sleep(chooser.uniform(0.0, 0.5))


@fault("kill", *NODE_LANES)
async def kill(soak: SoakContext, chooser: random.Random) -> None:
    """A node is killed and started again under its name."""
    async with soak.claim_nodes(chooser, 1) as names:
        await kill_and_restart(soak, chooser, names[0])


@fault("kill-while-stopping", *NODE_LANES, weight=0.5)
async def kill_while_stopping(soak: SoakContext, chooser: random.Random) -> None:
    """A node is killed while it drains."""
    async with soak.claim_nodes(chooser, 1) as names:
        async with anyio.create_task_group() as stops:
            stops.start_soon(soak.fleet.stop_node, names[0], STOP_TIMEOUT_SECONDS)
            await anyio.sleep(chooser.uniform(0.1, 1.5))
            await soak.fleet.kill_nodes(names)
        await soak.restart_nodes(names)


@fault("pause", *NODE_LANES)
async def pause(soak: SoakContext, chooser: random.Random) -> None:
    """A node is paused and resumes later."""
    async with soak.claim_nodes(chooser, 1) as names:
        await pause_and_resume(soak, chooser, names[0])


@fault("pause-and-stop", *NODE_LANES, weight=0.5)
async def pause_and_stop(soak: SoakContext, chooser: random.Random) -> None:
    """A node is paused and shut down gracefully soon after it resumes."""
    async with soak.claim_nodes(chooser, 1) as names:
        soak.fleet.pause_node(names[0])
        await anyio.sleep(chooser.uniform(0.3, 2.0))
        soak.fleet.resume_node(names[0])
        await anyio.sleep(chooser.uniform(0.0, 1.0))
        await _stop_nodes(soak, names, 0.0)
        await soak.restart_nodes(names)
