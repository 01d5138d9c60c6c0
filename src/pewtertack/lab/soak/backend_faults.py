"""Faults of back ends, and overload."""

from __future__ import annotations

import random

import anyio

from pewtertack.lab.backend.state import BackendFaults
from pewtertack.lab.soak.context import SoakContext
from pewtertack.lab.soak.faults import Lane, fault


async def _inject_for_a_while(
    soak: SoakContext, chooser: random.Random, faults: BackendFaults, description: str
) -> None:
    name = soak.choose_backend(chooser)
    await soak.fleet.backends.inject_faults(name, faults, description)
    await anyio.sleep(chooser.uniform(1.0, 5.0))
    await soak.fleet.backends.clear_faults(name)


@fault("surge", Lane.BACKENDS, weight=2.0)
async def surge(soak: SoakContext, chooser: random.Random) -> None:
    """The number of callers doubles for a while."""
    await soak.surge(chooser.uniform(2.0, 6.0))


@fault("slow", Lane.BACKENDS)
async def slow(soak: SoakContext, chooser: random.Random) -> None:
    """A back end takes several times as long for each request."""
    slowdown = chooser.uniform(3.0, 8.0)
    await _inject_for_a_while(soak, chooser, BackendFaults(slowdown=slowdown), "slow")


@fault("shedding", Lane.BACKENDS)
async def shedding(soak: SoakContext, chooser: random.Random) -> None:
    """A back end sheds half or all of its requests."""
    share = chooser.choice((0.5, 1.0))
    await _inject_for_a_while(soak, chooser, BackendFaults(shedding_share=share), "shedding")


@fault("frozen", Lane.BACKENDS)
async def frozen(soak: SoakContext, chooser: random.Random) -> None:
    """A back end freezes with requests in flight and resumes later."""
    name = soak.choose_backend(chooser)
    soak.fleet.pause_backend_process(name)
    await anyio.sleep(chooser.uniform(0.5, 3.0))
    soak.fleet.resume_backend_process(name)


@fault("repeated-refusals", Lane.REFUSALS)
async def repeated_refusals(soak: SoakContext, chooser: random.Random) -> None:
    """All back ends shed a part of their requests, and send each refusal again later.

    A request that all of them have refused is sent to the first one again. The refusals have the
    ids of their requests in half of the cases.
    """
    share, seconds = chooser.uniform(0.3, 0.7), chooser.uniform(0.5, 2.0)
    identified = chooser.random() < 0.5
    faults = BackendFaults(
        shedding_share=share, repeated_refusals=True, identified_refusals=identified
    )
    description = "repeats refusals" if identified else "repeats refusals without ids"
    names = sorted(soak.fleet.plan.backends)
    for name in names:
        await soak.fleet.backends.inject_faults(name, faults, description)
    await anyio.sleep(seconds)
    for name in names:
        await soak.fleet.backends.clear_faults(name)
