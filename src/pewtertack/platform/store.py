"""Reads the platform's metadata store: one item and one range, each by list and watch."""

from __future__ import annotations

import base64
import contextlib
from collections.abc import Iterable
from typing import Any, ClassVar, TypeVar

import msgspec

from pewtertack.core.effects import ReadDocument
from pewtertack.core.inputs import DocumentRead, DocumentReadFailed, DocumentUnchanged
from pewtertack.core.items import ItemFinding, ItemFormatError, evacuated_zones_of, read_item
from pewtertack.errors import PlatformError
from pewtertack.node.http.client import HttpClient, ServiceTimeouts, ServiceUnreachableError
from pewtertack.platform.documents import tree_of
from pewtertack.platform.entries import machines_of
from pewtertack.settings import Settings
from pewtertack.wire.messages import DocumentKind

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATIONS_PREFIX = "op/evacuate/"
"""Below it lies an item for each zone whose back ends are to be sent nothing."""
BACKENDS_PREFIX = "servers/"
STATUS_OK = 200
STATUS_HISTORY_GONE = 410
STATUS_BUSY = (429, 503)
VERSION_STEP = 1_000_000_000
"""A tree's number is the operator's version times this, plus the store's revision as of which
the evacuations are known, where any play a part. An evacuation does not change the version;
all readers must number the same tree alike, and never two trees."""
ANSWER_SECONDS = 1.0
"""For an answer of the store beyond the time for which a watch may wait."""
ANSWER_BYTES = 16 * 1024 * 1024
"""The longest answer that is read; a page of the store has 1 MB or so, a watch may have more."""

SPOILT = b""
"""Stands for a value that cannot be told: no document of the pages is empty."""

Answer = TypeVar("Answer")


class StoreUnreachableError(PlatformError):
    """The store did not answer."""

    code: ClassVar[str] = "store-unreachable"


class StoreBusyError(PlatformError):
    """The store refuses or throttles calls."""

    code: ClassVar[str] = "store-busy"


class StoreStatusError(PlatformError):
    """The store answered with a status that is not in its interface."""

    code: ClassVar[str] = "store-status"


class StoreBodyError(PlatformError):
    """The store's answer is not what the platform's pages say."""

    code: ClassVar[str] = "store-body"


class StoreEmptyError(PlatformError):
    """The store, or the old state of it that a stale read shows, lacks what was asked for."""

    code: ClassVar[str] = "store-empty"


class _HistoryGoneError(PlatformError):
    """The store has forgotten the changes after the cursor: list again."""

    code: ClassVar[str] = "store-history-gone"


class _Key(msgspec.Struct, frozen=True):
    key: str = msgspec.field(name="PrivateKey")


class _Item(_Key, frozen=True, kw_only=True):
    revision: int = msgspec.field(name="Revision")
    value: str = msgspec.field(name="Value", default="")
    made: int = 0
    gone: bool = False


class _Range(msgspec.Struct, frozen=True):
    items: tuple[msgspec.Raw, ...]
    more: bool
    at: int


class _Events(msgspec.Struct, frozen=True):
    events: tuple[msgspec.Raw, ...]
    at: int


