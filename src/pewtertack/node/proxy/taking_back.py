"""Taking a request back from another node's queue, before a back end begins with it.

A node that stops cannot tell whether what it has sent on waits or runs. The gateway can: it
refuses what waits, over the request's own connection, and lets go on what runs.
"""

from __future__ import annotations

import logging

import anyio

from pewtertack.node.gateway.hop import withdrawal
from pewtertack.node.http.connection import ExchangeBrokenError
from pewtertack.node.http.cycle import LOGGER
from pewtertack.node.proxy.upstream import ConnectionStore
from pewtertack.routing.outcomes import BackendUnreachableError

TAKE_BACK_SECONDS = 0.3
"""For connection and answer together; a gateway out of reach refuses nothing in time."""

logger = logging.getLogger(LOGGER)


async def take_back(connections: ConnectionStore, gateway: str, request_id: str) -> None:
    """Ask the gateway at ``ip:port`` to refuse the request if it still waits there.

    Whether it did is told by the answer to the request itself.
    """
    try:
        with anyio.move_on_after(TAKE_BACK_SECONDS):
            await _ask(connections, gateway, request_id)
    except (BackendUnreachableError, ExchangeBrokenError) as error:
        logger.warning("a request could not be taken back: %s", error)


async def _ask(connections: ConnectionStore, gateway: str, request_id: str) -> None:
    connection = await connections.take(gateway, TAKE_BACK_SECONDS)
    try:
        await connection.exchange(withdrawal(gateway, request_id))
        await connection.read_whole()
    finally:
        connections.give_back(connection, long_lived=True)
