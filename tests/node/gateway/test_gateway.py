"""A proxy, gateways and their back ends, in one event loop."""

import asyncio
import time
from random import Random
from typing import Any, ClassVar

import msgspec

from pewtertack.core.machines import Machine, MachineList, MachineRole, MachineState
from pewtertack.node.counting import MetricsRegistry
from pewtertack.node.exposition import Exposition
from pewtertack.node.gateway.application import GatewayApplication, GatewaySettings
from pewtertack.node.proxy.application import ProxyApplication
from pewtertack.node.proxy.edge import EdgeHeaders
from tests.node.proxy.harness import (
    Answer,
    ProxyTestCase,
    RawBackend,
    answer_bytes,
    begin_call,
    raw_call,
    request_bytes,
)
from tests.routing.samples import configuration, route

EDGE = EdgeHeaders(
    request_id=b"x-call",
    deadline=b"x-left",
    expected_backend=b"x-wanted",
    caller_service=b"x-from",
    not_run=b"x-skipped",
    identified_answers=True,
    unframed_answers=True,
    fractional_retry_after=True,
)
POST = request_bytes("POST", "/", b"log", ("x-call: call-1", "x-left: 4000"))


def header(head: str, name: str) -> str:
    return head.split(f"\r\n{name}: ")[1].split("\r\n")[0]


async def answer_normally(reader: Any, writer: Any, head: str) -> bool:
    writer.write(answer_bytes(b"ok", b"x-call: " + header(head, "x-call").encode()))
    return True


def make_gateway(address: str, **arguments: Any) -> GatewayApplication:
    """Return a gateway with a configuration, as a serving node has one."""
    settings = arguments.pop("settings", None) or GatewaySettings(address, "logbook", "ikeja")
    edge = arguments.pop("edge", EDGE)
    gateway = GatewayApplication(time.monotonic, settings, edge, **arguments)
    gateway.use_configuration(configuration())
    return gateway


class GatewayTestCase(ProxyTestCase):
    extra_arguments: ClassVar[dict[str, Any]] = {}
    """Additional constructor arguments of all gateways and of the proxy."""
    edge: ClassVar[EdgeHeaders] = EDGE
    """Header names of the back ends and of the callers."""

    async def start_fleet(self, *backends: Any, slots: int = 2, **changes: Any) -> str:
        """Run a gateway for each back end and one proxy; return the proxy's address."""
        self.gateways: list[GatewayApplication] = []
        self.heads: list[str] = []
        self.machines: list[Machine] = []
        for index, script in enumerate(backends):
            await self.add_backend(f"b{index}", script, slots)
        self.proxy = ProxyApplication(
            time.monotonic, Random(7), edge=self.edge, caller_service="desk", **self.extra_arguments
        )
        self.proxy.use_configuration(configuration(route(**changes)))
        self.proxy.set_serving(True)
        self.use_machines()
        return await self.serve(self.proxy)

    async def add_backend(self, name: str, script: Any, slots: int) -> None:
        async def recorded(reader: Any, writer: Any, head: str) -> bool:
            self.heads.append(head)
            length = int(header(head, "content-length")) if "content-length" in head else 0
            await reader.readexactly(length)
            return bool(await script(reader, writer, head))

        await self.add_gateway(name, await RawBackend(recorded).start(self), slots)

    async def add_gateway(self, name: str, address: str, slots: int) -> None:
        """Run a gateway beside the back end at ``address`` and list both."""
        gateway = make_gateway(address, edge=self.edge, **self.extra_arguments)
        self.gateways.append(gateway)
        self.machines.append(
            Machine(
                name,
                MachineRole.BACKEND,
                "ikeja",
                address,
                "logbook",
                gateway=await self.serve(gateway),
                slots=slots,
            )
        )

    def use_machines(self, number: int = 1) -> None:
        listed = MachineList(number, tuple(self.machines))
        users: tuple[ProxyApplication | GatewayApplication, ...] = (self.proxy, *self.gateways)
        for user in users:
            user.use_machines(listed)

    def assert_refused(self, answer: Answer, status: int, outcome: str) -> None:
        self.assertEqual((answer.status, answer.headers["x-outcome"]), (status, outcome))


