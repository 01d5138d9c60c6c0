"""The node's own reader of the store, on the store's stand-in without sockets."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import parse_qsl

import anyio

from pewtertack.errors import ReadFailure
from pewtertack.lab.asgi import Request, Response
from pewtertack.lab.metadata_store.application import WATCH_PATH, MetadataStore
from pewtertack.node.http.client import (
    BODY_TIMEOUT_FACTOR,
    HttpClient,
    ServiceResponse,
    ServiceTimeouts,
    ServiceUnreachableError,
)
from pewtertack.node.http.framing import RawHeaders
from pewtertack.platform.store import MAX_RESPONSE_BYTES, StoreReader

NOWHERE = "127.0.0.1:1"
ONE_WAY_SECONDS = 0.001
"""Between a node and the store."""


class SimulatedSource:
    """The stand-in as readers in this process reach it.

    Args:
        store: what answers.
    """

    __slots__ = ("_watches", "store")

    def __init__(self, store: MetadataStore) -> None:
        self.store = store
        self._watches: dict[anyio.CancelScope, None] = {}
        """In the order of their calls, so that a run repeats itself."""

    async def answer(self, request: Request) -> Response:
        """Return the answer to ``request``.

        Raises:
            ServiceUnreachableError: the watch was cut.
        """
        if request.path != WATCH_PATH:
            return await self.store.application.answer(request)
        with anyio.CancelScope() as watch:
            self._watches[watch] = None
            try:
                return await self.store.application.answer(request)
            finally:
                del self._watches[watch]
        raise ServiceUnreachableError("the service hung up", ReadFailure.CLOSED)

    def cut_watches(self) -> int:
        """Cut all watches that have no answer; return how many there were."""
        watches = list(self._watches)
        for watch in watches:
            watch.cancel()
        return len(watches)


class SimulatedClient(HttpClient):
    """Gets answers from a stand-in in this process, within the time that a client allows."""

    def __init__(self, source: SimulatedSource) -> None:
        super().__init__(NOWHERE, MAX_RESPONSE_BYTES)
        self._source = source
        self._fresh = True

    def close(self) -> None:
        """Let the next answer be the first on its connection."""
        self._fresh = True

    async def get(
        self, target: str, timeouts: ServiceTimeouts, headers: RawHeaders | None = None
    ) -> ServiceResponse:
        """Return the answer to ``GET target``.

        Raises:
            ServiceUnreachableError: no whole answer came in time.
        """
        path, _, query = target.partition("?")
        request = Request("GET", path, dict(parse_qsl(query)), {})
        began = anyio.current_time()
        try:
            answer = await self._answer(request, timeouts.head)
            took = anyio.current_time() - began
            await self._carry(answer, timeouts.part)
        except ServiceUnreachableError:
            self._fresh = True
            raise
        fresh, self._fresh = self._fresh, False
        named = [(name.encode(), value.encode()) for name, value in answer.headers.items()]
        return ServiceResponse(answer.status, named, answer.body, fresh, took)

    async def _answer(self, request: Request, seconds: float) -> Response:
        try:
            with anyio.fail_after(seconds):
                await anyio.sleep(ONE_WAY_SECONDS)
                answer = await self._source.answer(request)
                await anyio.sleep(ONE_WAY_SECONDS)
                return answer
        except TimeoutError as error:
            reason = f"no answer within {seconds:g} s"
            raise ServiceUnreachableError(reason, ReadFailure.SLOW) from error

    async def _carry(self, answer: Response, seconds: float) -> None:
        """Let the body pass; its parts come in turn, so that only the whole can take too long."""
        faults = self._source.store.faults
        try:
            with anyio.fail_after(seconds * BODY_TIMEOUT_FACTOR):
                if faults.endless:
                    await anyio.sleep_forever()
                if faults.body_rate:
                    await anyio.sleep(len(answer.body) / faults.body_rate)
        except TimeoutError as error:
            reason = "the answer began and did not end in time"
            raise ServiceUnreachableError(reason, ReadFailure.UNFINISHED) from error


class SimulatedReader(StoreReader):
    """A store reader whose calls go to a stand-in in this process."""

    def __init__(
        self, source: SimulatedSource, gateway_port: int, peer_port: int, now: Callable[[], float]
    ) -> None:
        super().__init__(NOWHERE, gateway_port, peer_port, now=now)
        self._client = SimulatedClient(source)
