"""Callers that keep their connections until the process is gone, and press on a full fleet."""

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

RECONNECT_SECONDS = 0.2
Recorder = Callable[[CallResult], None]


class PersistentCaller:
    """One caller of one node, in a closed loop over one connection at a time.

    Args:
        target: the node.
        mix: the kinds of calls.
        prefix: begins each request's id; unique for the run.
        seed: decides on the requests and the pauses between them.
        kind: draws the requests.
        lag: measures this process's delays.
        record: takes what the caller was told.
    """

    __slots__ = (
        "_begun",
        "_lag",
        "_prefix",
        "_random",
        "_record",
        "_requests",
        "_target",
        "stopping",
    )

    def __init__(
        self,
        target: Target,
        mix: Sequence[CallKind],
        prefix: str,
        seed: str,
        kind: type[RequestGenerator],
        lag: LagMeter,
        record: Recorder,
    ) -> None:
        self._target = target
        self._prefix = prefix
        self._random = random.Random(seed)
        self._requests = kind(mix, self._random)
        self._lag = lag
        self._record = record
        self._begun = 0
        self.stopping = False
        """Set to begin no further request."""

    async def run(self) -> None:
        """Ask, and connect anew whenever the connection has ended."""
        while not self.stopping:
            pause = self._requests.reading_pause()
            connection = await connect(self._target, self._lag, pause)
            if connection is not None:
                await self._use(connection)
                await connection.close()
            await anyio.sleep(RECONNECT_SECONDS)

    async def _use(self, connection: PersistentConnection) -> None:
        while not self.stopping and connection.usable and not connection.ended:
            for told in await connection.ask(self._next_calls()):
                self._record(told)
            await anyio.sleep(self._random.expovariate(1 / self._requests.think_seconds))

    def _next_calls(self) -> list[Call]:
        calls = []
        for kind in self._requests.draw():
            self._begun += 1
            calls.append(Call(kind, f"{self._prefix}-{self._begun}"))
        return calls


class PersistentCallers:
    """All callers of one process.

    Args:
        targets: the nodes.
        callers: how many call each.
        mix, seed, prefix, record, kind: as of `PersistentCaller`.
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
        kind: type[RequestGenerator] = MixedRequestGenerator,
    ) -> None:
        self._lag = LagMeter()
        self._callers = [
            PersistentCaller(
                target,
                mix,
                f"{prefix}-{target.name}-{index}",
                f"{seed}:{prefix}:{target.name}:{index}",
                kind,
                self._lag,
                record,
            )
            for target in targets
            for index in range(callers)
        ]

    async def run(self) -> None:
        """Call until SIGTERM; finish what was begun."""
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async with anyio.create_task_group() as measuring:
                measuring.start_soon(self._lag.run)
                async with anyio.create_task_group() as calling:
                    for caller in self._callers:
                        calling.start_soon(caller.run)
                    async for _ in signals:
                        break
                    for caller in self._callers:
                        caller.stopping = True
                measuring.cancel_scope.cancel()