class WholePathTest(GatewayTestCase):
    async def test_a_request_passes_two_nodes_unchanged(self) -> None:
        address = await self.start_fleet(answer_normally)
        answer = await raw_call(address, POST)
        self.assertEqual((answer.status, answer.body), (200, b"ok"))
        self.assertEqual(answer.headers["x-call"], "call-1")
        head = self.heads[0]
        self.assertEqual([header(head, name) for name in ("x-wanted", "x-from")], ["b0", "desk"])
        self.assertLessEqual(int(header(head, "x-left")), 4000)

    async def test_hop_headers_reach_neither_caller_nor_back_end(self) -> None:
        address = await self.start_fleet(answer_normally)
        answer = await raw_call(address, POST)
        self.assertNotIn("pewtertack", self.heads[0])
        self.assertNotIn("x-request-id", self.heads[0])
        self.assertEqual([name for name in answer.headers if "pewtertack" in name], [])
        self.assertNotIn("x-backend-load", answer.headers)

    async def test_identity_headers_of_a_caller_are_dropped(self) -> None:
        forged = ("x-call: call-1", "x-from: vault", "x-wanted: b9", "x-pewtertack-backend: b9")
        address = await self.start_fleet(answer_normally)
        await raw_call(address, request_bytes(headers=forged))
        self.assertEqual(self.heads[0].count("x-from"), 1)
        self.assertEqual(
            [header(self.heads[0], name) for name in ("x-wanted", "x-from")], ["b0", "desk"]
        )

    async def test_a_gateway_refuses_requests_that_are_not_from_a_node(self) -> None:
        await self.start_fleet(answer_normally)
        answer = await raw_call(self.machines[0].gateway, POST)
        self.assert_refused(answer, 400, "not-run")
        self.assertEqual(self.heads, [])

    async def test_a_response_without_length_is_complete_when_its_connection_ends(self) -> None:
        async def unframed(reader: Any, writer: Any, head: str) -> bool:
            writer.write(b"HTTP/1.1 200 OK\r\nx-call: call-1\r\n\r\nall of it")
            return False

        address = await self.start_fleet(unframed)
        answer = await raw_call(address, POST)
        self.assertEqual(answer.status, 200)
        self.assertIn(b"all of it", answer.body)
        self.assertTrue(answer.body.endswith(b"0\r\n\r\n"))


