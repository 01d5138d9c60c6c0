"""Queries the local back end for how long it will still be cold.

The back end reports that in its health responses. Queries use a connection of their own;
``pewtertack.routing.cold`` decides when one is due and what follows from the response.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from pewtertack.core.configuration.resolved import ResolvedService
from pewtertack.node.gateway.incarnations import Incarnation
from pewtertack.node.http.client import (
    AnswerTooLargeError,
    HttpClient,
    ServiceResponse,
    ServiceTimeouts,
    ServiceUnreachableError,
)

logger = logging.getLogger(__name__)

CHECK_SECONDS = 0.1
"""Interval at which the watch checks whether a query is due."""
UNBOUNDED_CHECK_SECONDS = 1.0
"""Interval of the checks while the service sets no limit for cold back ends."""
RESPONSE_TIMEOUT_SECONDS = 0.4
TIMEOUTS = ServiceTimeouts(
    RESPONSE_TIMEOUT_SECONDS, RESPONSE_TIMEOUT_SECONDS, RESPONSE_TIMEOUT_SECONDS
)
"""For the connection and the response; a back end without a free slot queues the query."""
BODY_BYTES = 64 * 1024
"""Limit on the body of a health response."""
MILLISECONDS_PER_SECOND = 1000.0


class WatchedBackend(Protocol):
    """The local back end, as the watch sees it."""

    @property
    def address(self) -> str:
        """``ip:port`` to send queries to."""

    @property
    def service(self) -> ResolvedService | None:
        """The settings of its service, ``None`` while they are unknown."""

    def accepting(self) -> list[tuple[str, Incarnation]]:
        """Return name and state of each incarnation that accepts work.

        There is more than one only while the back end at the address is being replaced.
        """

    def note_health_response(
        self, name: str, incarnation: Incarnation, response: ServiceResponse, sent_at: float
    ) -> None:
        """Apply what a health response reports besides the cold state."""


class ColdWatch:
    """Sends the queries that are due.

    Args:
        backend: the back end to query.
        header: name of the header with the milliseconds, in lower case; no queries if empty.
        clock: monotonic time in seconds.
    """

    def __init__(self, backend: WatchedBackend, header: bytes, clock: Callable[[], float]) -> None:
        self._backend = backend
        self._header = header
        self._clock = clock
        self._client: HttpClient | None = None

    async def run(self) -> None:
        """Send queries until cancelled."""
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
        for name, incarnation in self._backend.accepting():
            now = self._clock()
            limit = incarnation.admission.rate_limit
            if limit.may_start(now) and incarnation.cold.should_query(now):
                limit.note_start(now)
                await self._query(name, incarnation, path)

    async def _query(self, name: str, incarnation: Incarnation, path: str) -> None:
        """Record what the health response reports; one without the header changes nothing."""
        client = self._client_for(self._backend.address)
        sent_at = self._clock()
        try:
            response = await client.get(path, TIMEOUTS)
        except (ServiceUnreachableError, AnswerTooLargeError) as error:
            logger.debug("no health response from %s: %s", self._backend.address, error)
            return  # the query is repeated; until then the known state stays in force
        self._backend.note_health_response(name, incarnation, response, sent_at)
        remaining = self._remaining_of(response)
        if remaining is not None:
            incarnation.cold.note_remaining(sent_at, self._clock(), remaining)

    def _client_for(self, address: str) -> HttpClient:
        """Return a client that keeps its connection between queries."""
        if self._client is None or address != self._client.address:
            if self._client is not None:
                self._client.close()
            self._client = HttpClient(address, BODY_BYTES)
        return self._client

    def _remaining_of(self, response: ServiceResponse) -> float | None:
        value = response.header(self._header)
        if value is None:
            return None
        try:
            return max(0.0, float(value) / MILLISECONDS_PER_SECOND)
        except ValueError:
            return None
