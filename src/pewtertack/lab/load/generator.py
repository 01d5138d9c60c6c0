"""An open-loop load: requests begin at their times, however slow the answers are."""

from __future__ import annotations

import math
import random
import signal
import time
from collections.abc import Callable, Sequence

import anyio
import anyio.abc

from pewtertack.lab.load.caller import Caller, Target
from pewtertack.lab.load.mix import CallKind
from pewtertack.lab.records import CallResult


class LoadGenerator:
    """Sends a mix of requests to a set of nodes.

    Args:
        targets: the nodes; each request picks one at random.
        mix: the kinds of calls, with their weights.
        rate: requests begun per second.
        seed: decides the times, the kinds and the nodes.
        prefix: begins each request's id; unique for the run.
        record: takes what each caller was told.
    """

    def __init__(
        self,
        targets: Sequence[Target],
        mix: Sequence[CallKind],
        rate: float,
        seed: int,
        prefix: str,
        record: Callable[[CallResult], None],
    ) -> None:
        self._callers = [Caller(target) for target in targets]
        self._mix = mix
        self._weights = [kind.weight for kind in mix]
        self._rate = rate
        self._random = random.Random(seed)
        self._prefix = prefix
        self._record = record
        self._begun = 0

    async def run(self, seconds: float = math.inf) -> None:
        """Begin requests for ``seconds`` or until SIGTERM; finish those begun."""
        async with anyio.create_task_group() as requests:
            with anyio.move_on_after(seconds):
                await self._begin_until_signal(requests)
        for caller in self._callers:
            await caller.close()

    async def _begin_until_signal(self, requests: anyio.abc.TaskGroup) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async with anyio.create_task_group() as beginning:
                beginning.start_soon(self._begin_requests, requests)
                async for _ in signals:
                    break
                beginning.cancel_scope.cancel()

    async def _begin_requests(self, requests: anyio.abc.TaskGroup) -> None:
        due = time.monotonic()
        while True:
            due += self._random.expovariate(self._rate)
            await anyio.sleep(max(0.0, due - time.monotonic()))
            self._begun += 1
            kind = self._random.choices(self._mix, self._weights)[0]
            caller = self._random.choice(self._callers)
            requests.start_soon(self._ask, caller, kind, f"{self._prefix}-{self._begun}")

    async def _ask(self, caller: Caller, kind: CallKind, request_id: str) -> None:
        self._record(await caller.call(kind, request_id))
