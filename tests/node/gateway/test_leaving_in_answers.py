"""Back ends that say only in their answers that they leave: proxies, gateways and back ends."""

import time
from random import Random
from typing import Any

import msgspec

from pewtertack.core.machines import Machine, MachineList, MachineRole
from pewtertack.node.gateway.application import GatewayApplication, GatewaySettings
from pewtertack.node.proxy.application import ProxyApplication
from pewtertack.node.proxy.edge import EdgeHeaders
from tests.node.limited_backend import LEAVING_HEADER, STATE_HEADER, LimitedBackend
from tests.node.proxy.harness import ProxyTestCase, raw_call, request_bytes
from tests.routing.samples import configuration, route

EDGE = EdgeHeaders(leaving=LEAVING_HEADER.encode())


class LeavingInAnswersTest(ProxyTestCase):
    """Two back ends with their gateways; no machine list ever says that one leaves."""

    async def asyncSetUp(self) -> None:
        self.settings = configuration(route(timeout=2.0, repeatable=True))
        self.machines: list[Machine] = []
        self.gateways: list[GatewayApplication] = []
        self.proxies: list[ProxyApplication] = []
        self.leaving, self.other = await self.start_backend(), await self.start_backend()
        self.list_machines(1, *self.gateways)

    async def start_backend(self) -> LimitedBackend:
        backend = LimitedBackend()
        await backend.start()
        self.addAsyncCleanup(backend.stop)
        settings = GatewaySettings(backend.address, "logbook", "ikeja")
        gateway = GatewayApplication(time.monotonic, settings, EDGE)
        gateway.use_configuration(self.settings)
        self.gateways.append(gateway)
        name = f"b{len(self.machines)}"
        address = backend.address
        served = await self.serve(gateway)
        self.machines.append(
            Machine(
                name,
                MachineRole.BACKEND,
                "ikeja",
                address,
                "logbook",
                gateway=served,
                slots=4,
                started_at=1000,
            )
        )
        return backend

    async def start_proxy(self, **settings: Any) -> str:
        proxy = ProxyApplication(time.monotonic, Random(7), edge=EDGE, **settings)
        proxy.use_configuration(self.settings)
        self.list_machines(1, proxy)
        proxy.set_serving(True)
        self.proxies.append(proxy)
        return await self.serve(proxy)

    def list_machines(self, number: int, *users: Any) -> None:
        for user in users or (*self.proxies, *self.gateways):
            user.use_machines(MachineList(number, tuple(self.machines)))

    async def call(self, address: str, count: int = 20) -> None:
        for _ in range(count):
            self.assertEqual((await raw_call(address, request_bytes())).status, 200)

    async def call_until_told(self, address: str) -> None:
        """Send requests until the leaving back end has answered one, then forget its arrivals."""
        while not self.leaving.arrivals:
            await self.call(address, 1)
        self.leaving.arrivals.clear()

    async def test_a_proxy_sends_nothing_after_an_answer_that_says_so(self) -> None:
        for header in (LEAVING_HEADER, STATE_HEADER):
            with self.subTest(header):
                await self.asyncSetUp()
                self.leaving.leaving_header = header
                address = await self.start_proxy()
                await self.call_until_told(address)
                await self.call(address)
                self.assertEqual(self.leaving.arrivals, [])

    async def test_other_proxies_are_told_by_the_gateway(self) -> None:
        self.leaving.leaving_header = LEAVING_HEADER
        await self.call_until_told(await self.start_proxy())
        await self.call(await self.start_proxy())
        self.assertEqual(self.leaving.arrivals, [])

    async def test_the_node_is_told_once_so_that_it_can_tell_others(self) -> None:
        self.leaving.leaving_header = LEAVING_HEADER
        address = await self.start_proxy()
        told: list[tuple[str, str, int]] = []
        self.proxies[0].set_leaving_observer(lambda *notice: told.append(notice))
        await self.call(address, 10)
        self.assertEqual(told, [("b0", self.leaving.address, 1000)])

    async def test_a_lapsed_entry_that_returns_is_not_taken_for_a_staying_back_end(self) -> None:
        self.leaving.leaving_header = LEAVING_HEADER
        address = await self.start_proxy()
        await self.call_until_told(address)
        machines, self.machines = self.machines, self.machines[1:]
        self.list_machines(2, *self.proxies)
        self.machines = machines
        self.list_machines(3, *self.proxies)
        self.leaving.leaving_header = ""
        await self.call(address)
        self.assertEqual(self.leaving.arrivals, [])

    async def test_the_next_start_under_the_name_gets_requests(self) -> None:
        self.leaving.leaving_header = LEAVING_HEADER
        address = await self.start_proxy()
        await self.call_until_told(address)
        self.leaving.leaving_header = ""
        self.machines[0] = msgspec.structs.replace(self.machines[0], started_at=2000)
        self.list_machines(2)
        await self.call(address)
        self.assertGreater(len(self.leaving.arrivals), 0)

    async def test_it_is_believed_in_an_answer_that_sheds_the_request(self) -> None:
        self.leaving.leaving_header = LEAVING_HEADER
        self.leaving.status = "503 Service Unavailable"
        self.leaving.more_headers = ("x-outcome: not-run",)
        address = await self.start_proxy()
        await self.call_until_told(address)
        await self.call(address)
        self.assertEqual(self.leaving.arrivals, [])
