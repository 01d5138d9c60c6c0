"""Requests that crash the back ends that run them."""

from __future__ import annotations

import random

import anyio
import msgspec

from pewtertack.lab.backend.application import CRASH_PATH_MARKER
from pewtertack.lab.history.crash_checks import CRASHING_REQUEST_PREFIX
from pewtertack.lab.load.mix import CallKind, mix_of_tree
from pewtertack.lab.soak.context import SoakContext
from pewtertack.lab.soak.faults import Lane, fault

ROUTE = "lookup"
"""A route with repeatable requests, so that nodes retry them too."""
DURATION_SECONDS = (4.0, 8.0)
REPEAT_INTERVAL_SECONDS = 0.2


@fault("ending-request", Lane.REQUESTS)
async def ending_request(soak: SoakContext, chooser: random.Random) -> None:
    """A caller repeatedly sends a request that crashes its back ends, to random nodes."""
    number = soak.fault_counts["ending-request"]
    kind = _crashing_call(soak, f"{CRASH_PATH_MARKER}-{number}")
    nodes = sorted(soak.fleet.plan.nodes)
    sent_count = 0
    with anyio.move_on_after(chooser.uniform(*DURATION_SECONDS)):
        while True:
            sent_count += 1
            name = f"{CRASHING_REQUEST_PREFIX}{number}-{sent_count}"
            await soak.fleet.send_request(chooser.choice(nodes), kind, name)
            await anyio.sleep(REPEAT_INTERVAL_SECONDS)


def _crashing_call(soak: SoakContext, name: str) -> CallKind:
    kinds = {kind.route: kind for kind in mix_of_tree(soak.fleet.plan.shape.tree)}
    kind = kinds[ROUTE]
    return msgspec.structs.replace(kind, path=f"{kind.path}/{name}")
