"""Asks the back end beside this node how long it stays cold.

It says so in its health answers. The question goes over a connection of its own; when it is
due, and what follows from the answer, is decided by ``pewtertack.routing.cold``.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from pewtertack.core.configuration.resolved import ResolvedService
from pewtertack.node.http.client import (
    AnswerTooLargeError,
    HttpClient,
    ServiceResponse,
    ServiceTimeouts,
    ServiceUnreachableError,
)
from pewtertack.routing.cold import ColdStart

logger = logging.getLogger(__name__)

CHECK_SECONDS = 0.1
"""Between two looks whether a question is due."""
UNBOUNDED_CHECK_SECONDS = 1.0
"""The same while its service bounds nothing."""
ANSWER_SECONDS = 0.4
TIMEOUTS = ServiceTimeouts(ANSWER_SECONDS, ANSWER_SECONDS, ANSWER_SECONDS)
"""For connection and answer; a back end whose slots are all taken answers in its turn."""
BODY_BYTES = 64 * 1024
MILLISECONDS = 1000.0


class WatchedBackend(Protocol):
    """The back end at the address beside this node, as far as it is asked."""

    @property
    def address(self) -> str:
        """``ip:port`` to ask at."""

    @property
    def service(self) -> ResolvedService | None:
        """The settings of its service, ``None`` while they are unknown."""

    def cold_starts(self) -> list[ColdStart]:
        """Return what is known of those that take work; more than one only at a change."""


class ColdWatch:
    """Asks when it is time to.

    Args:
        backend: the back end to ask.
        header: name of the header with the milliseconds, in lower case; empty asks nothing.
        clock: monotonic time in seconds.
    """

    def __init__(self, backend: WatchedBackend, header: bytes, clock: Callable[[], float]) -> None:
        self._backend = backend
        self._header = header
        self._clock = clock
        self._client: HttpClient | None = None

    async def run(self) -> None:
        """Ask until cancelled."""
        try:
            while self._header:
                service = self._backend.service
                if service is not None and service.cold_rate <= 0:
                    await asyncio.sleep(UNBOUNDED_CHECK_SECONDS)
                    continue
                if service is not None:
                    await self._query_due(service.health_path)
                await asyncio.sleep(CHECK_SECONDS)
        finally:
            if self._client is not None:
                self._client.close()

    async def _query_due(self, path: str) -> None:
        for cold in self._backend.cold_starts():
            if cold.asks(self._clock()):
                await self._query(cold, path)

    async def _query(self, cold: ColdStart, path: str) -> None:
        """Learn what the health answer says; one that says nothing changes nothing."""
        client = self._client_for(self._backend.address)
        sent_at = self._clock()
        try:
            answer = await client.get(path, TIMEOUTS)
        except (ServiceUnreachableError, AnswerTooLargeError) as error:
            logger.debug("no health answer of %s: %s", self._backend.address, error)
            return  # it is asked again; meanwhile what was known holds
        remaining = self._remaining_of(answer)
        if remaining is not None:
            cold.learn(sent_at, self._clock(), remaining)

    def _client_for(self, address: str) -> HttpClient:
        """Return a client that keeps its connection from one question to the next."""
        if self._client is None or address != self._client.address:
            if self._client is not None:
                self._client.close()
            self._client = HttpClient(address, BODY_BYTES)
        return self._client

    def _remaining_of(self, answer: ServiceResponse) -> float | None:
        value = answer.header(self._header)
        if value is None:
            return None
        try:
            return max(0.0, float(value) / MILLISECONDS)
        except ValueError:
            return None
