"""The readers' side of a numbered document: long poll with ETag and a limit of readers."""

from __future__ import annotations

import time

import msgspec

from pewtertack.lab.asgi import Handler, Request, Response, json_response
from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.platform.store import Availability, DocumentStore

RETRY_AFTER_SECONDS = 1
LONGEST_WAIT = 60.0
ERA_HEADER = "store-era"
"""In all answers of the document itself; readers that know of no eras pass it over."""


class ReaderCounters(msgspec.Struct):
    """What the readers did since the start. ``peak_readers`` counts refused ones as well."""

    readers: int = 0
    peak_readers: int = 0
    changed: int = 0
    unchanged: int = 0
    refused: int = 0
    unavailable: int = 0
    bytes_served: int = 0


class ReadApplication:
    """Handles ``GET ...?after=N&wait=S``.

    Args:
        store: the document.
        body_key: the key of the document in the answer, ``tree`` or ``machines``.
        reader_limit: reads beyond this many at once get 503.
    """

    def __init__(self, store: DocumentStore, body_key: str, reader_limit: int) -> None:
        self._store = store
        self._body_key = body_key
        self._reader_limit = reader_limit
        self.counters = ReaderCounters()

    @property
    def handler(self) -> Handler:
        """The handler of the one read path."""
        return self._read

    async def _read(self, request: Request) -> Response:
        counters = self.counters
        counters.readers += 1
        counters.peak_readers = max(counters.peak_readers, counters.readers)
        try:
            if counters.readers > self._reader_limit:
                counters.refused += 1
                return _come_back("too many readers")
            return await self._poll(_known_number(request), _wait_seconds(request))
        finally:
            counters.readers -= 1

    async def _poll(self, known: int | None, wait: float) -> Response:
        deadline = time.monotonic() + wait
        while True:
            if self._store.unreachable or self._store.faults.availability is not Availability.UP:
                self.counters.unavailable += 1
                return _come_back("unavailable")
            shown = self._store.answer(time.time())
            left = deadline - time.monotonic()
            if shown.number != known:
                self.counters.changed += 1
                body = {"number": shown.number, self._body_key: shown.document}
                era = str(self._store.era)
                return self._counted(json_response(body, etag=f'"{shown.number}"', store_era=era))
            if left <= 0:
                self.counters.unchanged += 1
                headers = {"etag": f'"{shown.number}"', ERA_HEADER: str(self._store.era)}
                return Response(304, b"", headers)
            await self._store.wait_for_change(
                min(left, self._store.next_visibility(time.time()) + 0.001)
            )

    def _counted(self, answer: Response) -> Response:
        self.counters.bytes_served += len(answer.body)
        return answer


def _known_number(request: Request) -> int | None:
    """Return the number that the reader has, from ``If-None-Match`` or ``after``."""
    text = request.headers.get("if-none-match", request.query.get("after", "")).strip('"')
    return int(text) if text.isdigit() else None


def _wait_seconds(request: Request) -> float:
    """Return how long to hold the read open, in seconds.

    Raises:
        LabUsageError: ``wait`` is no number.
    """
    try:
        wait = float(request.query.get("wait", "0"))
    except ValueError as error:
        raise LabUsageError(f"wait: {error}") from error
    return min(max(wait, 0.0), LONGEST_WAIT)


def _come_back(reason: str) -> Response:
    return json_response({"error": reason}, 503, retry_after=str(RETRY_AFTER_SECONDS))
