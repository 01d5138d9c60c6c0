"""Real nodes: a back end's reports in its answers while the node beside it is killed and frozen."""

import asyncio
import itertools

from tests.node.gateway_fleet import GatewayFleet, gateway_fleet
from tests.node.limited_backend import LEAVING_HEADER, ORIGIN_HEADER, SETTINGS, LimitedBackend
from tests.node.proxy.harness import ProxyTestCase, raw_call, request_bytes

NODES = ("a", "b", "c", "d")
REPORTING = "a"
SLOTS = 4
TREE = {
    "services": {"archive": {}},
    "routes": {
        "read": {
            "service": "archive",
            "path_prefix": "/",
            "repeatable": True,
            "timeout": "2s",
            "target_latency": "500ms",
        }
    },
}
RATE = 2.0
CALLS_PER_SECOND = 40
WINDOW_SECONDS = 4.0
NOTICE_SECONDS = 3.0
"""From the first naming until the limit binds."""
KNOWN_SECONDS = 0.5
"""A node's requests count this long after it passed on the first answer that names the limit."""
FACTOR = 1.5
SLACK = 5


def allowed(rate: float) -> float:
    """Return the requests that a back end may get in a window."""
    return FACTOR * rate * WINDOW_SECONDS + SLACK


class BackEndReportsTest(ProxyTestCase):
    async def asyncSetUp(self) -> None:
        self.backends = {name: LimitedBackend() for name in NODES}
        for backend in self.backends.values():
            await backend.start()
            self.addAsyncCleanup(backend.stop)
        self.statuses: list[int] = []

    async def call_all(self, fleet: GatewayFleet) -> None:
        """Send requests to all running nodes in turn until cancelled."""
        async with asyncio.TaskGroup() as calls:
            for number in itertools.count():
                names = sorted(fleet.nodes)
                calls.create_task(self.call(fleet, names[number % len(names)]))
                await asyncio.sleep(1 / CALLS_PER_SECOND)

    async def call(self, fleet: GatewayFleet, name: str) -> None:
        request = request_bytes(headers=(f"{ORIGIN_HEADER}: {name}",))
        try:
            answer = await raw_call(fleet.proxy(name), request)
        except OSError:
            return  # the node has just been killed
        self.statuses.append(answer.status)

    def largest_count(self) -> int:
        """Return the most requests that count in any window after the limit binds."""
        backend = self.backends[REPORTING]
        binds_at = min(backend.named_by.values()) + NOTICE_SECONDS
        ends = [item.at for item in backend.arrivals if item.at >= binds_at]
        return max(backend.counted(end, WINDOW_SECONDS, KNOWN_SECONDS) for end in ends)

    async def test_limit_holds_while_the_node_beside_the_back_end_is_killed_and_frozen(
        self,
    ) -> None:
        addresses = {name: backend.address for name, backend in self.backends.items()}
        async with gateway_fleet(TREE, addresses, SLOTS, SETTINGS) as fleet:
            calls = asyncio.create_task(self.call_all(fleet))
            await asyncio.sleep(1.0)
            self.backends[REPORTING].limits = (str(RATE),)
            await asyncio.sleep(5.0)
            await fleet.kill(REPORTING)
            self.backends[REPORTING].named_by.pop(
                REPORTING
            )  # its new process has passed nothing on
            await fleet.start(REPORTING)
            await asyncio.sleep(4.0)
            await fleet.freeze(REPORTING, 1.5)
            await asyncio.sleep(4.0)
            calls.cancel()
            await asyncio.gather(calls, return_exceptions=True)
        self.assertLessEqual(self.largest_count(), allowed(RATE))
        self.assertGreater(self.statuses.count(200), 0.95 * len(self.statuses))

    async def test_no_node_sends_to_a_leaving_back_end_after_a_restart_beside_it(
        self,
    ) -> None:
        leaving = self.backends[REPORTING]
        addresses = {name: backend.address for name, backend in self.backends.items()}
        async with gateway_fleet(TREE, addresses, SLOTS, SETTINGS) as fleet:
            calls = asyncio.create_task(self.call_all(fleet))
            await asyncio.sleep(1.0)
            leaving.leaving_header = LEAVING_HEADER
            await asyncio.sleep(1.0)
            leaving.arrivals.clear()
            await fleet.kill(REPORTING)
            await fleet.start(REPORTING)
            await asyncio.sleep(3.0)
            calls.cancel()
            await asyncio.gather(calls, return_exceptions=True)
        origins = {item.origin for item in leaving.arrivals}
        self.assertEqual(origins, set())
        self.assertGreater(self.statuses.count(200), 0.95 * len(self.statuses))
