"""How long a node that shuts down still relays responses, and its notice of that to gateways.

A node that shuts down closes its callers' connections at a time that is known from the start. A
response that is delayed at a gateway, on the link or for a slot, could miss that time and be cut.
So each request forwarded during the shutdown carries the time left, and gateways are notified of
the time left for requests that were forwarded before.
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
from pewtertack.node.proxy.taking_back import send_to_gateway
from pewtertack.node.proxy.upstream import ConnectionPool
from pewtertack.routing.outcomes import BackendUnreachableError

NOTIFY_SECONDS = 1.0
"""Timeout for the connection and the response together. A gateway that is unreachable for longer
does not respond to anything in time."""

logger = logging.getLogger(LOGGER_NAME)


class ShutdownDeadline:
    """When the node stops relaying responses, in monotonic seconds; initially never."""

    __slots__ = ("ends_at", "started")

    def __init__(self) -> None:
        self.ends_at = math.inf
        self.started = False
        """Whether the node is shutting down at a known time."""

    def begin(self, ends_at: float) -> None:
        """Note that the node shuts down and stops relaying responses at ``ends_at``."""
        self.ends_at = ends_at
        self.started = ends_at < math.inf

    def seconds_left(self, now: float) -> float:
        """Return how many seconds longer responses are relayed."""
        return max(0.0, self.ends_at - now)


async def notify_gateways(
    shutdown: ShutdownDeadline,
    clock: Callable[[], float],
    connections: ConnectionPool,
    requests: RequestsInFlight,
) -> None:
    """Notify each gateway that has requests of this node how long their responses are relayed."""
    if not shutdown.started:
        return  # the node waits for all responses without a time limit
    ids_by_gateway: dict[str, list[str]] = defaultdict(list)
    for request in requests.active:
        ids_by_gateway[request.gateway].append(request.request_id)
    ids_by_gateway.pop("", None)
    async with anyio.create_task_group() as tasks:
        for gateway, ids in ids_by_gateway.items():
            for request_ids in group_request_ids(ids):
                build_request = partial(_build_notice, shutdown, clock, gateway, request_ids)
                tasks.start_soon(_notify, connections, gateway, build_request)


def _build_notice(
    shutdown: ShutdownDeadline, clock: Callable[[], float], gateway: str, request_ids: Sequence[str]
) -> OutgoingRequest:
    """Return the notice about some requests, with the time left at this moment."""
    return finish_by_request(gateway, shutdown.seconds_left(clock()), request_ids)


async def _notify(
    connections: ConnectionPool, gateway: str, build_request: Callable[[], OutgoingRequest]
) -> None:
    try:
        with anyio.move_on_after(NOTIFY_SECONDS) as timeout:
            await send_to_gateway(connections, gateway, build_request)
    except (BackendUnreachableError, ExchangeBrokenError) as error:
        logger.warning(
            "cannot notify a gateway of the shutdown; its responses may be cut: %s", error
        )
        return
    if timeout.cancelled_caught:
        logger.warning(
            "a gateway did not confirm the shutdown notice in time; its responses may be cut: %s",
            gateway,
        )
