"""The HTTP listeners of the stand-in services."""

import socket
import unittest

import anyio
import httpcore

from pewtertack.lab.asgi import HandlerTable
from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.serving import Listener
from pewtertack.settings import Address

ANY = Address("127.0.0.1", 0)


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    async def test_connections_beyond_the_limit_are_reset(self) -> None:
        listener = Listener(HandlerTable({}), ANY, connection_limit=1)
        async with anyio.create_task_group() as task_group:
            await listener.open(task_group)
            url = f"http://{listener.address}/"
            async with httpcore.AsyncConnectionPool() as pool, pool.stream("GET", url):
                with self.assertRaises((httpcore.NetworkError, httpcore.ProtocolError)):
                    await pool.request("GET", url)
            listener.close()

    async def test_an_address_in_use_raises_a_usage_error(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener_socket:
            listener = Listener(HandlerTable({}), Address(*listener_socket.getsockname()))
            async with anyio.create_task_group() as task_group:
                with self.assertRaises(LabUsageError):
                    await listener.open(task_group)
