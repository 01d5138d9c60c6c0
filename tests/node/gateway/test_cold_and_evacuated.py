"""Cold back ends and evacuated zones, with proxy, gateways and back ends on loopback sockets."""

import asyncio
import time
from random import Random
from typing import Any

import msgspec

from pewtertack.core.configuration.resolved import ResolvedConfiguration
from pewtertack.core.machines import Machine, MachineList, MachineRole
from pewtertack.node.gateway.application import GatewayApplication, GatewaySettings
from pewtertack.node.proxy.application import ProxyApplication
from pewtertack.node.proxy.edge import EdgeHeaders
from pewtertack.node.proxy.probing import takes_requests
from tests.node.proxy.harness import ProxyTestCase, RawBackend, raw_call, request_bytes
from tests.routing.samples import configuration, route, service

EDGE = EdgeHeaders(cold_milliseconds=b"x-cold-for")
COLD_RATE = 4.0
SLOTS = 2
GRANTED = 6
"""Requests a second: ``COLD_RATE`` times the overage of 1.5."""
ALLOWED = GRANTED + SLOTS
"""The slack covers requests that have a slot and reach the back end later."""


class ColdBackend:
    """A back end that records its requests and reports a given cold time in health responses."""

    def __init__(self, cold_milliseconds: str) -> None:
        self.cold_milliseconds = cold_milliseconds
        self.query_count = 0
        self.requests: list[float] = []
        self.resume = asyncio.Event()
        self.resume.set()

    async def answer(self, _reader: Any, writer: Any, head: str) -> bool:
        if head.startswith("get /health "):
            self.query_count += 1
            cold_header = f"x-cold-for: {self.cold_milliseconds}\r\n"
            writer.write(f"HTTP/1.1 200 OK\r\n{cold_header}content-length: 0\r\n\r\n".encode())
            return True
        self.requests.append(time.monotonic())
        await self.resume.wait()
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        return True

    def max_requests_per_second(self) -> int:
        times = self.requests
        return max((sum(0 <= at - begin < 1.0 for at in times) for begin in times), default=0)


class TwoZonesTest(ProxyTestCase):
    """Two zones with a back end and its gateway in each, and a proxy in the first zone."""

    async def asyncSetUp(self) -> None:
        self.backends: list[ColdBackend] = []
        self.gateways: list[GatewayApplication] = []
        self.machines: list[Machine] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.settings = configuration(
            route(timeout=2.0, repeatable=True),
            services=(service(cold_rate=COLD_RATE, cold_start=1.5, health_path="/health"),),
        )
        self.proxy = ProxyApplication(time.monotonic, Random(7), edge=EDGE)

    async def start_zone(self, zone: str, cold_milliseconds: str = "0") -> ColdBackend:
        backend = ColdBackend(cold_milliseconds)
        address = await RawBackend(backend.answer).start(self)
        gateway_settings = GatewaySettings(
            address, "logbook", zone, cold_overage=1.5, cold_slack=SLOTS
        )
        gateway = GatewayApplication(time.monotonic, gateway_settings, EDGE)
        self.backends.append(backend)
        self.gateways.append(gateway)
        name = f"{zone}-1"
        served = await self.serve(gateway)
        self.machines.append(
            Machine(
                name, MachineRole.BACKEND, zone, address, "logbook", gateway=served, slots=SLOTS
            )
        )
        watch = asyncio.create_task(gateway.run())
        self.addAsyncCleanup(self.cancel_task, watch)
        return backend

    async def cancel_task(self, task: Any) -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    @property
    def users(self) -> tuple[ProxyApplication | GatewayApplication, ...]:
        """All applications that use the machine list and the configuration."""
        return (self.proxy, *self.gateways)

    async def begin(self) -> str:
        self.apply_configuration(self.settings)
        listed = MachineList(1, tuple(self.machines))
        for user in self.users:
            user.use_machines(listed)
        self.proxy.set_serving(True)
        return await self.serve(self.proxy)

    def apply_configuration(self, settings: ResolvedConfiguration) -> None:
        for user in self.users:
            user.use_configuration(settings)

    def evacuate(self, *zones: str) -> None:
        self.apply_configuration(msgspec.structs.replace(self.settings, evacuated=frozenset(zones)))

    async def wait_until(self, condition: Any) -> None:
        async with asyncio.timeout(3.0):
            while not condition():
                await asyncio.sleep(0.01)


