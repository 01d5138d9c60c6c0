"""A cold back end and an evacuated zone, over real sockets: proxy, gateways, back ends."""

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
"""4.0 a second and half as many more."""
ALLOWED = GRANTED + SLOTS
"""The slack holds what has a slot and reaches the back end later."""


class ToldBackend:
    """A back end that notes its requests; its health answers tell what the test says."""

    def __init__(self, cold_milliseconds: str) -> None:
        self.cold_milliseconds = cold_milliseconds
        self.questions = 0
        self.requests: list[float] = []
        self.hold = asyncio.Event()
        self.hold.set()

    async def answer(self, _reader: Any, writer: Any, head: str) -> bool:
        if head.startswith("get /health "):
            self.questions += 1
            told = f"x-cold-for: {self.cold_milliseconds}\r\n"
            writer.write(f"HTTP/1.1 200 OK\r\n{told}content-length: 0\r\n\r\n".encode())
            return True
        self.requests.append(time.monotonic())
        await self.hold.wait()
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        return True

    def most_in_a_second(self) -> int:
        times = self.requests
        return max((sum(0 <= at - begin < 1.0 for at in times) for begin in times), default=0)


class TwoZonesTest(ProxyTestCase):
    """Two zones, a back end with its node in each, and a proxy in the first."""

    async def asyncSetUp(self) -> None:
        self.backends: list[ToldBackend] = []
        self.gateways: list[GatewayApplication] = []
        self.machines: list[Machine] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.settings = configuration(
            route(timeout=2.0, repeatable=True),
            services=(service(cold_rate=COLD_RATE, cold_start=1.5, health_path="/health"),),
        )
        self.proxy = ProxyApplication(time.monotonic, Random(7), edge=EDGE)

    async def start_zone(self, zone: str, cold_milliseconds: str = "0") -> ToldBackend:
        told = ToldBackend(cold_milliseconds)
        address = await RawBackend(told.answer).start(self)
        place = GatewaySettings(address, "logbook", zone, cold_overage=1.5, cold_slack=SLOTS)
        gateway = GatewayApplication(time.monotonic, place, EDGE)
        self.backends.append(told)
        self.gateways.append(gateway)
        name = f"{zone}-1"
        served = await self.serve(gateway)
        self.machines.append(
            Machine(
                name, MachineRole.BACKEND, zone, address, "logbook", gateway=served, slots=SLOTS
            )
        )
        watch = asyncio.create_task(gateway.run())
        self.addAsyncCleanup(self.end, watch)
        return told

    async def end(self, task: Any) -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def begin(self) -> str:
        self.use(self.settings)
        listed = MachineList(1, tuple(self.machines))
        for user in (self.proxy, *self.gateways):
            user.use_machines(listed)
        self.proxy.set_serving(True)
        return await self.serve(self.proxy)

    def use(self, settings: ResolvedConfiguration) -> None:
        for user in (self.proxy, *self.gateways):
            user.use_configuration(settings)

    def evacuate(self, *zones: str) -> None:
        self.use(msgspec.structs.replace(self.settings, evacuated=frozenset(zones)))

    async def until(self, condition: Any) -> None:
        async with asyncio.timeout(3.0):
            while not condition():
                await asyncio.sleep(0.01)


class ColdBackendTest(TwoZonesTest):
    async def calls(self, address: str, count: int) -> list[int]:
        answers = await asyncio.gather(*(raw_call(address, request_bytes()) for _ in range(count)))
        return [answer.status for answer in answers]

    async def test_it_gets_no_more_than_it_bears_and_the_rest_is_refused_truly(self) -> None:
        told = await self.start_zone("ikeja", cold_milliseconds="60000")
        address = await self.begin()
        await self.calls(address, 2)  # how long it takes is known from now on
        await asyncio.sleep(1.1)
        told.requests.clear()
        statuses = await self.calls(address, 40)
        self.assertLessEqual(told.most_in_a_second(), ALLOWED)
        self.assertEqual(statuses.count(200), len(told.requests))
        self.assertEqual(statuses.count(200) + statuses.count(503), 40)
        self.assertGreaterEqual(statuses.count(200), GRANTED)

    async def test_one_that_says_it_is_warm_gets_all(self) -> None:
        told = await self.start_zone("ikeja")
        address = await self.begin()
        await self.until(lambda: not self.gateways[0].cold_starts()[0].is_cold(time.monotonic()))
        await self.calls(address, 4)  # how long it takes is known from now on
        self.assertEqual(await self.calls(address, 20), [200] * 20)
        self.assertGreater(told.most_in_a_second(), ALLOWED)

    async def test_turning_cold_later_is_noticed_by_asking_it(self) -> None:
        told = await self.start_zone("ikeja")
        address = await self.begin()
        await self.until(lambda: told.questions == 1)
        await self.calls(address, 10)
        told.cold_milliseconds = "60000"
        asked = told.questions
        await self.until(lambda: told.questions > asked)
        await asyncio.sleep(1.1)  # what it got while it was warm is a second ago
        told.requests.clear()
        await self.calls(address, 40)
        self.assertLessEqual(told.most_in_a_second(), ALLOWED)

    async def test_without_its_own_word_a_start_is_cold_for_as_long_as_its_service_says(
        self,
    ) -> None:
        told = await self.start_zone("ikeja", cold_milliseconds="soon")
        address = await self.begin()
        await self.calls(address, 30)
        self.assertLessEqual(told.most_in_a_second(), ALLOWED)
        await asyncio.sleep(1.5)
        self.assertEqual(await self.calls(address, 20), [200] * 20)


