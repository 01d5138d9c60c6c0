"""Callers with persistent connections, which put a closed-loop load on a fleet."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable, Sequence

import anyio

from pewtertack.lab.load.caller import Target
from pewtertack.lab.load.mix import CallKind
from pewtertack.lab.records import CallResult
from pewtertack.lab.soak.connection import Call, PersistentConnection, connect
from pewtertack.lab.soak.lag import LagMeter
from pewtertack.lab.soak.mix import MixedRequestGenerator, RequestGenerator

RECONNECT_DELAY_SECONDS = 0.2
Recorder = Callable[[CallResult], None]


class PersistentCaller:
    """One caller of one node, which sends requests in a closed loop over one connection at a time.

    Args:
        target: the node.
        mix: the kinds of calls.
        prefix: prefix of the request ids, unique in the run.
        seed: determines the requests and the pauses between them.
        generator_type: generates the requests.
        lag: measures the lag of this process's event loop.
        record: called with the result of each request.
    """

    __slots__ = (
        "_call_count",
        "_lag",
        "_prefix",
        "_random",
        "_record",
        "_generator",
        "_target",
        "stopping",
    )

    def __init__(
        self,
        target: Target,
        mix: Sequence[CallKind],
        prefix: str,
        seed: str,
        generator_type: type[RequestGenerator],
        lag: LagMeter,
        record: Recorder,
    ) -> None:
        self._target = target
        self._prefix = prefix
        self._random = random.Random(seed)
        self._generator = generator_type(mix, self._random)
        self._lag = lag
        self._record = record
        self._call_count = 0
        self.stopping = False
        """Set to send no further request."""

    async def run(self) -> None:
        """Send requests until ``stopping``; reconnect whenever the connection has ended."""
        while not self.stopping:
            read_pause = self._generator.read_pause()
            connection = await connect(self._target, self._lag, read_pause)
            if connection is not None:
                await self._send_over(connection)
                await connection.close()
            await anyio.sleep(RECONNECT_DELAY_SECONDS)

    async def _send_over(self, connection: PersistentConnection) -> None:
        while not self.stopping and connection.usable and not connection.is_stale:
            for result in await connection.send_calls(self._next_calls()):
                self._record(result)
            await anyio.sleep(self._random.expovariate(1 / self._generator.think_seconds))

    def _next_calls(self) -> list[Call]:
        calls = []
        for call_kind in self._generator.next_requests():
            self._call_count += 1
            calls.append(Call(call_kind, f"{self._prefix}-{self._call_count}"))
        return calls


class PersistentCallers:
    """All callers of one process.

    Args:
        targets: the nodes.
        callers: the number of callers of each node.
        mix, seed, prefix, record, generator_type: as for `PersistentCaller`.
    """

    __slots__ = ("_callers", "_lag")

    def __init__(
        self,
        targets: Sequence[Target],
        callers: int,
        mix: Sequence[CallKind],
        seed: int,
        prefix: str,
        record: Recorder,
        generator_type: type[RequestGenerator] = MixedRequestGenerator,
    ) -> None:
        self._lag = LagMeter()
        self._callers = [
            PersistentCaller(
                target,
                mix,
                f"{prefix}-{target.name}-{index}",
                f"{seed}:{prefix}:{target.name}:{index}",
                generator_type,
                self._lag,
                record,
            )
            for target in targets
            for index in range(callers)
        ]

    async def run(self) -> None:
        """Send requests until SIGTERM, then wait for those in flight."""
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async with anyio.create_task_group() as lag_task_group:
                lag_task_group.start_soon(self._lag.run)
                async with anyio.create_task_group() as caller_task_group:
                    for caller in self._callers:
                        caller_task_group.start_soon(caller.run)
                    async for _ in signals:
                        break
                    for caller in self._callers:
                        caller.stopping = True
                lag_task_group.cancel_scope.cancel()
