"""Context of the faults of a soak: the fleet, and nodes claimed by faults."""

from __future__ import annotations

import contextlib
import random
from collections import Counter
from collections.abc import AsyncIterator, Iterator, Sequence

import anyio

from pewtertack.lab.fleet.fleet import Fleet
from pewtertack.lab.scenarios.context import ScenarioContext
from pewtertack.lab.soak.mix import DOWNLOAD_TRAFFIC, MIXED_TRAFFIC, QUICK_TRAFFIC

CALLERS_PER_NODE = 3
SURGE_CALLERS_PER_NODE = 3
DOWNLOADS_PER_NODE = 8
"""Enough concurrent downloads to fill the link queues of the two gateways that serve them for
seconds."""
QUICK_CALLERS_PER_NODE = 2
SERVING_TIMEOUT_SECONDS = 60.0


class SoakContext:
    """A running fleet under faults. Each node is involved in at most one fault at a time.

    Args:
        scenario: the fleet, its edits and the problems found.
        seed: determines the requests of callers.
    """

    def __init__(self, scenario: ScenarioContext, seed: int) -> None:
        self.scenario = scenario
        self.seed = seed
        self.fault_counts: Counter[str] = Counter()
        """Number of faults started, by kind."""
        self.restore_lock = anyio.Lock()
        """Held during a restore of the platform, and while it must not be restored because nodes
        must read in time that a back end leaves: a restore may lose what no node has read."""
        self._claimed: set[str] = set()
        self._reserved: set[str] = set()
        self._released = anyio.Event()
        self._caller_groups: Counter[str] = Counter()
        """Number of processes with additional callers that were started, by group."""

    @property
    def fleet(self) -> Fleet:
        """The fleet."""
        return self.scenario.fleet

    @property
    def max_claimed(self) -> int:
        """Maximum number of claimed nodes, so that a majority always runs."""
        return (len(self.fleet.plan.nodes) - 1) // 2

    @contextlib.asynccontextmanager
    async def claim_nodes(
        self, chooser: random.Random, count: int, among: Sequence[str] = ()
    ) -> AsyncIterator[list[str]]:
        """Claim ``count`` nodes, at most `max_claimed`, once they are involved in no other fault.

        The nodes are chosen among ``among``, by default among all that are not reserved.
        """
        count = min(count, self.max_claimed)
        names = sorted(among or set(self.fleet.plan.nodes) - self._reserved)
        candidates = chooser.sample(names, len(names))
        while (
            len(self._claimed) + count > self.max_claimed
            or len(set(candidates) - self._claimed) < count
        ):
            await self._released.wait()
        chosen = [name for name in candidates if name not in self._claimed][:count]
        self._claimed.update(chosen)
        try:
            yield chosen
        finally:
            self._claimed.difference_update(chosen)
            self._released.set()
            self._released = anyio.Event()

    @contextlib.contextmanager
    def reserve_node(self, name: str) -> Iterator[None]:
        """Keep faults that choose their nodes at random from choosing this one."""
        self._reserved.add(name)
        try:
            yield
        finally:
            self._reserved.discard(name)

    def choose_backend(self, chooser: random.Random) -> str:
        """Choose a back end at random."""
        return chooser.choice(sorted(self.fleet.plan.backends))

    async def restart_nodes(self, names: list[str]) -> None:
        """Start nodes that have exited and wait until they serve."""
        await self.fleet.start_nodes(names)
        await self.fleet.wait_serving(names, SERVING_TIMEOUT_SECONDS)

    async def surge(self, seconds: float) -> None:
        """Run additional callers for a while."""
        await self._run_callers("surge", SURGE_CALLERS_PER_NODE, seconds, MIXED_TRAFFIC)

    async def download(self, seconds: float) -> None:
        """Run callers of long responses for a while."""
        await self._run_callers("downloads", DOWNLOADS_PER_NODE, seconds, DOWNLOAD_TRAFFIC)

    async def send_quick_requests(self, seconds: float) -> None:
        """Run callers of short requests for a while."""
        await self._run_callers("quick", QUICK_CALLERS_PER_NODE, seconds, QUICK_TRAFFIC)

    async def _run_callers(self, group: str, callers: int, seconds: float, traffic: str) -> None:
        """Run a process with ``callers`` callers of each node, then wait for requests in flight."""
        self._caller_groups[group] += 1
        number = self._caller_groups[group]
        name = f"{group}{number}"
        process = await self.fleet.start_persistent_callers(
            name, self.seed + number, callers, traffic
        )
        await anyio.sleep(seconds)
        code = await self.fleet.stop_load(process)
        self.scenario.expect(code == 0, f"{name} exited with code {code}: {process.stderr_tail()}")
