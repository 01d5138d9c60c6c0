"""Requests that harm the back ends that run them."""

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
"""Its requests may be repeated, so that nodes retry them as well."""
LASTS_SECONDS = (4.0, 8.0)
REPEAT_SECONDS = 0.2


@fault("ending-request", Lane.REQUESTS)
async def ending_request(soak: SoakContext, chooser: random.Random) -> None:
    """A caller sends a request that ends its back ends again and again, at any node."""
    number = soak.made["ending-request"]
    kind = _kind_of(soak, f"{CRASH_PATH_MARKER}-{number}")
    nodes = sorted(soak.fleet.plan.nodes)
    sent = 0
    with anyio.move_on_after(chooser.uniform(*LASTS_SECONDS)):
        while True:
            sent += 1
            name = f"{CRASHING_REQUEST_PREFIX}{number}-{sent}"
            await soak.fleet.send_request(chooser.choice(nodes), kind, name)
            await anyio.sleep(REPEAT_SECONDS)


def _kind_of(soak: SoakContext, name: str) -> CallKind:
    kinds = {kind.route: kind for kind in mix_of_tree(soak.fleet.plan.shape.tree)}
    kind = kinds[ROUTE]
    return msgspec.structs.replace(kind, path=f"{kind.path}/{name}")
