"""Calls that a back end makes while it runs another request: found out, told, let go first."""

import time
from random import Random
from typing import Any

import msgspec

from pewtertack.core.machines import Machine, MachineList, MachineRole
from pewtertack.events import Event
from pewtertack.node.gateway.application import GatewayApplication, GatewaySettings
from pewtertack.node.gateway.hop import NESTED, hop_headers, read_hop
from pewtertack.node.proxy.application import ProxyApplication
from pewtertack.routing.executions import LocalExecutions
from pewtertack.routing.patience import WaitPolicy
from pewtertack.routing.policies import NestedCallPolicy, Policies
from tests.node.gateway.test_gateway import EDGE, GatewayTestCase, answer_well
from tests.node.proxy.harness import RawBackend, raw_call, request_bytes
from tests.routing.samples import configuration, route

FIRST = Policies(calls_within=NestedCallPolicy.FIRST)
CALL = request_bytes("GET", "/fee", b"", ("x-call: call-1", "x-left: 4000"))
OWN = request_bytes("GET", "/verify", b"", ("x-call: call-2", "x-left: 4000"))
ROUTES = (
    route("fee", path_prefix="/fee", repeatable=True),
    route("verify", path_prefix="/verify", repeatable=True, priority=3),
)


class OriginsTest(GatewayTestCase):
    async def start(self, policies: Policies) -> tuple[str, str]:
        """Run a gateway, and proxies beside a ledger's and a desk's back end."""
        self.admitted: list[dict[str, Any]] = []
        self.origins: list[tuple[str, str]] = []
        address = await RawBackend(answer_well).start(self)
        place = GatewaySettings(address, "logbook", "ikeja")
        self.gateway = GatewayApplication(
            time.monotonic, place, EDGE, self.record, policies=policies
        )
        self.gateway.use_configuration(configuration(*ROUTES))
        self.gateways, self.heads, self.machines = [self.gateway], [], []
        listed = Machine("b0", MachineRole.BACKEND, "ikeja", address, "logbook", slots=4)
        self.machines.append(
            msgspec.structs.replace(listed, gateway=await self.serve(self.gateway))
        )
        other = {
            "name": "b1",
            "address": "10.9.9.9:1",
            "service": "ledger",
            "gateway": "10.9.9.9:2",
        }
        self.machines.append(msgspec.structs.replace(listed, **other))
        self.runs = LocalExecutions()
        ledger = await self.start_proxy("ledger", policies)
        return ledger, await self.start_proxy("logbook", policies)

    async def start_proxy(self, service: str, policies: Policies) -> str:
        self.proxy = ProxyApplication(
            time.monotonic,
            Random(7),
            edge=EDGE,
            caller_service=service,
            policies=policies,
            runs=self.runs,
        )
        self.proxy.use_configuration(configuration(*ROUTES))
        self.proxy.set_serving(True)
        self.use_machines()
        return await self.serve(self.proxy)

    def use_machines(self, number: int = 1) -> None:
        listed = MachineList(number, tuple(self.machines))
        for user in (self.proxy, *self.gateways):
            user.use_machines(listed)

    def record(self, event: Event, **fields: Any) -> None:
        if event is Event.GATEWAY_ADMITTED:
            self.admitted.append(fields)
        elif event is Event.ROUTE_ORIGIN:
            self.origins.append((fields["route"], fields["origin"]))

    async def test_it_is_found_out_and_carries_the_rank_of_the_run(self) -> None:
        ledger, logbook = await self.start(FIRST)
        for _ in range(25):
            for proxy in (ledger, logbook):
                self.assertEqual((await raw_call(proxy, OWN)).status, 200)
            answer = await raw_call(ledger, CALL)
        self.assertNotIn("x-pewtertack-origin", answer.headers)
        self.assertEqual(sorted(self.origins), [("fee", "back-ends"), ("verify", "callers")])
        self.runs.note_start("history", (1, 2))
        await raw_call(ledger, CALL)
        await raw_call(ledger, OWN)
        told = [(item["within"], item["rank"]) for item in self.admitted]
        self.assertEqual([told[0], *told[-2:]], [(False, (1, 3)), (True, (1, 2)), (False, (1, 3))])

    async def test_where_all_are_treated_alike_nothing_is_told(self) -> None:
        ledger, logbook = await self.start(Policies(calls_within=NestedCallPolicy.ALIKE))
        for _ in range(25):
            await raw_call(logbook, OWN)
            await raw_call(ledger, CALL)
        self.assertEqual(self.origins, [])
        self.assertFalse(any(item["within"] for item in self.admitted))

    async def test_the_word_of_a_caller_counts_for_nothing(self) -> None:
        ledger, _ = await self.start(FIRST)
        forged = ("x-call: call-1", "x-left: 4000", "x-pewtertack-within: 1")
        await raw_call(ledger, request_bytes("GET", "/fee", b"", forged))
        self.assertEqual([item["within"] for item in self.admitted], [False])

    def test_the_header_is_there_for_calls_within_alone(self) -> None:
        for within in (True, False):
            headers = hop_headers(
                ROUTES[1], "b0", 0.3, WaitPolicy.WAIT, "ledger", within, run_rank=(1, 1)
            )
            self.assertEqual(NESTED in dict(headers), within)
            request = read_hop(headers)
            self.assertEqual((request.nested, request.rank[1]), (within, 1 if within else 3))