class ColdBackendTest(TwoZonesTest):
    async def calls(self, address: str, count: int) -> list[int]:
        answers = await asyncio.gather(*(raw_call(address, request_bytes()) for _ in range(count)))
        return [answer.status for answer in answers]

    async def test_it_gets_only_the_allowed_rate_and_the_rest_is_refused_as_not_run(self) -> None:
        backend = await self.start_zone("ikeja", cold_milliseconds="60000")
        address = await self.begin()
        await self.calls(address, 2)  # its response time is known from now on
        await asyncio.sleep(1.1)
        backend.requests.clear()
        statuses = await self.calls(address, 40)
        self.assertLessEqual(backend.max_requests_per_second(), ALLOWED)
        self.assertEqual(statuses.count(200), len(backend.requests))
        self.assertEqual(statuses.count(200) + statuses.count(503), 40)
        self.assertGreaterEqual(statuses.count(200), GRANTED)

    async def test_one_that_reports_it_is_warm_gets_all_requests(self) -> None:
        backend = await self.start_zone("ikeja")
        address = await self.begin()
        await self.wait_until(
            lambda: not self.gateways[0].accepting()[0][1].cold.is_cold(time.monotonic())
        )
        await self.calls(address, 4)  # its response time is known from now on
        self.assertEqual(await self.calls(address, 20), [200] * 20)
        self.assertGreater(backend.max_requests_per_second(), ALLOWED)

    async def test_turning_cold_later_is_noticed_by_a_query(self) -> None:
        backend = await self.start_zone("ikeja")
        address = await self.begin()
        await self.wait_until(lambda: backend.query_count == 1)
        await self.calls(address, 10)
        backend.cold_milliseconds = "60000"
        former_count = backend.query_count
        await self.wait_until(lambda: backend.query_count > former_count)
        await asyncio.sleep(1.1)  # the requests it got while warm are a second old
        backend.requests.clear()
        await self.calls(address, 40)
        self.assertLessEqual(backend.max_requests_per_second(), ALLOWED)

    async def test_without_a_report_a_started_back_end_is_cold_for_the_configured_time(
        self,
    ) -> None:
        backend = await self.start_zone("ikeja", cold_milliseconds="soon")
        address = await self.begin()
        await self.calls(address, 30)
        self.assertLessEqual(backend.max_requests_per_second(), ALLOWED)
        await asyncio.sleep(1.5)
        self.assertEqual(await self.calls(address, 20), [200] * 20)


class EvacuatedZoneTest(TwoZonesTest):
    async def test_requests_go_to_the_other_zone_until_the_evacuation_ends(self) -> None:
        near_backend, far_backend = await self.start_zone("ikeja"), await self.start_zone("yaba")
        address = await self.begin()
        await self.wait_until(lambda: near_backend.query_count and far_backend.query_count)
        self.assertEqual((await raw_call(address, request_bytes())).status, 200)
        self.assertEqual((len(near_backend.requests), len(far_backend.requests)), (1, 0))
        self.evacuate("ikeja")
        for _ in range(4):
            self.assertEqual((await raw_call(address, request_bytes())).status, 200)
        self.assertEqual((len(near_backend.requests), len(far_backend.requests)), (1, 4))
        self.evacuate()
        for _ in range(6):
            self.assertEqual((await raw_call(address, request_bytes())).status, 200)
        self.assertGreater(len(near_backend.requests), 1)

    async def test_a_gateway_in_the_zone_refuses_senders_with_an_older_configuration(self) -> None:
        near_backend, far_backend = await self.start_zone("ikeja"), await self.start_zone("yaba")
        address = await self.begin()
        self.gateways[0].use_configuration(
            msgspec.structs.replace(self.settings, evacuated=frozenset({"ikeja"}))
        )
        for _ in range(4):
            self.assertEqual((await raw_call(address, request_bytes())).status, 200)
        self.assertEqual((len(near_backend.requests), len(far_backend.requests)), (0, 4))
        self.assertFalse(await takes_requests(self.machines[0].gateway))

    async def test_waiting_requests_are_moved_and_running_ones_are_answered(self) -> None:
        near_backend, far_backend = await self.start_zone("ikeja"), await self.start_zone("yaba")
        address = await self.begin()
        await self.wait_until(lambda: near_backend.query_count and far_backend.query_count)
        self.proxy.use_machines(MachineList(2, tuple(self.machines[:1])))
        near_backend.resume.clear()
        calls = [asyncio.create_task(raw_call(address, request_bytes())) for _ in range(SLOTS)]
        await self.wait_until(lambda: len(near_backend.requests) == SLOTS)
        waits = asyncio.create_task(raw_call(address, request_bytes()))
        await self.wait_until(lambda: self.gateways[0].in_flight == SLOTS + 1)
        self.proxy.use_machines(MachineList(3, tuple(self.machines)))
        self.evacuate("ikeja")
        async with asyncio.timeout(1.0):
            self.assertEqual((await waits).status, 200)
        self.assertEqual((len(near_backend.requests), len(far_backend.requests)), (SLOTS, 1))
        near_backend.resume.set()
        self.assertEqual([(await call).status for call in calls], [200] * SLOTS)

    async def test_with_every_zone_evacuated_callers_are_refused_at_once(
        self,
    ) -> None:
        near_backend = await self.start_zone("ikeja")
        address = await self.begin()
        self.evacuate("ikeja")
        started_at = time.monotonic()
        answer = await raw_call(address, request_bytes())
        self.assertLess(time.monotonic() - started_at, 0.5)
        self.assertEqual((answer.status, answer.headers["x-outcome"]), (503, "not-run"))
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(near_backend.requests, [])

    async def test_after_the_evacuation_a_back_end_is_cold_until_it_reports_otherwise(self) -> None:
        near_backend = await self.start_zone("ikeja")
        await self.begin()
        await self.wait_until(lambda: near_backend.query_count == 1)
        near_backend.cold_milliseconds = "60000"
        self.evacuate("ikeja")
        self.evacuate()
        cold = self.gateways[0].accepting()[0][1].cold
        self.assertTrue(cold.is_cold(time.monotonic()))
        await self.wait_until(lambda: near_backend.query_count == 2)
        await self.wait_until(
            lambda: cold.is_cold(time.monotonic() + 50.0)
        )  # its health response has been read
