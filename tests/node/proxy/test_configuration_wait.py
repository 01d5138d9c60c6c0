"""Requests without a matching route while a newer configuration is on its way."""

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


class ConfigurationWaitProxyTest(ProxyTestCase):
    async def asyncSetUp(self) -> None:
        self.lag = Lag.COMING
        self.address = await self.start(self.backend, settings=OLD)
        self.proxy.configuration_wait.lag = lambda: self.lag

    async def backend(self, _scope: Any, _receive: Any, send: Any) -> None:
        await respond(send, body=b"served")

    async def call(self, path: str, *headers: str) -> tuple[Answer, float]:
        started_at = time.monotonic()
        answer = await raw_call(self.address, request_bytes("GET", path, headers=headers))
        return answer, time.monotonic() - started_at

    def apply_new_configuration(self) -> None:
        self.proxy.use_configuration(NEW)
        self.lag = Lag.NONE

    async def test_a_request_is_served_if_the_newer_configuration_arrives_in_time(self) -> None:
        asyncio.get_running_loop().call_later(0.2, self.apply_new_configuration)
        answer, _ = await self.call("/new/x", "x-deadline-ms: 5000")
        self.assertEqual((answer.status, answer.body), (200, b"served"))

    async def test_a_request_may_be_retried_if_the_newer_configuration_is_late(self) -> None:
        answer, seconds = await self.call("/new/x", "x-deadline-ms: 800")
        self.assertEqual((answer.status, answer.headers["x-outcome"]), (503, "not-run"))
        self.assertIn(b"configuration-behind", answer.body)
        self.assertIn("retry-after", answer.headers)
        self.assertLess(seconds, 0.6)

    async def test_a_request_without_a_deadline_waits_at_most_max_wait_seconds(self) -> None:
        answer, seconds = await self.call("/new/x")
        self.assertEqual(answer.status, 503)
        self.assertLess(seconds, MAX_WAIT_SECONDS + 0.5)

    async def test_a_request_is_refused_at_once_if_the_newer_configuration_was_refused(
        self,
    ) -> None:
        self.lag = Lag.REFUSED
        answer, seconds = await self.call("/new/x", "x-deadline-ms: 5000")
        self.assertEqual(answer.status, 503)
        self.assertLess(seconds, 0.5)

    async def test_route_not_found_at_once_without_a_newer_configuration(self) -> None:
        self.lag = Lag.NONE
        answer, seconds = await self.call("/new/x", "x-deadline-ms: 5000")
        self.assertEqual(answer.status, 404)
        self.assertLess(seconds, 0.5)

    async def test_route_not_found_if_the_newer_configuration_lacks_it_too(self) -> None:
        asyncio.get_running_loop().call_later(0.1, self.apply_new_configuration)
        answer, _ = await self.call("/nowhere", "x-deadline-ms: 5000")
        self.assertEqual(answer.status, 404)

    async def test_requests_above_the_limit_are_refused_at_once(self) -> None:
        calls = [self.call("/new/x", "x-deadline-ms: 16000") for _ in range(MAX_WAITING + 20)]
        with mock.patch.object(configuration_wait, "MAX_WAIT_SECONDS", 4.0):
            answers = await asyncio.gather(*calls)
        self.assertEqual({answer.status for answer, _ in answers}, {503})
        self.assertEqual(sum(seconds < 3.0 for _, seconds in answers), 20)
        self.assertEqual(self.proxy.configuration_wait.waiting, 0)

    async def test_requests_with_a_route_are_served_meanwhile(self) -> None:
        waiting = asyncio.create_task(self.call("/new/x", "x-deadline-ms: 5000"))
        answer, seconds = await self.call("/old/x")
        self.assertEqual(answer.status, 200)
        self.assertLess(seconds, 0.5)
        await waiting


class ConfigurationWaitTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_wait_takes_at_most_a_share_of_the_time_left(self) -> None:
        wait = ConfigurationWait(time.monotonic)
        wait.lag = lambda: Lag.COMING
        started_at = time.monotonic()
        self.assertFalse(await wait.wait(started_at + 0.4))
        self.assertLess(time.monotonic() - started_at, 0.3)
        self.assertFalse(await wait.wait(started_at - 1.0))


if __name__ == "__main__":
    unittest.main()
