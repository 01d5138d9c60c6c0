"""Back ends that name limits of requests a second: proxies, gateways and back ends on loopback."""

import asyncio
import time
from random import Random
from typing import Any

from pewtertack.core.machines import Machine, MachineList, MachineRole
from pewtertack.events import Event
from pewtertack.node.gateway.application import GatewayApplication, GatewaySettings
from pewtertack.node.gateway.hop import KNOWN_RATE, RATE
from pewtertack.node.proxy.application import ProxyApplication
from pewtertack.node.proxy.edge import EdgeHeaders
from tests.node.limited_backend import LIMIT_HEADER, LimitedBackend
from tests.node.proxy.harness import Answer, ProxyTestCase, raw_call, request_bytes
from tests.routing.samples import configuration, route, service

EDGE = EdgeHeaders(rate_limit=LIMIT_HEADER.encode(), cold_milliseconds=b"x-cold-for")
SLOTS = 4
OLD_HOP_HEADERS = frozenset({KNOWN_RATE, RATE})
"""Headers that nodes of an older version neither send nor read."""


class Restartable:
    """An application that is replaced, as by a restart of its process at the same address."""

    def __init__(self, application: Any) -> None:
        self.application = application

    def __getattr__(self, name: str) -> Any:
        return getattr(self.application, name)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        await self.application(scope, receive, send)


