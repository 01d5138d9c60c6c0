"""Read endpoint of a numbered document: long poll with ETag and a limit on concurrent reads."""

from __future__ import annotations

import time

import msgspec

from pewtertack.lab.asgi import Handler, Request, Response, json_response
from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.platform.store import Availability, DocumentStore

RETRY_AFTER_SECONDS = 1
MAX_WAIT_SECONDS = 60.0
ERA_HEADER = "store-era"
"""Sent with every 200 and 304 response; readers that do not support eras ignore it."""


class ReaderCounters(msgspec.Struct):
    """Counts of reads since the start.

    ``readers`` is the number of reads in progress; it and ``peak_readers`` include refused ones.
    """

    readers: int = 0
    peak_readers: int = 0
    changed: int = 0
    unchanged: int = 0
    refused: int = 0
    bytes_served: int = 0


class ReadApplication:
    """Handles ``GET ...?after=N&wait=S``.

    Args:
        store: the document.
        body_key: the key of the document in the response, ``tree`` or ``machines``.
        reader_limit: limit on concurrent reads; further ones get 503.
    """

    def __init__(self, store: DocumentStore, body_key: str, reader_limit: int) -> None:
        self._store = store
        self._body_key = body_key
        self._reader_limit = reader_limit
        self.counters = ReaderCounters()

    @property
    def handler(self) -> Handler:
        """The handler of the read path."""
        return self._handle_read

    async def _handle_read(self, request: Request) -> Response:
        counters = self.counters
        counters.readers += 1
        counters.peak_readers = max(counters.peak_readers, counters.readers)
        try:
            if counters.readers > self._reader_limit:
                counters.refused += 1
                return _unavailable_response("too many readers")
            return await self._long_poll(_parse_known_number(request), _parse_wait_seconds(request))
        finally:
            counters.readers -= 1

    async def _long_poll(self, known_number: int | None, wait_seconds: float) -> Response:
        deadline = time.monotonic() + wait_seconds
        while True:
            if self._store.unreachable or self._store.faults.availability is not Availability.UP:
                return _unavailable_response("unavailable")
            version = self._store.version_for_read(time.time())
            remaining = deadline - time.monotonic()
            if version.number != known_number:
                self.counters.changed += 1
                body = {"number": version.number, self._body_key: version.document}
                era = str(self._store.era)
                return self._count_bytes(
                    json_response(body, etag=f'"{version.number}"', store_era=era)
                )
            if remaining <= 0:
                self.counters.unchanged += 1
                headers = {"etag": f'"{version.number}"', ERA_HEADER: str(self._store.era)}
                return Response(304, b"", headers)
            await self._store.wait_for_change(
                min(remaining, self._store.seconds_until_next_visible(time.time()) + 0.001)
            )

    def _count_bytes(self, response: Response) -> Response:
        self.counters.bytes_served += len(response.body)
        return response


def _parse_known_number(request: Request) -> int | None:
    """Return the number of the reader's version, from ``If-None-Match`` or ``after``."""
    text = request.headers.get("if-none-match", request.query.get("after", "")).strip('"')
    return int(text) if text.isdigit() else None


def _parse_wait_seconds(request: Request) -> float:
    """Return for how many seconds the read may wait for a change.

    Raises:
        LabUsageError: ``wait`` is not a number.
    """
    try:
        wait_seconds = float(request.query.get("wait", "0"))
    except ValueError as error:
        raise LabUsageError(f"wait: {error}") from error
    return min(max(wait_seconds, 0.0), MAX_WAIT_SECONDS)


def _unavailable_response(reason: str) -> Response:
    return json_response({"error": reason}, 503, retry_after=str(RETRY_AFTER_SECONDS))
