"""Until when a node that stops carries answers, and its word on that to other nodes.

A stopping node closes its callers' connections at a moment that is known from the start.
An answer that waits elsewhere, on a link or for a slot, would not know of it and be cut there:
so each request that is sent on says how much time is left, and those that were sent before are
named to the gateways that have them.
"""

from __future__ import annotations

import logging
import math
from collections import defaultdict
from collections.abc import Callable, Sequence
from functools import partial

import anyio

from pewtertack.node.gateway.hop import finish_by_request, group_request_ids
from pewtertack.node.http.cycle import LOGGER_NAME
from pewtertack.node.http.messages import OutgoingRequest
from pewtertack.node.http.response_reading import ExchangeBrokenError
from pewtertack.node.proxy.in_flight import RequestsInFlight
from pewtertack.node.proxy.upstream import ConnectionPool
from pewtertack.node.proxy.withdrawal import send_to_gateway
from pewtertack.routing.outcomes import BackendUnreachableError

NOTIFY_SECONDS = 1.0
"""For connection and answer together: a gateway out of reach for longer answers nothing in time."""

logger = logging.getLogger(LOGGER_NAME)


class ShutdownDeadline:
    """When the node will carry answers no longer, in monotonic seconds; never, at first."""

    __slots__ = ("begun", "ends_at")

    def __init__(self) -> None:
        self.ends_at = math.inf
        self.begun = False
        """Whether the node stops, and at a moment that is known."""

    def begin(self, ends_at: float) -> None:
        """The node has been told to stop."""
        self.ends_at = ends_at
        self.begun = ends_at < math.inf

    def seconds_left(self, now: float) -> float:
        """Return for how much longer answers are carried."""
        return max(0.0, self.ends_at - now)


async def notify_gateways(
    stop: ShutdownDeadline,
    clock: Callable[[], float],
    connections: ConnectionPool,
    requests: RequestsInFlight,
) -> None:
    """Tell each gateway that has requests of this node until when their answers are carried."""
    if not stop.begun:
        return  # it waits for all answers, without end
    ids: dict[str, list[str]] = defaultdict(list)
    for request in requests.active:
        ids[request.gateway].append(request.request_id)
    ids.pop("", None)
    async with anyio.create_task_group() as tasks:
        for gateway, named in ids.items():
            for request_ids in group_request_ids(named):
                build = partial(_build_notice, stop, clock, gateway, request_ids)
                tasks.start_soon(_notify, connections, gateway, build)


def _build_notice(
    stop: ShutdownDeadline, clock: Callable[[], float], gateway: str, ids: Sequence[str]
) -> OutgoingRequest:
    """Return the word on some requests; the time left is that of the moment."""
    return finish_by_request(gateway, stop.seconds_left(clock()), ids)


async def _notify(
    connections: ConnectionPool, gateway: str, build: Callable[[], OutgoingRequest]
) -> None:
    try:
        with anyio.move_on_after(NOTIFY_SECONDS) as telling:
            await send_to_gateway(connections, gateway, build)
    except (BackendUnreachableError, ExchangeBrokenError) as error:
        logger.warning("a gateway could not be told of the stop: %s", error)
        return
    if telling.cancelled_caught:
        logger.warning("a gateway could not be told of the stop in time: %s", gateway)