class OlderGateway(Restartable):
    """A gateway of an older version: it passes limits on and neither keeps nor reports them."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        async def send_without_report(message: Any) -> None:
            if "headers" in message:
                headers = [item for item in message["headers"] if item[0] not in OLD_HOP_HEADERS]
                message = {**message, "headers": headers}
            await send(message)

        headers = [item for item in scope["headers"] if item[0] not in OLD_HOP_HEADERS]
        await self.application({**scope, "headers": headers}, receive, send_without_report)


class RateLimitTest(ProxyTestCase):
    async def asyncSetUp(self) -> None:
        self.events: list[tuple[Event, dict[str, Any]]] = []
        self.backends: list[LimitedBackend] = []
        self.gateways: list[Restartable] = []
        self.machines: list[Machine] = []
        self.settings = configuration(
            route(timeout=2.0, target_latency=0.5, repeatable=True),
            services=(service(cold_rate=0.0, health_path="/health"),),
        )

    def record(self, event: Event, **fields: Any) -> None:
        self.events.append((event, fields))

    def logged(self, event: Event) -> list[dict[str, Any]]:
        return [fields for logged, fields in self.events if logged is event]

    def make_gateway(self, address: str) -> GatewayApplication:
        settings = GatewaySettings(address, "logbook", "ikeja")
        gateway = GatewayApplication(time.monotonic, settings, EDGE, self.record)
        gateway.use_configuration(self.settings)
        gateway.use_machines(MachineList(1, tuple(self.machines)))
        return gateway

    async def start_backend(self, kind: type[Restartable] = Restartable) -> LimitedBackend:
        backend = LimitedBackend()
        await backend.start()
        self.addAsyncCleanup(backend.stop)
        gateway = kind(self.make_gateway(backend.address))
        self.machines.append(
            Machine(
                f"b{len(self.machines)}",
                MachineRole.BACKEND,
                "ikeja",
                backend.address,
                "logbook",
                gateway=await self.serve(gateway),
                slots=SLOTS,
            )
        )
        self.backends.append(backend)
        self.gateways.append(gateway)
        return backend

    async def start_proxy(self, edge: EdgeHeaders = EDGE, seed: int = 7) -> str:
        proxy = ProxyApplication(time.monotonic, Random(seed), edge=edge)
        proxy.use_configuration(self.settings)
        self.list_machines(proxy)
        proxy.set_serving(True)
        self.proxies = [*getattr(self, "proxies", []), proxy]
        return await self.serve(proxy)

    def list_machines(self, *users: Any, number: int = 1) -> None:
        for user in users or (*self.proxies, *self.gateways):
            user.use_machines(MachineList(number, tuple(self.machines)))

    def restart_gateway(self, index: int = 0) -> None:
        self.gateways[index].application = self.make_gateway(self.backends[index].address)
        self.list_machines(self.gateways[index])

    async def call(self, address: str, deadline_ms: int = 2000) -> Answer:
        return await raw_call(address, request_bytes(headers=(f"x-deadline-ms: {deadline_ms}",)))

    async def call_many(self, address: str, count: int, deadline_ms: int = 2000) -> list[Answer]:
        return await asyncio.gather(*(self.call(address, deadline_ms) for _ in range(count)))

    async def test_a_fresh_gateway_is_told_the_limit_by_who_knows_it(self) -> None:
        backend = await self.start_backend()
        address = await self.start_proxy()
        backend.limits = ("2",)
        await self.call(address)
        self.restart_gateway()
        backend.arrivals.clear()
        answers = await self.call_many(address, 12, 900)
        self.assertLessEqual(len(backend.arrivals), 3)
        self.assertGreaterEqual([answer.status for answer in answers].count(503), 9)
        await asyncio.sleep(0.6)
        self.assertEqual((await self.call(address)).status, 200)
        sources = [fields["source"] for fields in self.logged(Event.BACKEND_RATE_NAMED)]
        self.assertEqual(sources, ["named", "reported"])

    async def test_what_was_named_before_a_start_neither_holds_nor_comes_back(self) -> None:
        backend = await self.start_backend()
        address = await self.start_proxy()
        self.machines[0] = self.with_start(1000)
        self.list_machines(number=2)
        backend.limits = ("1",)
        await self.call(address)
        backend.limits = ()
        self.machines[0] = self.with_start(2000)
        self.list_machines(self.gateways[0], number=3)  # the proxy still knows the former start
        answers = await self.call_many(address, 8, 900)
        self.assertEqual([answer.status for answer in answers], [200] * 8)

    def with_start(self, started_at: int) -> Machine:
        machine = self.machines[0]
        return Machine(
            machine.name,
            machine.role,
            machine.zone,
            machine.address,
            machine.service,
            gateway=machine.gateway,
            slots=SLOTS,
            started_at=started_at,
        )

    async def test_a_limit_that_is_no_number_is_logged_once_and_changes_nothing(self) -> None:
        backend = await self.start_backend()
        address = await self.start_proxy()
        for limits in (("-3",), ("nan",), ("4", "4"), ("",), ("9" * 30,)):
            backend.limits = limits
            self.events.clear()
            answers = [await self.call(address) for _ in range(3)]
            self.assertEqual([answer.status for answer in answers], [200] * 3, limits)
            (event,) = self.logged(Event.BACKEND_RATE_INVALID)
            self.assertIsNone(event["rate"])
        backend.limits = ("5",)
        await self.call(address)
        backend.limits = ("none",)
        await self.call(address)
        self.assertEqual(self.logged(Event.BACKEND_RATE_INVALID)[-1]["rate"], 5.0)

    async def test_a_huge_limit_limits_nothing(self) -> None:
        backend = await self.start_backend()
        address = await self.start_proxy()
        backend.limits = ("1234567890",)
        await self.call(address)
        answers = await self.call_many(address, 20)
        self.assertEqual([answer.status for answer in answers], [200] * 20)

    async def test_its_end_is_noticed_though_the_limit_was_zero(self) -> None:
        backend = await self.start_backend()
        address = await self.start_proxy()
        backend.limits = ("0",)
        await self.call(address)
        refusal = await self.call(address, 900)
        self.assertEqual((refusal.status, refusal.headers["x-outcome"]), (503, "not-run"))
        backend.limits = ()
        async with asyncio.timeout(8.0):
            while (await self.call(address, 900)).status != 200:
                await asyncio.sleep(0.2)
        self.assertEqual([answer.status for answer in await self.call_many(address, 8)], [200] * 8)
        self.assertEqual(len(self.logged(Event.BACKEND_RATE_ENDED)), 1)

    async def test_requests_go_where_there_is_room_rather_than_wait_for_the_limit(self) -> None:
        backend, other = await self.start_backend(), await self.start_backend()
        address = await self.start_proxy()
        backend.limits = ("1",)
        await self.call_many(address, 8)
        started_at = time.monotonic()
        for _ in range(30):
            self.assertEqual((await self.call(address)).status, 200)
        seconds = time.monotonic() - started_at
        self.assertGreater(len(other.arrivals), 25)
        self.assertLess(seconds / 30, 0.2)

    async def test_where_all_name_limits_the_rest_is_refused_at_once(self) -> None:
        backends = [await self.start_backend() for _ in range(3)]
        address = await self.start_proxy()
        for backend in backends:
            backend.limits = ("1",)
        await self.call_many(address, 12)
        for backend in backends:
            backend.arrivals.clear()
        self.events.clear()
        answers = await asyncio.gather(*(self.timed_call(address, 700) for _ in range(10)))
        refused = [seconds for status, seconds in answers if status == 503]
        self.assertGreaterEqual(len(refused), 7)
        self.assertLess(max(refused), 0.5)
        self.assertLessEqual(len(self.logged(Event.GATEWAY_REFUSED)), 2 * len(refused))
        self.assertLessEqual(sum(len(backend.arrivals) for backend in backends), 3)

    async def timed_call(self, address: str, deadline_ms: int) -> tuple[int, float]:
        started_at = time.monotonic()
        answer = await self.call(address, deadline_ms)
        return answer.status, time.monotonic() - started_at

    async def test_a_health_answer_names_it_too_and_queries_count(self) -> None:
        self.settings = configuration(
            route(timeout=2.0, target_latency=0.5, repeatable=True),
            services=(service(cold_rate=50.0, cold_start=60.0, health_path="/health"),),
        )
        backend = await self.start_backend()
        address = await self.start_proxy()
        self.list_machines()
        backend.limits = ("2",)
        watch = asyncio.create_task(self.gateways[0].run())
        await asyncio.sleep(1.5)
        self.assertEqual(len(self.logged(Event.BACKEND_RATE_NAMED)), 1)
        await self.call_many(address, 12, 900)
        self.assertLessEqual(len(backend.arrivals), 2 * 2.5 + 1)
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)

    async def test_an_entry_that_lapses_and_returns_does_not_end_the_limit(self) -> None:
        backend, _ = await self.start_backend(), await self.start_backend()
        address = await self.start_proxy()
        backend.limits = ("0.5",)
        await self.call_many(address, 8)
        machines, self.machines = self.machines, self.machines[1:]
        self.list_machines(self.proxies[0], number=2)
        self.machines = machines
        self.list_machines(self.proxies[0], number=3)
        self.restart_gateway()
        backend.arrivals.clear()
        await self.call_many(address, 20, 900)
        self.assertLessEqual(len(backend.arrivals), 2)

    async def test_a_sender_of_an_older_version_is_limited_by_the_gateway(self) -> None:
        backend = await self.start_backend()
        address = await self.start_proxy(EdgeHeaders())
        backend.limits = ("2",)
        await self.call(address)
        answers = await self.call_many(address, 12, 900)
        self.assertLessEqual(len(backend.arrivals), 4)
        self.assertGreaterEqual([answer.status for answer in answers].count(503), 9)
        await asyncio.sleep(0.6)
        self.assertEqual((await self.call(address)).status, 200)

    async def test_behind_a_gateway_of_an_older_version_each_sender_keeps_a_share(self) -> None:
        backend, other = await self.start_backend(OlderGateway), await self.start_backend()
        self.gateways[0].application = GatewayApplication(
            time.monotonic, GatewaySettings(backend.address, "logbook", "ikeja"), EdgeHeaders()
        )
        address = await self.start_proxy()
        self.list_machines()
        backend.limits = ("1",)
        await self.call_many(address, 8)
        backend.arrivals.clear()
        for _ in range(40):
            self.assertEqual((await self.call(address)).status, 200)
        self.assertLessEqual(len(backend.arrivals), 4)
        self.assertGreaterEqual(len(other.arrivals), 36)
