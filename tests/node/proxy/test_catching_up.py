"""A request without a route, at a node that knows of a newer configuration."""

import asyncio
import time
import unittest
from typing import Any
from unittest import mock

from pewtertack.core.replication.replica import Lag
from pewtertack.node.proxy import configuration_wait
from pewtertack.node.proxy.configuration_wait import (
    MAX_WAIT_SECONDS,
    MAX_WAITING,
    ConfigurationWait,
)
from tests.node.proxy.harness import Answer, ProxyTestCase, raw_call, request_bytes, respond
from tests.routing.samples import configuration, route

OLD = configuration(route(path_prefix="/old"))
NEW = configuration(route(path_prefix="/old"), route("added", path_prefix="/new"), number=2)


class CatchingUpProxyTest(ProxyTestCase):
    async def asyncSetUp(self) -> None:
        self.lag = Lag.COMING
        self.address = await self.start(self.backend, settings=OLD)
        self.proxy.configuration_wait.lag = lambda: self.lag

    async def backend(self, _scope: Any, _receive: Any, send: Any) -> None:
        await respond(send, body=b"served")

    async def call(self, path: str, *headers: str) -> tuple[Answer, float]:
        began = time.monotonic()
        answer = await raw_call(self.address, request_bytes("GET", path, headers=headers))
        return answer, time.monotonic() - began

    def swap(self) -> None:
        self.proxy.use_configuration(NEW)
        self.lag = Lag.NONE

    async def test_it_is_served_when_the_newer_one_comes_in_time(self) -> None:
        asyncio.get_running_loop().call_later(0.2, self.swap)
        answer, _ = await self.call("/new/x", "x-deadline-ms: 5000")
        self.assertEqual((answer.status, answer.body), (200, b"served"))

    async def test_it_is_told_to_come_back_when_that_takes_longer(self) -> None:
        answer, took = await self.call("/new/x", "x-deadline-ms: 800")
        self.assertEqual((answer.status, answer.headers["x-outcome"]), (503, "not-run"))
        self.assertIn(b"configuration-behind", answer.body)
        self.assertIn("retry-after", answer.headers)
        self.assertLess(took, 0.6)

    async def test_without_a_deadline_it_waits_no_longer_than_is_stated(self) -> None:
        answer, took = await self.call("/new/x")
        self.assertEqual(answer.status, 503)
        self.assertLess(took, MAX_WAIT_SECONDS + 0.5)

    async def test_it_is_told_so_at_once_where_the_newer_one_was_refused(self) -> None:
        self.lag = Lag.REFUSED
        answer, took = await self.call("/new/x", "x-deadline-ms: 5000")
        self.assertEqual(answer.status, 503)
        self.assertLess(took, 0.5)

    async def test_there_is_no_such_route_at_once_where_nothing_newer_is_known(self) -> None:
        self.lag = Lag.NONE
        answer, took = await self.call("/new/x", "x-deadline-ms: 5000")
        self.assertEqual(answer.status, 404)
        self.assertLess(took, 0.5)

    async def test_a_route_that_the_newer_one_lacks_as_well_is_not_found(self) -> None:
        asyncio.get_running_loop().call_later(0.1, self.swap)
        answer, _ = await self.call("/nowhere", "x-deadline-ms: 5000")
        self.assertEqual(answer.status, 404)

    async def test_of_many_few_wait_and_the_rest_is_refused_at_once(self) -> None:
        calls = [self.call("/new/x", "x-deadline-ms: 16000") for _ in range(MAX_WAITING + 20)]
        with mock.patch.object(configuration_wait, "MAX_WAIT_SECONDS", 4.0):
            answers = await asyncio.gather(*calls)
        self.assertEqual({answer.status for answer, _ in answers}, {503})
        self.assertEqual(sum(took < 3.0 for _, took in answers), 20)
        self.assertEqual(self.proxy.configuration_wait.waiting, 0)

    async def test_other_requests_are_served_meanwhile(self) -> None:
        waiting = asyncio.create_task(self.call("/new/x", "x-deadline-ms: 5000"))
        answer, took = await self.call("/old/x")
        self.assertEqual(answer.status, 200)
        self.assertLess(took, 0.5)
        await waiting


class CatchingUpTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_more_than_a_share_of_the_time_left_is_spent(self) -> None:
        waits = ConfigurationWait(time.monotonic)
        waits.lag = lambda: Lag.COMING
        began = time.monotonic()
        self.assertFalse(await waits.wait(began + 0.4))
        self.assertLess(time.monotonic() - began, 0.3)
        self.assertFalse(await waits.wait(began - 1.0))


if __name__ == "__main__":
    unittest.main()
