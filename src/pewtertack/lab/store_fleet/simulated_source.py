"""Connects the store reader of a node to the stand-in of the store without sockets."""

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

UNUSED_ADDRESS = "127.0.0.1:1"
ONE_WAY_SECONDS = 0.001
"""One-way latency between a node and the store."""


class SimulatedSource:
    """Passes requests of readers in this process to the stand-in.

    Args:
        store: the stand-in of the store.
    """

    __slots__ = ("_watches", "store")

    def __init__(self, store: MetadataStore) -> None:
        self.store = store
        self._watches: dict[anyio.CancelScope, None] = {}
        """Open watches in the order of their calls, so that runs are reproducible."""

    async def answer(self, request: Request) -> Response:
        """Return the response to ``request``.

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
        """Cut all watches without a response and return their number."""
        watches = list(self._watches)
        for watch in watches:
            watch.cancel()
        return len(watches)


class SimulatedClient(HttpClient):
    """An HTTP client of the stand-in, with the timeouts of the real client."""

    def __init__(self, source: SimulatedSource) -> None:
        super().__init__(UNUSED_ADDRESS, MAX_RESPONSE_BYTES)
        self._source = source
        self._fresh = True

    def close(self) -> None:
        """Close the connection: the next response is the first on a new one."""
        self._fresh = True

    async def get(
        self,
        target: str,
        timeouts: ServiceTimeouts,
        headers: RawHeaders | None = None,  # noqa: ARG002 (interface)
    ) -> ServiceResponse:
        """Return the response to ``GET target``.

        Raises:
            ServiceUnreachableError: no complete response came in time.
        """
        path, _, query = target.partition("?")
        request = Request("GET", path, dict(parse_qsl(query)), {})
        began = anyio.current_time()
        try:
            answer = await self._request(request, timeouts.head)
            took = anyio.current_time() - began
            await self._transfer(answer, timeouts.part)
        except ServiceUnreachableError:
            self._fresh = True
            raise
        fresh, self._fresh = self._fresh, False
        raw_headers = [(name.encode(), value.encode()) for name, value in answer.headers.items()]
        return ServiceResponse(answer.status, raw_headers, answer.body, fresh, took)

    async def _request(self, request: Request, seconds: float) -> Response:
        try:
            with anyio.fail_after(seconds):
                await anyio.sleep(ONE_WAY_SECONDS)
                answer = await self._source.answer(request)
                await anyio.sleep(ONE_WAY_SECONDS)
                return answer
        except TimeoutError as error:
            reason = f"no answer within {seconds:g} s"
            raise ServiceUnreachableError(reason, ReadFailure.SLOW) from error

    async def _transfer(self, answer: Response, seconds: float) -> None:
        """Wait for the transfer of the body.

        Its parts arrive steadily, so that only the time limit of the whole body can be exceeded.
        """
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
    """A store reader that uses the stand-in in this process."""

    def __init__(
        self, source: SimulatedSource, gateway_port: int, peer_port: int, now: Callable[[], float]
    ) -> None:
        super().__init__(UNUSED_ADDRESS, gateway_port, peer_port, now=now)
        self._client = SimulatedClient(source)
