"""Heads of requests up to what the configuration allows, over both nodes."""

import msgspec

from pewtertack.core.configuration.model import GUARANTEED_HEAD_BYTES
from pewtertack.node.http.heads import DEFAULT_HEAD_LIMIT
from tests.node.gateway.test_gateway import GatewayTestCase, answer_well
from tests.node.proxy.harness import raw_call, request_bytes
from tests.routing.samples import configuration

ALLOWED = 50_000


class LongHeadTest(GatewayTestCase):
    async def status(self, address: str, head_bytes: int) -> int:
        """Return the status of a request with a head of so many bytes."""
        short = len(request_bytes("GET", "/", b"", ("x-call: call-1", "x-long: ")))
        long = "v" * (head_bytes - short)
        request = request_bytes("GET", "/", b"", ("x-call: call-1", f"x-long: {long}"))
        return (await raw_call(address, request)).status

    def allow(self, head_bytes: int) -> None:
        allowing = msgspec.structs.replace(configuration(), head_bytes=head_bytes)
        self.proxy.use_configuration(allowing)
        for gateway in self.gateways:
            gateway.use_configuration(allowing)

    async def test_what_the_proxy_always_takes_the_gateway_takes_too(self) -> None:
        self.assertEqual(DEFAULT_HEAD_LIMIT, GUARANTEED_HEAD_BYTES)
        address = await self.start_fleet(answer_well)
        self.assertEqual(await self.status(address, DEFAULT_HEAD_LIMIT), 200)
        self.assertEqual(await self.status(address, DEFAULT_HEAD_LIMIT + 2_000), 431)

    async def test_longer_ones_are_taken_where_the_configuration_allows_them(self) -> None:
        address = await self.start_fleet(answer_well)
        self.assertEqual(await self.status(address, ALLOWED), 431)
        self.allow(ALLOWED)
        self.assertEqual(await self.status(address, ALLOWED), 200)
        self.assertEqual(await self.status(address, ALLOWED + 2_000), 431)
        self.allow(0)
        self.assertEqual(await self.status(address, ALLOWED), 431)
