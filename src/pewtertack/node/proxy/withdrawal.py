"""Taking a request back from another node's queue, before a back end begins with it.

A node that stops cannot tell whether what it has sent on waits or runs. The gateway can: it
refuses what waits, over the request's own connection, and lets go on what runs.
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

WITHDRAW_SECONDS = 0.3
"""For connection and answer together; a gateway out of reach refuses nothing in time."""

logger = logging.getLogger(LOGGER_NAME)


async def withdraw_from_gateway(connections: ConnectionPool, gateway: str, request_id: str) -> None:
    """Ask the gateway at ``ip:port`` to refuse the request if it still waits there.

    Whether it did is told by the answer to the request itself.
    """
    try:
        with anyio.move_on_after(WITHDRAW_SECONDS):
            await send_to_gateway(
                connections, gateway, lambda: withdrawal_request(gateway, request_id)
            )
    except (BackendUnreachableError, ExchangeBrokenError) as error:
        logger.warning("a request could not be taken back: %s", error)


async def send_to_gateway(
    connections: ConnectionPool, gateway: str, make: Callable[[], OutgoingRequest]
) -> None:
    """Send a request that is for the gateway at ``ip:port`` alone, and read its answer.

    It is made once there is a connection for it: what it says of time holds then.

    Raises:
        BackendUnreachableError: no connection was made.
        ExchangeBrokenError: no answer came.
    """
    connection = await connections.acquire(gateway, WITHDRAW_SECONDS)
    try:
        await connection.exchange(make())
        await connection.read_body()
    finally:
        connections.release(connection, long_lived=True)
