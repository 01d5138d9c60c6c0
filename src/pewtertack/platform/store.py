"""Reads the platform's metadata store: one item and one range, each by list and watch."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import ClassVar, TypeVar
from urllib.parse import quote

import msgspec

from pewtertack.core.effects import ReadDocument
from pewtertack.core.eras import list_number
from pewtertack.core.inputs import DocumentRead, DocumentReadFailed, DocumentUnchanged
from pewtertack.core.source_era import SourceEra, SourceEraError
from pewtertack.core.source_mirror import Mirror, RefreshResult
from pewtertack.core.source_trees import evacuations_differ, tree_document
from pewtertack.errors import PlatformError, ReadFailure
from pewtertack.node import clock
from pewtertack.node.http.client import (
    AnswerTooLargeError,
    HttpClient,
    ServiceResponse,
    ServiceTimeouts,
    ServiceUnreachableError,
)
from pewtertack.platform.documents import RouteCache, parse_configuration
from pewtertack.platform.entries import machine_list_from_entries
from pewtertack.platform.items import parse_items
from pewtertack.settings import Settings
from pewtertack.wire.messages import DocumentKind

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATIONS_PREFIX = "op/evacuate/"
"""Below it lies an item for each zone whose back ends are to be sent nothing."""
BACKENDS_PREFIX = "servers/"
ERA_HEADER = "Store-Era"
STATUS_OK = 200
STATUS_HISTORY_GONE = 410
STATUS_BUSY = (429, 503)
STATUS_OF_STORE = (STATUS_OK, STATUS_HISTORY_GONE)
"""What the store itself answers: with its era, where it has any."""
CONNECT_TIMEOUT_SECONDS = 1.0
RESPONSE_HEAD_TIMEOUT_SECONDS = 8.0
"""For the head of an answer, beyond the time for which a watch may wait."""
RESPONSE_CHUNK_TIMEOUT_SECONDS = 3.0
"""Without a further part of an answer that has begun."""
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
"""The longest answer that is read, of each of the reads under way. A list follows a watch whose
answer is longer."""

Answer = TypeVar("Answer")


class StoreUnreachableError(PlatformError):
    """The store did not answer."""

    code: ClassVar[str] = "store-unreachable"

    def __init__(self, reason: str, failure: ReadFailure) -> None:
        self.failure = failure
        super().__init__(reason)


class StoreBusyError(PlatformError):
    """The store refuses or throttles calls."""

    code: ClassVar[str] = "store-busy"
    failure = ReadFailure.REFUSED


class StoreStatusError(PlatformError):
    """The store answered with a status that is not in its interface."""

    code: ClassVar[str] = "store-status"
    failure = ReadFailure.REFUSED


class StoreBodyError(PlatformError):
    """The store's answer is not what the platform's pages say."""

    code: ClassVar[str] = "store-body"


class StoreEmptyError(PlatformError):
    """The store, or the old state of it that a stale read shows, lacks what was asked for."""

    code: ClassVar[str] = "store-empty"


class _HistoryGoneError(PlatformError):
    """The store has forgotten the changes after the cursor: list again."""

    code: ClassVar[str] = "store-history-gone"


class _Range(msgspec.Struct, frozen=True):
    items: tuple[msgspec.Raw, ...]
    more: bool
    at: int


class _Events(msgspec.Struct, frozen=True):
    events: tuple[msgspec.Raw, ...]
    at: int


class StoreReader:
    """Answers the core's ``ReadDocument`` effects; keeps a mirror for each document."""

    def __init__(
        self,
        address: str,
        gateway_port: int,
        peer_port: int,
        hold_after_return: float = 0.0,
        now: Callable[[], float] = clock.now,
    ) -> None:
        """``hold_after_return``: seconds for which evacuations known before a new era hold."""
        self._gateway_port = gateway_port
        self._peer_port = peer_port
        self._hold_after_return = hold_after_return
        self._now = now
        self._era = SourceEra(ERA_HEADER)
        self._routes = RouteCache()
        self._mirrors = {
            DocumentKind.CONFIGURATION: Mirror(OPERATOR_PREFIX, EVACUATIONS_PREFIX),
            DocumentKind.MACHINE_LIST: Mirror(BACKENDS_PREFIX),
        }
        self._client = HttpClient(address, MAX_RESPONSE_BYTES)
        self._took: float | None = None
        """Seconds that the store needed for the last answer whose time is known."""

    async def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def read(
        self, effect: ReadDocument
    ) -> DocumentRead | DocumentUnchanged | DocumentReadFailed:
        """Do one read; every failure becomes ``DocumentReadFailed``."""
        try:
            answer = await self._read(effect, self._mirrors[effect.kind])
        except PlatformError as error:
            reason = f"{error.code}: {error}"
            answer = DocumentReadFailed(effect.kind, reason, failure=error.failure)
        found, took, self._took = self._era.pop_findings(), self._took, None
        return msgspec.structs.replace(answer, answer_findings=found, answer_seconds=took)

    async def _read(
        self, effect: ReadDocument, mirror: Mirror
    ) -> DocumentRead | DocumentUnchanged | DocumentReadFailed:
        if effect.may_be_stale:
            await self._list(mirror, stale=True)
            if not mirror.items:
                raise StoreEmptyError(mirror.prefix)
            if not mirror.evacuated_zones():
                return self._document(effect, mirror, stale=True)
            # which evacuations hold as of which revision a stale answer does not tell
            mirror.watch_revision = 0
        try:
            refreshed = await self._refresh(mirror, effect.wait)
        except _HistoryGoneError:
            mirror.watch_revision = 0
            raise
        if effect.era > self._era.number:
            raise SourceEraError(f"of era {self._era.number}; peers have heard of {effect.era}")
        same = refreshed is RefreshResult.SAME and not self._lacks_change(effect, mirror)
        if same or refreshed is RefreshResult.OVERTAKEN:
            return DocumentUnchanged(effect.kind)
        return self._document(effect, mirror)

    def _lacks_change(self, effect: ReadDocument, mirror: Mirror) -> bool:
        if effect.kind is not DocumentKind.CONFIGURATION:
            return False
        return evacuations_differ(effect, mirror, self._holds(effect))

    def _holds(self, effect: ReadDocument) -> bool:
        """Tell whether the era has begun so shortly ago that what was known before it holds.

        This node may have read nothing of it for long and have heard of it by others.
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
            pass  # it has each write of an item; a list has the last ones
        await self._list(mirror)
        return RefreshResult.CHANGED

    async def _list(self, mirror: Mirror, stale: bool = False) -> None:
        """Read all items; what changes between two pages is seen by the watch that follows."""
        fresh = mirror.new_empty()
        fresh.stale = stale
        after = ""
        while True:
            path = f"/kv-range?PathPrefix={mirror.prefix}" + (
                f"&after={quote(after)}" if after else ""
            )
            page = _decode(await self._get(path + ("&stale=1" if stale else "")), _Range)
            items = parse_items(page.items)
            fresh.apply_page(items, page.at)
            if not page.more or not items:
                break
            after = items[-1].key
        fresh.era = self._era.known
        mirror.replace_with(fresh)
        if after and not stale and mirror.prefix == OPERATOR_PREFIX:
            await self._watch(mirror, 0.0)  # pages are no snapshot; their number must be exact

    async def _watch(self, mirror: Mirror, wait: float) -> RefreshResult:
        """Take in what has changed; other reads may have changed the mirror meanwhile."""
        after = mirror.watch_revision
        query = f"PathPrefix={mirror.prefix}&after={after}&WaitMs={int(wait * 1000)}"
        found = _decode(await self._get(f"/kv-watch?{query}", wait), _Events)
        if wait and found.events:
            self._took = None  # a change has ended the wait
        if mirror.watch_revision == 0:
            return await self._refresh(mirror, 0.0)  # another read has found the history gone
        return mirror.apply_changes(after, found.at, parse_items(found.events))

    async def _get(self, path: str, wait: float = 0.0) -> bytes:
        timeouts = ServiceTimeouts(
            CONNECT_TIMEOUT_SECONDS,
            wait + RESPONSE_HEAD_TIMEOUT_SECONDS,
            RESPONSE_CHUNK_TIMEOUT_SECONDS,
        )
        sent_in = self._era.known
        try:
            answer = await self._client.get(path, timeouts)
        except ServiceUnreachableError as error:
            raise StoreUnreachableError(str(error), error.failure) from error
        if answer.head_seconds >= wait:
            self._took = answer.head_seconds - wait
        self._note_era(answer, sent_in)
        if answer.status == STATUS_HISTORY_GONE:
            raise _HistoryGoneError("listing again")
        if answer.status in STATUS_BUSY:
            raise StoreBusyError(f"status {answer.status}")
        if answer.status != STATUS_OK:
            raise StoreStatusError(f"status {answer.status}")
        return answer.body

    def _note_era(self, answer: ServiceResponse, sent_in: int | None) -> None:
        """Take in the era of an answer; refusals may come from others than the store.

        Raises:
            SourceEraError: the answer must not be used.
        """
        value = answer.header(ERA_HEADER.lower().encode())
        if value is None and answer.status not in STATUS_OF_STORE:
            return
        try:
            self._era.update(self._now(), value, sent_in, answer.new_connection)
        except SourceEraError:
            self._client.close()  # what is asked next goes over new connections
            raise

    def _document(
        self, effect: ReadDocument, mirror: Mirror, stale: bool = False
    ) -> DocumentRead | DocumentUnchanged:
        if effect.kind is DocumentKind.CONFIGURATION:
            holds = self._holds(effect)
            read = partial(parse_configuration, known=self._routes)
            return tree_document(effect, mirror, CONFIGURATION_KEY, read, holds, stale)
        entries = mirror.values_by_age(BACKENDS_PREFIX)
        made = {name: mirror.created_revisions.get(BACKENDS_PREFIX + name, 0) for name in entries}
        machines, findings = machine_list_from_entries(
            entries, self._gateway_port, self._peer_port, made
        )
        number = list_number(mirror.era or 0, mirror.change_revision)
        return DocumentRead(effect.kind, number, machines, stale, findings)


def _decode(body: bytes, answer_type: type[Answer]) -> Answer:
    try:
        return msgspec.json.decode(body, type=answer_type)
    except msgspec.MsgspecError as error:
        raise StoreBodyError(str(error)) from error


def make_reader(settings: Settings) -> StoreReader:
    """Return the reader for a node with these settings."""
    return StoreReader(
        str(settings.source.url.address),
        settings.listen.gateway.port if settings.listen.gateway is not None else 0,
        settings.listen.peer.port,
        settings.source.hold_after_return.seconds,
    )
