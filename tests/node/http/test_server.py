"""The server inside a node's process: it stops when told and keeps its date."""

import asyncio
import socket
import unittest
from typing import Any
from unittest import mock

import anyio

from pewtertack.node.http import server as http_server
from tests.node.processes import get


async def answer(scope: Any, receive: Any, send: Any) -> None:
    headers = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body"})


class HttpServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.server = http_server.HttpServer(answer, 5.0)
        self.task = asyncio.create_task(self.server.serve([listener]))

    async def stop(self) -> None:
        self.server.should_exit = True
        with anyio.fail_after(60):
            await self.task

    async def test_it_stops_when_told_without_looking_now_and_then(self) -> None:
        with mock.patch.object(http_server, "DATE_SECONDS", 3600.0):
            self.assertEqual((await get(self.address, "/"))[0], 200)
            await self.stop()

    async def test_the_date_of_its_answers_goes_on(self) -> None:
        with (
            mock.patch.object(http_server, "DATE_SECONDS", 0.001),
            mock.patch("pewtertack.node.http.server.time.time", return_value=0.0) as clock,
            anyio.fail_after(60),
        ):
            for date in (b"Thu, 01 Jan 1970 00:00:00 GMT", b"Fri, 02 Jan 1970 00:00:00 GMT"):
                while (await get(self.address, "/"))[1][b"date"] != date:
                    pass
                clock.return_value += 86400.0
        await self.stop()
