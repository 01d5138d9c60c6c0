"""An open-loop load: requests start at scheduled times, however slow the responses are."""

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
        targets: the nodes; one is chosen at random for each request.
        mix: the kinds of calls, with their weights.
        rate: the mean number of requests started per second.
        seed: the seed of the random times, kinds and nodes.
        prefix: the prefix of all request ids; unique within the run.
        record: called with the result of each call.
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
        self._started_count = 0

    async def run(self, seconds: float = math.inf) -> None:
        """Start requests for ``seconds`` or until SIGTERM, then wait for those in flight."""
        async with anyio.create_task_group() as requests:
            with anyio.move_on_after(seconds):
                await self._start_until_signal(requests)
        for caller in self._callers:
            await caller.close()

    async def _start_until_signal(self, requests: anyio.abc.TaskGroup) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async with anyio.create_task_group() as starting:
                starting.start_soon(self._start_requests, requests)
                async for _ in signals:
                    break
                starting.cancel_scope.cancel()

    async def _start_requests(self, requests: anyio.abc.TaskGroup) -> None:
        due = time.monotonic()
        while True:
            due += self._random.expovariate(self._rate)
            await anyio.sleep(max(0.0, due - time.monotonic()))
            self._started_count += 1
            kind = self._random.choices(self._mix, self._weights)[0]
            caller = self._random.choice(self._callers)
            requests.start_soon(self._call, caller, kind, f"{self._prefix}-{self._started_count}")

    async def _call(self, caller: Caller, kind: CallKind, request_id: str) -> None:
        self._record(await caller.call(kind, request_id))
