"""Request heads up to the limit that the configuration allows, over both nodes."""

import msgspec

from pewtertack.core.configuration.model import GUARANTEED_HEAD_BYTES
from pewtertack.node.http.heads import DEFAULT_HEAD_LIMIT
from tests.node.gateway.test_gateway import GatewayTestCase, answer_normally
from tests.node.proxy.harness import raw_call, request_bytes
from tests.routing.samples import configuration

ALLOWED_BYTES = 50_000


class LongHeadTest(GatewayTestCase):
    async def status(self, address: str, head_bytes: int) -> int:
        """Return the status of the response to a request with a head of ``head_bytes``."""
        fixed_bytes = len(request_bytes("GET", "/", b"", ("x-call: call-1", "x-long: ")))
        padding = "v" * (head_bytes - fixed_bytes)
        request = request_bytes("GET", "/", b"", ("x-call: call-1", f"x-long: {padding}"))
        return (await raw_call(address, request)).status

    def allow_head_bytes(self, head_bytes: int) -> None:
        changed = msgspec.structs.replace(configuration(), head_bytes=head_bytes)
        self.proxy.use_configuration(changed)
        for gateway in self.gateways:
            gateway.use_configuration(changed)

    async def test_the_gateway_accepts_every_head_that_the_proxy_always_accepts(self) -> None:
        self.assertEqual(DEFAULT_HEAD_LIMIT, GUARANTEED_HEAD_BYTES)
        address = await self.start_fleet(answer_normally)
        self.assertEqual(await self.status(address, DEFAULT_HEAD_LIMIT), 200)
        self.assertEqual(await self.status(address, DEFAULT_HEAD_LIMIT + 2_000), 431)

    async def test_longer_heads_are_accepted_if_the_configuration_allows_them(self) -> None:
        address = await self.start_fleet(answer_normally)
        self.assertEqual(await self.status(address, ALLOWED_BYTES), 431)
        self.allow_head_bytes(ALLOWED_BYTES)
        self.assertEqual(await self.status(address, ALLOWED_BYTES), 200)
        self.assertEqual(await self.status(address, ALLOWED_BYTES + 2_000), 431)
        self.allow_head_bytes(0)
        self.assertEqual(await self.status(address, ALLOWED_BYTES), 431)