class _Mirror:
    """The items below one prefix as of the store's revision ``at``; 0 before the first list."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.items: dict[str, bytes] = {}
        """Their bytes; ``SPOILT`` for one that the store hands out in no known form."""
        self.made: dict[str, int] = {}
        """The revisions of their creation."""
        self.readable = b""
        """The last configuration that could be read; it holds while a newer one cannot."""
        self.at = 0
        """From which revision a watch goes on."""
        self.number = 0
        """The revision of the newest change that is known to be in ``items``.

        Readers that follow the store without a gap number a change alike.
        """
        self.told = 0
        """The number of the newest tree that was made of it."""
        self.stale = False
        """Whether it comes from a stale list that no watch has followed yet."""

    def take(self, item: _Item) -> None:
        if item.gone:
            self.items.pop(item.key, None)
            self.made.pop(item.key, None)
            return
        try:
            self.items[item.key] = base64.b64decode(item.value, validate=True)
        except ValueError:
            self.items[item.key] = SPOILT
        self.made[item.key] = item.made

    def by_age(self, prefix: str) -> dict[str, bytes]:
        """Return the values of the items below ``prefix``, the oldest item first."""
        keys = [key for key in self.items if key.startswith(prefix)]
        keys.sort(key=lambda key: (self.made[key], key))
        return {key.removeprefix(prefix): self.items[key] for key in keys}


class StoreReader:
    """Answers the core's ``ReadDocument`` effects; keeps a mirror for each document."""

    def __init__(self, address: str, gateway_port: int, peer_port: int) -> None:
        self._gateway_port = gateway_port
        self._peer_port = peer_port
        self._mirrors = {
            DocumentKind.CONFIGURATION: _Mirror(OPERATOR_PREFIX),
            DocumentKind.MACHINE_LIST: _Mirror(BACKENDS_PREFIX),
        }
        self._client = HttpClient(address, ANSWER_BYTES)

    async def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def read(
        self, effect: ReadDocument
    ) -> DocumentRead | DocumentUnchanged | DocumentReadFailed:
        """Do one read; every failure becomes ``DocumentReadFailed``."""
        mirror = self._mirrors[effect.kind]
        try:
            if effect.may_be_stale:
                await self._list(mirror, stale=True)
                if not mirror.items:
                    raise StoreEmptyError(mirror.prefix)
                if not _evacuated(mirror):
                    return self._document(effect, mirror, stale=True)
                # which evacuations hold as of which revision a stale answer does not tell
                mirror.at = 0
            changed = await self._refresh(mirror, effect.wait)
            if not changed and not _lacks_return(effect, mirror):
                return DocumentUnchanged(effect.kind)
            return self._document(effect, mirror)
        except PlatformError as error:
            mirror.at = 0 if isinstance(error, _HistoryGoneError) else mirror.at
            return DocumentReadFailed(effect.kind, f"{error.code}: {error}")

    async def _refresh(self, mirror: _Mirror, wait: float) -> bool:
        if mirror.at == 0:
            await self._list(mirror)
            return True
        try:
            return await self._watch(mirror, wait)
        except _HistoryGoneError:
            if not mirror.stale:
                raise
            await self._list(mirror)
            return True

    async def _list(self, mirror: _Mirror, stale: bool = False) -> None:
        """Read all items; what changes between two pages is seen by the watch that follows.

        Pages of a stale list may be of different ages, and what revision each shows is not
        told: the watch goes on from the newest item of the page that is the furthest back.
        """
        fresh = _Mirror(mirror.prefix)
        fresh.stale = stale
        after = ""
        while True:
            path = f"/kv-range?PathPrefix={mirror.prefix}" + (f"&after={after}" if after else "")
            page = _decode(await self._get(path + ("&stale=1" if stale else "")), _Range)
            items = _items_of(page.items)
            shown = min(page.at, _newest_of(items)) if stale else page.at
            fresh.at = min(fresh.at, shown) if stale and fresh.at else fresh.at or shown
            for item in items:
                fresh.take(item)
            if not page.more or not items:
                break
            after = items[-1].key
        mirror.items, mirror.at, mirror.stale = fresh.items, fresh.at, fresh.stale
        mirror.made = fresh.made
        mirror.number = fresh.at
        if after and not stale and mirror.prefix == OPERATOR_PREFIX:
            await self._watch(mirror, 0.0)  # pages are no snapshot; their number must be exact

    async def _watch(self, mirror: _Mirror, wait: float) -> bool:
        query = f"PathPrefix={mirror.prefix}&after={mirror.at}&WaitMs={int(wait * 1000)}"
        found = _decode(await self._get(f"/kv-watch?{query}", wait), _Events)
        for event in _items_of(found.events):
            mirror.take(event)
            mirror.number = max(mirror.number, event.revision)
        mirror.at = max(mirror.at, found.at)
        mirror.stale = False
        return bool(found.events)

    async def _get(self, path: str, wait: float = 0.0) -> bytes:
        timeouts = ServiceTimeouts(ANSWER_SECONDS, wait + ANSWER_SECONDS)
        try:
            answer = await self._client.get(path, timeouts)
        except ServiceUnreachableError as error:
            raise StoreUnreachableError(str(error)) from error
        if answer.status == STATUS_HISTORY_GONE:
            raise _HistoryGoneError("listing again")
        if answer.status in STATUS_BUSY:
            raise StoreBusyError(f"status {answer.status}")
        if answer.status != STATUS_OK:
            raise StoreStatusError(f"status {answer.status}")
        return answer.body

    def _document(
        self, effect: ReadDocument, mirror: _Mirror, stale: bool = False
    ) -> DocumentRead | DocumentUnchanged:
        kind = effect.kind
        if kind is DocumentKind.MACHINE_LIST:
            entries = mirror.by_age(BACKENDS_PREFIX)
            made = {name: mirror.made.get(BACKENDS_PREFIX + name, 0) for name in entries}
            machines, findings = machines_of(entries, self._gateway_port, self._peer_port, made)
            return DocumentRead(kind, mirror.number, machines, stale, findings)
        evacuated, findings = evacuated_zones_of(_evacuated(mirror))
        read = _read_tree(mirror, evacuated)
        if read is None:
            return DocumentUnchanged(kind)
        version, tree, unreadable = read
        number = version * VERSION_STEP
        version_held, known_until = divmod(effect.after, VERSION_STEP)
        returned = version_held == version and mirror.number >= known_until > 0
        if evacuated or returned:
            number += mirror.number
        if unreadable and number < effect.after:
            return DocumentUnchanged(kind)  # others have read a newer one before it was spoilt
        mirror.told = number
        return DocumentRead(kind, number, tree, stale, (*unreadable, *findings))