class EvacuatedZoneTest(TwoZonesTest):
    async def test_requests_go_to_the_other_zone_until_it_is_taken_back(self) -> None:
        near, far = await self.start_zone("ikeja"), await self.start_zone("yaba")
        address = await self.begin()
        await self.until(lambda: near.questions and far.questions)
        self.assertEqual((await raw_call(address, request_bytes())).status, 200)
        self.assertEqual((len(near.requests), len(far.requests)), (1, 0))
        self.evacuate("ikeja")
        for _ in range(4):
            self.assertEqual((await raw_call(address, request_bytes())).status, 200)
        self.assertEqual((len(near.requests), len(far.requests)), (1, 4))
        self.evacuate()
        for _ in range(6):
            self.assertEqual((await raw_call(address, request_bytes())).status, 200)
        self.assertGreater(len(near.requests), 1)

    async def test_a_gateway_there_refuses_whom_the_news_has_not_reached(self) -> None:
        near, far = await self.start_zone("ikeja"), await self.start_zone("yaba")
        address = await self.begin()
        self.gateways[0].use_configuration(
            msgspec.structs.replace(self.settings, evacuated=frozenset({"ikeja"}))
        )
        for _ in range(4):
            self.assertEqual((await raw_call(address, request_bytes())).status, 200)
        self.assertEqual((len(near.requests), len(far.requests)), (0, 4))
        self.assertFalse(await takes_requests(self.machines[0].gateway))

    async def test_what_waits_there_is_moved_and_what_runs_is_answered(self) -> None:
        near, far = await self.start_zone("ikeja"), await self.start_zone("yaba")
        address = await self.begin()
        await self.until(lambda: near.questions and far.questions)
        self.proxy.use_machines(MachineList(2, tuple(self.machines[:1])))
        near.hold.clear()
        calls = [asyncio.create_task(raw_call(address, request_bytes())) for _ in range(SLOTS)]
        await self.until(lambda: len(near.requests) == SLOTS)
        waits = asyncio.create_task(raw_call(address, request_bytes()))
        await self.until(lambda: self.gateways[0].in_flight == SLOTS + 1)
        self.proxy.use_machines(MachineList(3, tuple(self.machines)))
        self.evacuate("ikeja")
        async with asyncio.timeout(1.0):
            self.assertEqual((await waits).status, 200)
        self.assertEqual((len(near.requests), len(far.requests)), (SLOTS, 1))
        near.hold.set()
        self.assertEqual([(await call).status for call in calls], [200] * SLOTS)

    async def test_with_every_zone_evacuated_nothing_is_sent_and_callers_hear_so_at_once(
        self,
    ) -> None:
        near = await self.start_zone("ikeja")
        address = await self.begin()
        self.evacuate("ikeja")
        began = time.monotonic()
        answer = await raw_call(address, request_bytes())
        self.assertLess(time.monotonic() - began, 0.5)
        self.assertEqual((answer.status, answer.headers["x-outcome"]), (503, "not-run"))
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(near.requests, [])

    async def test_taken_back_it_is_cold_until_it_says_otherwise(self) -> None:
        near = await self.start_zone("ikeja")
        await self.begin()
        await self.until(lambda: near.questions == 1)
        near.cold_milliseconds = "60000"
        self.evacuate("ikeja")
        self.evacuate()
        cold = self.gateways[0].cold_starts()[0]
        self.assertTrue(cold.is_cold(time.monotonic()))
        await self.until(lambda: near.questions == 2)
        await self.until(lambda: cold.is_cold(time.monotonic() + 50.0))  # its answer is read
