"""Reads two key ranges of the platform's metadata store, each by listing and watching."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import ClassVar
from urllib.parse import quote

import msgspec

from pewtertack.core.effects import ReadDocument
from pewtertack.core.eras import list_number
from pewtertack.core.inputs import DocumentRead, DocumentReadFailed, DocumentUnchanged
from pewtertack.core.items import decode_json
from pewtertack.core.source_era import SourceEra, SourceEraError
from pewtertack.core.source_mirror import Mirror, RefreshResult
from pewtertack.core.source_trees import evacuations_differ, tree_document
from pewtertack.errors import PlatformError, ReadFailure
from pewtertack.node import clock
from pewtertack.node.http.client import (
    SOURCE_IDLE_SECONDS,
    AnswerTooLargeError,
    HttpClient,
    ServiceResponse,
    ServiceTimeouts,
    ServiceUnreachableError,
)
from pewtertack.platform.documents import RouteCache, parse_configuration
from pewtertack.platform.entries import parse_entries
from pewtertack.platform.items import parse_items
from pewtertack.settings import Settings
from pewtertack.wire.messages import DocumentKind

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATIONS_PREFIX = "op/evacuate/"
"""Prefix of the items that each name a zone whose back ends must get no requests."""
ENTRY_PREFIX = "servers/"
ERA_HEADER = "Store-Era"
STATUS_OK = 200
STATUS_HISTORY_GONE = 410
BUSY_STATUSES = (429, 503)
STORE_STATUSES = (STATUS_OK, STATUS_HISTORY_GONE)
"""Statuses of the store itself, whose responses carry its era if it has one."""
CONNECT_TIMEOUT_SECONDS = 1.0
RESPONSE_HEAD_TIMEOUT_SECONDS = 8.0
"""Limit for the head of a response, beyond the time for which a watch may wait."""
CHUNK_TIMEOUT_SECONDS = 3.0
"""Limit between two chunks of a response body."""
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
"""Limit of each of several concurrent responses. A watch that exceeds it is followed by a list."""


class StoreUnreachableError(PlatformError):
    """The store did not respond."""

    code: ClassVar[str] = "store-unreachable"

    def __init__(self, reason: str, failure: ReadFailure) -> None:
        self.failure = failure
        super().__init__(reason)


class StoreBusyError(PlatformError):
    """The store rejects or throttles requests."""

    code: ClassVar[str] = "store-busy"
    failure = ReadFailure.REFUSED


class StoreStatusError(PlatformError):
    """The store responded with a status that its interface does not define."""

    code: ClassVar[str] = "store-status"
    failure = ReadFailure.REFUSED


class StoreBodyError(PlatformError):
    """The body of a response does not have the documented format."""

    code: ClassVar[str] = "store-body"


class StoreEmptyError(PlatformError):
    """The store, or the older state that a stale read returns, has no items to read."""

    code: ClassVar[str] = "store-empty"


class _HistoryGoneError(PlatformError):
    """The store has discarded the history after the watched revision; items must be listed."""

    code: ClassVar[str] = "store-history-gone"


class _Range(msgspec.Struct, frozen=True):
    items: tuple[msgspec.Raw, ...]
    more: bool
    at: int


class _Events(msgspec.Struct, frozen=True):
    events: tuple[msgspec.Raw, ...]
    at: int


class StoreReader:
    """Executes the core's ``ReadDocument`` effects, with a mirror of the items per document."""

    def __init__(
        self,
        address: str,
        gateway_port: int,
        peer_port: int,
        hold_after_return: float = 0.0,
        now: Callable[[], float] = clock.now,
    ) -> None:
        """``hold_after_return``: seconds in a new era for which earlier evacuations stay valid."""
        self._gateway_port = gateway_port
        self._peer_port = peer_port
        self._hold_after_return = hold_after_return
        self._now = now
        self._era = SourceEra(ERA_HEADER)
        self._routes = RouteCache()
        self._mirrors = {
            DocumentKind.CONFIGURATION: Mirror(OPERATOR_PREFIX, EVACUATIONS_PREFIX),
            DocumentKind.MACHINE_LIST: Mirror(ENTRY_PREFIX),
        }
        self._client = HttpClient(address, MAX_RESPONSE_BYTES, max_idle_seconds=SOURCE_IDLE_SECONDS)
        self._last_seconds: float | None = None
        """Seconds that the store took for the last response whose duration is known."""

    async def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def read(
        self, effect: ReadDocument
    ) -> DocumentRead | DocumentUnchanged | DocumentReadFailed:
        """Perform one read; every failure is returned as ``DocumentReadFailed``."""
        try:
            result = await self._read(effect, self._mirrors[effect.kind])
        except PlatformError as error:
            reason = f"{error.code}: {error}"
            result = DocumentReadFailed(effect.kind, reason, failure=error.failure)
        findings, seconds, self._last_seconds = self._era.pop_findings(), self._last_seconds, None
        return msgspec.structs.replace(result, answer_findings=findings, answer_seconds=seconds)

    async def _read(
        self, effect: ReadDocument, mirror: Mirror
    ) -> DocumentRead | DocumentUnchanged | DocumentReadFailed:
        if effect.may_be_stale:
            await self._list(mirror, stale=True)
            if not mirror.items:
                raise StoreEmptyError(f"the store has no items under {mirror.prefix!r}")
            if not mirror.evacuated_zones():
                return self._document(effect, mirror, stale=True)
            # a stale list does not tell as of which revision its evacuations are valid
            mirror.watch_revision = 0
        try:
            refreshed = await self._refresh(mirror, effect.wait)
        except _HistoryGoneError:
            mirror.watch_revision = 0
            raise
        if effect.era > self._era.number:
            raise SourceEraError(f"of era {self._era.number}; peers reported era {effect.era}")
        same = refreshed is RefreshResult.SAME and not self._lacks_change(effect, mirror)
        if same or refreshed is RefreshResult.OVERTAKEN:
            return DocumentUnchanged(effect.kind)
        return self._document(effect, mirror)

    def _lacks_change(self, effect: ReadDocument, mirror: Mirror) -> bool:
        if effect.kind is not DocumentKind.CONFIGURATION:
            return False
        return evacuations_differ(effect, mirror, self._in_hold_period(effect))

    def _in_hold_period(self, effect: ReadDocument) -> bool:
        """Return whether evacuations known before the era stay valid, because it began recently.

        Peers may have reported the era long before this node read anything of it.
        """
        since = self._era.known_since
        if effect.era == self._era.number:
            since = min(since, effect.era_since)
        return self._now() < since + self._hold_after_return

    async def _refresh(self, mirror: Mirror, wait: float) -> RefreshResult:
        if mirror.watch_revision == 0 or mirror.era != self._era.known:
            await self._list(mirror)
            return RefreshResult.CHANGED
        try:
            return await self._watch(mirror, wait)
        except _HistoryGoneError:
            if not mirror.stale:
                raise
        except AnswerTooLargeError:
            pass  # a watch returns every write of an item; a list only the last one
        await self._list(mirror)
        return RefreshResult.CHANGED

    async def _list(self, mirror: Mirror, stale: bool = False) -> None:
        """List all items; the next watch returns changes made between two pages."""
        listed = mirror.new_empty()
        listed.stale = stale
        after = ""
        while True:
            path = f"/kv-range?PathPrefix={mirror.prefix}" + (
                f"&after={quote(after)}" if after else ""
            )
            page = decode_json(
                await self._get(path + ("&stale=1" if stale else "")), _Range, StoreBodyError
            )
            items = parse_items(page.items)
            listed.apply_page(items, page.at)
            if not page.more:
                break
            if not items or items[-1].key <= after:
                raise StoreBodyError(f"a page of {mirror.prefix!r} does not advance past {after!r}")
            after = items[-1].key
        listed.era = self._era.known
        mirror.replace_with(listed)
        if after and not stale and mirror.prefix == OPERATOR_PREFIX:
            await self._watch(mirror, 0.0)  # pages are no snapshot; the revision must be exact

    async def _watch(self, mirror: Mirror, wait: float) -> RefreshResult:
        """Apply the changes to the mirror, which concurrent reads may change meanwhile."""
        after = mirror.watch_revision
        query = f"PathPrefix={mirror.prefix}&after={after}&WaitMs={int(wait * 1000)}"
        changes = decode_json(await self._get(f"/kv-watch?{query}", wait), _Events, StoreBodyError)
        if wait and changes.events:
            self._last_seconds = None  # a change ended the wait early, so the duration is unknown
        if mirror.watch_revision == 0:
            return await self._refresh(mirror, 0.0)  # a concurrent read found the history discarded
        return mirror.apply_changes(after, changes.at, parse_items(changes.events))

    async def _get(self, path: str, wait: float = 0.0) -> bytes:
        timeouts = ServiceTimeouts(
            CONNECT_TIMEOUT_SECONDS, wait + RESPONSE_HEAD_TIMEOUT_SECONDS, CHUNK_TIMEOUT_SECONDS
        )
        sent_in_era = self._era.known
        try:
            response = await self._client.get(path, timeouts)
        except ServiceUnreachableError as error:
            raise StoreUnreachableError(str(error), error.failure) from error
        if response.head_seconds >= wait:
            self._last_seconds = response.head_seconds - wait
        self._note_era(response, sent_in_era)
        if response.status == STATUS_HISTORY_GONE:
            raise _HistoryGoneError("items must be listed again")
        if response.status in BUSY_STATUSES:
            raise StoreBusyError(f"status {response.status}")
        if response.status != STATUS_OK:
            raise StoreStatusError(f"status {response.status}")
        return response.body

    def _note_era(self, response: ServiceResponse, sent_in_era: int | None) -> None:
        """Process the era of a response; others than the store may have sent errors.

        Raises:
            SourceEraError: the response must not be used.
        """
        value = response.header(ERA_HEADER.lower().encode())
        if value is None and response.status not in STORE_STATUSES:
            return
        try:
            self._era.update(self._now(), value, sent_in_era, response.new_connection)
        except SourceEraError:
            self._client.close()  # the next requests use new connections
            raise

    def _document(
        self, effect: ReadDocument, mirror: Mirror, stale: bool = False
    ) -> DocumentRead | DocumentUnchanged:
        if effect.kind is DocumentKind.CONFIGURATION:
            in_hold_period = self._in_hold_period(effect)
            read = partial(parse_configuration, cache=self._routes)
            return tree_document(effect, mirror, CONFIGURATION_KEY, read, in_hold_period, stale)
        entries = mirror.values_by_age(ENTRY_PREFIX)
        created = {name: mirror.created_revisions.get(ENTRY_PREFIX + name, 0) for name in entries}
        machines, findings = parse_entries(entries, self._gateway_port, self._peer_port, created)
        number = list_number(mirror.era or 0, mirror.change_revision, effect.after)
        return DocumentRead(effect.kind, number, machines, stale, findings)


def make_reader(settings: Settings) -> StoreReader:
    """Return the reader for a node with the given settings."""
    return StoreReader(
        str(settings.source.url.address),
        settings.listen.gateway.port if settings.listen.gateway is not None else 0,
        settings.listen.peer.port,
        settings.source.hold_after_return.seconds,
    )