class RefusalTest(GatewayTestCase):
    async def test_another_back_end_at_the_address_is_not_run_and_another_gateway_tried(
        self,
    ) -> None:
        async def replaced(reader: Any, writer: Any, head: str) -> bool:
            writer.write(answer_bytes(b"", status=b"421 Misdirected Request"))
            return True

        address = await self.start_fleet(replaced, answer_normally)
        for _ in range(6):
            answer = await raw_call(address, POST)
            self.assertEqual(answer.status, 200)
        arrivals = [header(head, "x-wanted") for head in self.heads]
        self.assertLessEqual(arrivals.count("b0"), 1)

    async def test_a_not_run_header_of_the_back_end_is_relayed(self) -> None:
        async def skip(reader: Any, writer: Any, head: str) -> bool:
            writer.write(answer_bytes(b"", b"x-skipped: 1", status=b"503 Service Unavailable"))
            return True

        address = await self.start_fleet(skip, retry_limit=0)
        answer = await raw_call(address, POST)
        self.assert_refused(answer, 503, "not-run")
        self.assertIn(".", answer.headers["retry-after"])

    async def test_the_retry_after_of_a_request_shed_despite_free_slots(
        self,
    ) -> None:
        received: dict[bytes, str] = {}
        for retry_line in (b"", b"retry-after: 2"):

            async def skip(
                reader: Any, writer: Any, head: str, retry_line: bytes = retry_line
            ) -> bool:
                lines = [b"x-skipped: 1", *([retry_line] if retry_line else [])]
                writer.write(answer_bytes(b"", *lines, status=b"503 Service Unavailable"))
                return True

            address = await self.start_fleet(skip, retry_limit=0, target_latency=0.8)
            received[retry_line] = (await raw_call(address, POST)).headers["retry-after"]
        self.assertEqual(list(received.values()), ["0.100", "2.000"])

    async def test_a_leaving_back_end_is_refused_by_its_gateway_before_the_proxy_knows(
        self,
    ) -> None:
        address = await self.start_fleet(answer_normally)
        entry = self.machines[0]
        leaving = Machine(
            entry.name, entry.role, entry.zone, entry.address, "logbook", MachineState.LEAVING
        )
        self.gateways[0].use_machines(MachineList(2, (leaving,)))
        answer = await raw_call(address, POST)
        self.assert_refused(answer, 503, "not-run")
        self.assertEqual(self.heads, [])

    async def test_a_leaving_back_end_stays_leaving_despite_a_late_list(self) -> None:
        address = await self.start_fleet(answer_normally)
        listed = self.machines[0]
        leaving = Machine(
            listed.name, listed.role, listed.zone, listed.address, "logbook", MachineState.LEAVING
        )
        self.gateways[0].use_machines(MachineList(2, (leaving,)))
        self.gateways[0].use_machines(MachineList(3, (listed,)))
        self.assert_refused(await raw_call(address, POST), 503, "not-run")

    async def test_a_draining_gateway_refuses_and_the_next_answers(self) -> None:
        address = await self.start_fleet(answer_normally, answer_normally)
        self.gateways[0].start_draining()
        for _ in range(4):
            self.assertEqual((await raw_call(address, POST)).status, 200)
        self.assertEqual({header(head, "x-wanted") for head in self.heads}, {"b1"})

    async def test_an_upload_refused_by_a_gateway_is_sent_whole_to_the_next(self) -> None:
        address = await self.start_fleet(answer_normally, answer_normally)
        self.gateways[0].start_draining()
        raw = request_bytes("POST", "/", b"x" * 300_000, ("x-call: call-1", "x-left: 4000"))
        for _ in range(4):
            self.assertEqual((await raw_call(address, raw)).status, 200)

    async def test_a_gateway_that_shuts_down_admits_only_requests_that_end_in_time(self) -> None:
        address = await self.start_fleet(answer_normally, answer_normally, target_latency=1.0)
        self.gateways[0].start_leaving(60.0)
        self.gateways[1].start_leaving(1.0)
        for _ in range(4):
            self.assertEqual((await raw_call(address, POST)).status, 200)
        self.assertEqual({header(head, "x-wanted") for head in self.heads}, {"b0"})

    async def test_an_unreachable_back_end_is_not_run_and_the_next_answers(self) -> None:
        address = await self.start_fleet(answer_normally)
        dead = make_gateway("127.0.0.1:1")
        self.machines.insert(
            0,
            Machine(
                "dead",
                MachineRole.BACKEND,
                "ikeja",
                "127.0.0.1:1",
                "logbook",
                gateway=await self.serve(dead),
            ),
        )
        self.use_machines(2)
        for _ in range(4):
            self.assertEqual((await raw_call(address, POST)).status, 200)


