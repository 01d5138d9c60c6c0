"""Withdraws a request from a gateway's queue before a back end starts to run it.

A node that shuts down cannot tell whether a request that it has forwarded is waiting or running.
The gateway can: it refuses waiting requests over their own connections and lets running ones
continue.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio

from pewtertack.node.gateway.hop import withdrawal_request
from pewtertack.node.http.cycle import LOGGER_NAME
from pewtertack.node.http.messages import OutgoingRequest
from pewtertack.node.http.response_reading import ExchangeBrokenError
from pewtertack.node.proxy.upstream import ConnectionPool
from pewtertack.routing.outcomes import BackendUnreachableError

WITHDRAW_TIMEOUT_SECONDS = 0.3
"""Timeout for the connection and the response together; an unreachable gateway would not refuse
anything in time."""

logger = logging.getLogger(LOGGER_NAME)


async def withdraw_from_gateway(connections: ConnectionPool, gateway: str, request_id: str) -> None:
    """Ask the gateway at ``ip:port`` to refuse the request if it is still waiting there.

    Whether the gateway did so shows in the response to the request itself.
    """
    try:
        with anyio.move_on_after(WITHDRAW_TIMEOUT_SECONDS):
            await send_to_gateway(
                connections, gateway, lambda: withdrawal_request(gateway, request_id)
            )
    except (BackendUnreachableError, ExchangeBrokenError) as error:
        logger.warning(
            "cannot withdraw a request from its gateway; waiting for its response: %s", error
        )


async def send_to_gateway(
    connections: ConnectionPool, gateway: str, build_request: Callable[[], OutgoingRequest]
) -> None:
    """Send a request addressed to the gateway at ``ip:port`` itself, and read the response.

    The request is built once the connection is there, so that a time in it is up to date.

    Raises:
        BackendUnreachableError: no connection was made.
        ExchangeBrokenError: no response was received.
    """
    connection = await connections.acquire(gateway, WITHDRAW_TIMEOUT_SECONDS)
    try:
        await connection.exchange(build_request())
        await connection.read_body()
    finally:
        connections.release(connection, long_lived=True)
