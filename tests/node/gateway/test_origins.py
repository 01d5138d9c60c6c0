"""Nested calls, made by a back end while it runs another request: detected, reported, favored."""

import time
from random import Random
from typing import Any

import msgspec

from pewtertack.core.machines import Machine, MachineRole
from pewtertack.events import Event
from pewtertack.node.gateway.application import GatewayApplication, GatewaySettings
from pewtertack.node.gateway.hop import NESTED, hop_headers, read_hop
from pewtertack.node.proxy.application import ProxyApplication
from pewtertack.routing.executions import LocalExecutions
from pewtertack.routing.patience import WaitPolicy
from pewtertack.routing.policies import NestedCallPolicy, Policies
from tests.node.gateway.test_gateway import EDGE, GatewayTestCase, answer_normally
from tests.node.proxy.harness import RawBackend, raw_call, request_bytes
from tests.routing.samples import configuration, route

NESTED_FIRST = Policies(calls_within=NestedCallPolicy.FIRST)
NESTED_CALL = request_bytes("GET", "/fee", b"", ("x-call: call-1", "x-left: 4000"))
ORIGINAL_CALL = request_bytes("GET", "/verify", b"", ("x-call: call-2", "x-left: 4000"))
ROUTES = (
    route("fee", path_prefix="/fee", repeatable=True, priority=5),
    route("verify", path_prefix="/verify", repeatable=True, priority=3),
)


class OriginsTest(GatewayTestCase):
    async def start_proxies(self, policies: Policies) -> tuple[str, str]:
        """Run a gateway, and one proxy each for a ledger and a logbook back end as callers."""
        self.admitted: list[dict[str, Any]] = []
        self.origins: list[tuple[str, str]] = []
        address = await RawBackend(answer_normally).start(self)
        settings = GatewaySettings(address, "logbook", "ikeja")
        self.gateway = GatewayApplication(
            time.monotonic, settings, EDGE, self.record, policies=policies
        )
        self.gateway.use_configuration(configuration(*ROUTES))
        self.gateways, self.heads, self.machines = [self.gateway], [], []
        listed = Machine("b0", MachineRole.BACKEND, "ikeja", address, "logbook", slots=4)
        self.machines.append(
            msgspec.structs.replace(listed, gateway=await self.serve(self.gateway))
        )
        other_machine = {
            "name": "b1",
            "address": "10.9.9.9:1",
            "service": "ledger",
            "gateway": "10.9.9.9:2",
        }
        self.machines.append(msgspec.structs.replace(listed, **other_machine))
        self.executions = LocalExecutions()
        ledger_proxy = await self.start_proxy("ledger", policies)
        return ledger_proxy, await self.start_proxy("logbook", policies)

    async def start_proxy(self, service: str, policies: Policies) -> str:
        self.proxy = ProxyApplication(
            time.monotonic,
            Random(7),
            edge=EDGE,
            caller_service=service,
            policies=policies,
            executions=self.executions,
        )
        self.proxy.use_configuration(configuration(*ROUTES))
        self.proxy.set_serving(True)
        self.use_machines()
        return await self.serve(self.proxy)

    def record(self, event: Event, **fields: Any) -> None:
        if event is Event.GATEWAY_ADMITTED:
            self.admitted.append(fields)
        elif event is Event.ROUTE_ORIGIN:
            self.origins.append((fields["route"], fields["origin"]))

    async def test_nested_calls_are_detected_and_carry_the_rank_of_the_outer_request(self) -> None:
        ledger_proxy, logbook_proxy = await self.start_proxies(NESTED_FIRST)
        for _ in range(25):
            for proxy in (ledger_proxy, logbook_proxy):
                self.assertEqual((await raw_call(proxy, ORIGINAL_CALL)).status, 200)
            answer = await raw_call(ledger_proxy, NESTED_CALL)
        self.assertNotIn("x-pewtertack-origin", answer.headers)
        self.assertEqual(sorted(self.origins), [("fee", "back-ends"), ("verify", "callers")])
        self.executions.note_start("history", (1, 2))
        await raw_call(ledger_proxy, NESTED_CALL)
        await raw_call(ledger_proxy, ORIGINAL_CALL)
        admitted = [(item["within"], item["rank"]) for item in self.admitted]
        self.assertEqual(
            [admitted[0], *admitted[-2:]], [(False, (1, 3)), (True, (1, 2)), (False, (1, 3))]
        )

    async def test_without_the_policy_no_origin_is_reported(self) -> None:
        ledger_proxy, logbook_proxy = await self.start_proxies(
            Policies(calls_within=NestedCallPolicy.ALIKE)
        )
        for _ in range(25):
            await raw_call(logbook_proxy, ORIGINAL_CALL)
            await raw_call(ledger_proxy, NESTED_CALL)
        self.assertEqual(self.origins, [])
        self.assertFalse(any(item["within"] for item in self.admitted))

    async def test_the_header_of_a_caller_is_ignored(self) -> None:
        ledger_proxy, _ = await self.start_proxies(NESTED_FIRST)
        forged = ("x-call: call-1", "x-left: 4000", "x-pewtertack-within: 1")
        await raw_call(ledger_proxy, request_bytes("GET", "/fee", b"", forged))
        self.assertEqual([item["within"] for item in self.admitted], [False])

    def test_the_header_is_sent_for_nested_calls_only(self) -> None:
        for nested in (True, False):
            headers = hop_headers(
                ROUTES[1], "b0", 0.3, WaitPolicy.WAIT, "ledger", nested, local_rank=(1, 1)
            )
            self.assertEqual(NESTED in dict(headers), nested)
            request = read_hop(headers)
            self.assertEqual((request.nested, request.rank[1]), (nested, 1 if nested else 3))

    def test_a_nested_call_is_never_less_urgent_than_its_own_route(self) -> None:
        """Calls ranked behind others were refused, and the executions that waited for them lost."""
        for local_rank, expected in (((3, 9), (1, 3)), ((0, 1), (0, 1)), (None, (1, 3))):
            headers = hop_headers(ROUTES[1], "b0", 0.3, WaitPolicy.WAIT, "ledger", True, local_rank)
            self.assertEqual(read_hop(headers).rank, expected)