def _read_tree(
    mirror: _Mirror, evacuated: list[str]
) -> tuple[int, dict[str, Any], tuple[ItemFinding, ...]] | None:
    """Return the version and the tree of the newest configuration that can be read.

    Raises:
        ItemFormatError: there is one, but none that can be read.
    """
    value = mirror.items.get(CONFIGURATION_KEY, mirror.readable or None)
    if value is None:
        return None
    try:
        version, tree = tree_of(value, evacuated)
    except ItemFormatError as error:
        if not mirror.readable:
            raise
        version, tree = tree_of(mirror.readable, evacuated)
        return version, tree, (error.about(CONFIGURATION_KEY),)
    mirror.readable = value
    return version, tree, ()


def _lacks_return(effect: ReadDocument, mirror: _Mirror) -> bool:
    """Tell whether who asks may hold an evacuation that is over.

    An item that was gone before the first list has left no trace there. The state that the
    mirror is known to show, as of its cursor, is newer than what is held.
    """
    if effect.kind is not DocumentKind.CONFIGURATION or mirror.told >= effect.after:
        return False
    version, known_until = divmod(effect.after, VERSION_STEP)
    if mirror.told // VERSION_STEP != version or _evacuated(mirror):
        return False
    if not 0 < known_until < mirror.at:
        return False
    mirror.number = mirror.at
    return True


def _evacuated(mirror: _Mirror) -> list[str]:
    """Return the zones whose evacuation the mirror shows."""
    return [
        key.removeprefix(EVACUATIONS_PREFIX)
        for key in mirror.items
        if key.startswith(EVACUATIONS_PREFIX)
    ]


def _items_of(parts: Iterable[msgspec.Raw]) -> list[_Item]:
    """Return the items of an answer; one in no known form is ``SPOILT``, or nobody's."""
    items: list[_Item] = []
    for part in parts:
        try:
            items.append(read_item(part, _Item))
        except ItemFormatError:
            with contextlib.suppress(ItemFormatError):
                items.append(_Item(read_item(part, _Key).key, revision=0))
    return items


def _newest_of(items: list[_Item]) -> int:
    return max((item.revision for item in items), default=0)


def _decode(body: bytes, answer_type: type[Answer]) -> Answer:
    try:
        return msgspec.json.decode(body, type=answer_type)
    except msgspec.MsgspecError as error:
        raise StoreBodyError(str(error)) from error


def make_reader(settings: Settings) -> StoreReader:
    """Return the reader for a node with these settings."""
    gateway = settings.listen.gateway
    return StoreReader(
        str(settings.source.url.address),
        gateway.port if gateway is not None else 0,
        settings.listen.peer.port,
    )
