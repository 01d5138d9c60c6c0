"""Gateways that pace long responses report the length of their link queue to senders."""

import asyncio
import unittest
from typing import Any, ClassVar
from unittest import mock

from pewtertack.core.policies import LongBodyPolicy, Policies
from pewtertack.node.gateway.application import GatewaySettings
from pewtertack.node.pacing import LinkPacer
from pewtertack.routing.backend import Backend
from tests.node.gateway.test_gateway import GatewayTestCase, header
from tests.node.proxy.harness import answer_bytes, raw_call, request_bytes

GET = request_bytes(headers=("x-call: call-1",))
RESPONSE_BYTES = 60_000
LINK_MBPS = 10.0


class LargeResponses:
    """A back end whose responses have a given length."""

    def __init__(self, length: int) -> None:
        self.length = length

    async def __call__(self, _reader: Any, writer: Any, head: str) -> bool:
        call = b"x-call: " + header(head, "x-call").encode()
        writer.write(answer_bytes(bytes(self.length), call))
        return True


class LinkReportsTest(GatewayTestCase):
    extra_arguments: ClassVar[dict[str, Any]] = {
        "policies": Policies(long_bodies=LongBodyPolicy.IN_TURNS)
    }

    async def start_one(self, length: int, megabits: float) -> str:
        """Run one gateway with a link of ``megabits`` and a proxy; return the proxy's address."""

        def make_settings(address: str, service: str, zone: str) -> GatewaySettings:
            return GatewaySettings(address, service, zone, link_mbps=megabits)

        with mock.patch("tests.node.gateway.test_gateway.GatewaySettings", make_settings):
            return await self.start_fleet(LargeResponses(length))

    @property
    def backend(self) -> Backend:
        """The proxy's state of the only back end."""
        return self.proxy._context.dispatcher.service("logbook").backends[0]

    @property
    def pacer(self) -> LinkPacer:
        pacer = self.gateways[0]._context.pacer
        assert pacer is not None
        return pacer

    async def test_a_sender_learns_the_queue_length_and_the_route_s_transfer_time(self) -> None:
        address = await self.start_one(RESPONSE_BYTES, LINK_MBPS)
        await raw_call(address, GET)
        self.assertEqual(self.proxy._context.dispatcher.service("logbook")._long_routes, {})
        answers = await asyncio.gather(*(raw_call(address, GET) for _ in range(3)))
        self.assertEqual([len(item.body) for item in answers], [RESPONSE_BYTES] * 3)
        self.assertEqual([item for item in answers[0].headers if "pewtertack" in item], [])
        (long_route,) = self.proxy._context.dispatcher.service("logbook")._long_routes.values()
        transfer = RESPONSE_BYTES / self.pacer.scheduler.bytes_per_second
        self.assertAlmostEqual(long_route.transfer_seconds, transfer, places=2)
        self.assertGreater(self.backend.link_free_at, 0.0)

    async def test_a_refusal_reports_the_queue_too(self) -> None:
        address = await self.start_one(100, LINK_MBPS)
        self.pacer.note_sent(2_000_000)
        self.gateways[0].start_leaving(0.0)
        answer = await raw_call(address, GET)
        self.assertEqual(answer.status, 503)
        self.assertGreater(self.backend.link_wait(self.pacer.now()), 1.0)

    async def test_nothing_is_reported_without_pacing_or_long_responses(self) -> None:
        for length, megabits in ((RESPONSE_BYTES, 0.0), (100, LINK_MBPS)):
            with self.subTest(length):
                address = await self.start_one(length, megabits)
                for _ in range(2):
                    await raw_call(address, GET)
                    await asyncio.sleep(0.01)
                self.assertEqual(self.backend.link_free_at, 0.0)

    async def test_an_invalid_report_is_ignored_and_counted(self) -> None:
        address = await self.start_one(100, LINK_MBPS)
        with mock.patch.object(LinkPacer, "link_report", lambda _self, _route: "soon"):
            answer = await raw_call(address, GET)
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.backend.link_free_at, 0.0)
        self.assertEqual(list(self.proxy._metrics._invalid_link_reports.values.values()), [1.0])


if __name__ == "__main__":
    unittest.main()
