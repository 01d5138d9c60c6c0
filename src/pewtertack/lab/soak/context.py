"""What the faults of a soak work with: the running fleet, and which nodes are free."""

from __future__ import annotations

import contextlib
import random
from collections import Counter
from collections.abc import AsyncIterator, Sequence

import anyio

from pewtertack.lab.fleet.fleet import Fleet
from pewtertack.lab.scenarios.context import ScenarioContext

CALLERS_PER_NODE = 3
SURGE_CALLERS_PER_NODE = 3
DOWNLOADS_PER_NODE = 8
"""At once. So many fill the lines of the links of the two gateways that answer them for seconds."""
SERVING_SECONDS = 60.0


class SoakContext:
    """A running fleet under faults. Each node takes part in one fault at a time.

    Args:
        scenario: fleet, edits and problems found.
        seed: decides the requests of callers.
    """

    def __init__(self, scenario: ScenarioContext, seed: int) -> None:
        self.scenario = scenario
        self.seed = seed
        self.made: Counter[str] = Counter()
        """How many faults of each kind were begun."""
        self.learning = anyio.Lock()
        """Held while nodes must learn of a leaving back end from the list in time: a return of the
        platform, which may lose what no node has seen, waits."""
        self._claimed: set[str] = set()
        self._released = anyio.Event()
        self._surges = 0
        self._downloads = 0

    @property
    def fleet(self) -> Fleet:
        """The fleet."""
        return self.scenario.fleet

    @property
    def most_claimed(self) -> int:
        """How many nodes may take part in faults at once, so that a majority runs."""
        return (len(self.fleet.plan.nodes) - 1) // 2

    @contextlib.asynccontextmanager
    async def claim_nodes(
        self, chooser: random.Random, count: int, among: Sequence[str] = ()
    ) -> AsyncIterator[list[str]]:
        """Wait for ``count`` nodes, or as many as may be, that take part in no other fault.

        ``among`` names those that will do, all by default.
        """
        count = min(count, self.most_claimed)
        names = sorted(among or self.fleet.plan.nodes)
        order = chooser.sample(names, len(names))
        while (
            len(self._claimed) + count > self.most_claimed
            or len(set(order) - self._claimed) < count
        ):
            await self._released.wait()
        chosen = [name for name in order if name not in self._claimed][:count]
        self._claimed.update(chosen)
        try:
            yield chosen
        finally:
            self._claimed.difference_update(chosen)
            self._released.set()
            self._released = anyio.Event()

    def some_backend(self, chooser: random.Random) -> str:
        """Pick a back end."""
        return chooser.choice(sorted(self.fleet.plan.backends))

    async def start_again(self, names: list[str]) -> None:
        """Start nodes that have ended, and wait until they serve."""
        await self.fleet.start_nodes(names)
        await self.fleet.wait_serving(names, SERVING_SECONDS)

    async def surge(self, seconds: float) -> None:
        """Let more callers press on the fleet for a while."""
        self._surges += 1
        await self._press(f"surge{self._surges}", SURGE_CALLERS_PER_NODE, seconds)

    async def download(self, seconds: float) -> None:
        """Let callers ask for long answers for a while."""
        self._downloads += 1
        name = f"downloads{self._downloads}"
        await self._press(name, DOWNLOADS_PER_NODE, seconds, downloads=True)

    async def _press(
        self, name: str, callers: int, seconds: float, downloads: bool = False
    ) -> None:
        """Run a process of callers, so many a node; what they have begun ends afterwards."""
        index = self._downloads if downloads else self._surges
        process = await self.fleet.start_persistent_callers(
            name, self.seed + index, callers, downloads
        )
        await anyio.sleep(seconds)
        code = await self.fleet.stop_load(process)
        self.scenario.expect(code == 0, f"{name} ended with {code}: {process.stderr_tail()}")