class UnknownOutcomeTest(GatewayTestCase):
    async def test_a_broken_exchange_that_may_have_run_is_not_retried(self) -> None:
        async def close_without_response(reader: Any, writer: Any, head: str) -> bool:
            return False

        address = await self.start_fleet(
            close_without_response, close_without_response, repeatable=False
        )
        self.assert_refused(await raw_call(address, POST), 502, "unknown")
        self.assertEqual(len(self.heads), 1)

    async def test_a_response_with_another_id_or_none_is_not_relayed(self) -> None:
        for line in (b"x-call: call-9", b"x-other: 1"):

            async def answer_another_request(
                reader: Any, writer: Any, head: str, line: bytes = line
            ) -> bool:
                writer.write(answer_bytes(b"not yours", line))
                return True

            with self.subTest(line):
                address = await self.start_fleet(answer_another_request)
                answer = await raw_call(address, POST)
                self.assert_refused(answer, 502, "unknown")
                self.assertNotIn(b"not yours", answer.body)

    async def test_surplus_bytes_after_a_response_belong_to_no_request(self) -> None:
        async def surplus(reader: Any, writer: Any, head: str) -> bool:
            call = header(head, "x-call").encode()
            writer.write(answer_bytes(b"ok", b"x-call: " + call))
            writer.write(answer_bytes(b"late", b"x-call: " + call))
            return True

        address = await self.start_fleet(surplus)
        for index in range(5):
            raw = request_bytes(headers=(f"x-call: call-{index}",))
            answer = await raw_call(address, raw)
            self.assertEqual((answer.status, answer.body), (200, b"ok"))


class LogTest(GatewayTestCase):
    async def test_a_refusal_by_a_draining_node_logs_its_request(self) -> None:
        received: list[dict[str, Any]] = []
        proxy = ProxyApplication(
            time.monotonic,
            Random(7),
            edge=EDGE,
            log=lambda event, **fields: received.append({"event": event.name, **fields}),
        )
        proxy.start_draining()
        await raw_call(await self.serve(proxy), POST)
        refused = [line for line in received if line["event"] == "REQUEST_REFUSED"]
        self.assertEqual(
            [(line["request"], line["type"]) for line in refused], [("call-1", "draining")]
        )


class MetricsTest(GatewayTestCase):
    async def test_queueing_back_end_time_and_refusals_are_counted_separately(self) -> None:
        registry = MetricsRegistry()
        address = await self.start_fleet(answer_normally)
        gateway = make_gateway(self.machines[0].address, registry=registry)
        served = await self.serve(gateway)
        self.machines[0] = msgspec.structs.replace(self.machines[0], gateway=served)
        self.gateways[0] = gateway
        self.use_machines(2)
        await raw_call(address, POST)
        gateway.start_draining()
        await raw_call(address, POST)
        text = Exposition(registry).render().decode()
        self.assertIn('pewtertack_gateway_queue_seconds_count{route="lookup"} 1.0', text)
        self.assertIn('pewtertack_gateway_backend_seconds_count{route="lookup"} 1.0', text)
        self.assertIn('refused_total{offered="false",reason="draining"} 1.0', text)


class CancellationTest(GatewayTestCase):
    async def test_a_disconnect_of_the_caller_ends_the_execution_over_both_nodes(self) -> None:
        started, ended = asyncio.Event(), asyncio.Event()

        async def stall(reader: Any, writer: Any, head: str) -> bool:
            started.set()
            await reader.read(1)
            ended.set()
            return False

        address = await self.start_fleet(stall)
        _, writer = await begin_call(address, POST)
        await asyncio.wait_for(started.wait(), 5.0)
        writer.close()
        await asyncio.wait_for(ended.wait(), 5.0)

    async def test_the_deadline_frees_the_slot_and_the_caller_is_answered_at_once(self) -> None:
        async def stall(reader: Any, writer: Any, head: str) -> bool:
            await reader.read(1)
            return False

        address = await self.start_fleet(stall, slots=1)
        raw = request_bytes(headers=("x-call: call-1", "x-left: 200"))
        started_at = time.monotonic()
        self.assert_refused(await raw_call(address, raw), 504, "unknown")
        self.assertGreater(time.monotonic() - started_at, 0.19)
