"""The read interface of the store (PROTOCOL.md, "The platform's metadata store") in memory.

Writes are methods, since nodes can only read. ``faults`` injects the faults of a store:
refusals, throttling, slow, lost and endless responses, and discarded history.
"""

from __future__ import annotations

import base64
from collections import deque
from dataclasses import dataclass

import anyio
import msgspec

from pewtertack.lab.asgi import Request, Response, json_response
from pewtertack.lab.paced_responses import PacedHandlerTable, Pacing

WATCH_PATH = "/kv-watch"
DEFAULT_PAGE_ITEMS = 50
MAX_WAIT_MS = 30_000
STATUS_HISTORY_GONE = 410
STATUS_UNAVAILABLE = 503
ERA_HEADER = "store_era"
"""Keyword for `json_response`; header names are case-insensitive."""
LOST_ANSWER_SECONDS = 3600.0
"""Delay of a lost response, longer than any caller waits."""


class StoreFaults(msgspec.Struct, frozen=True):
    """Faults to inject; the defaults inject none."""

    status: int = 0
    """Status of all responses, 429 or 503; 0 for normal responses."""
    delay: float = 0.0
    """Time in seconds that each response takes. It contains the state from before the delay; the
    response of a waiting watch is delayed after the change."""
    body_rate: float = 0.0
    """Transfer rate of bodies in bytes per second; 0 for no limit."""
    endless: bool = False
    """Whether bodies never end: endless white space follows the content."""
    lost_answers: int = 0
    """Number of next calls that are never answered."""
    gone_watches: int = 0
    """Number of next watches that get the response that their history is gone."""
    hasty_watches: bool = False
    """Whether watches do not wait but report at once that nothing has changed."""
    stale_by: int = 0
    """Number of changes by which the responses to stale reads are behind."""
    era: str | None = None
    """Value of the era header in all responses, in place of the store's own era."""


@dataclass(frozen=True, slots=True)
class _Change:
    """One write or removal; ``value`` is ``None`` for a removal."""

    key: str
    revision: int
    value: bytes | None
    created_at: int = 0


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """The state of the store at one time."""

    revision: int
    history_from: int
    items: dict[str, _Change]
    history: tuple[_Change, ...]


class MetadataStore:
    """Items with a common revision counter, and the history of changes for watches.

    Args:
        era: number of restores, returned in all responses; ``None`` for a store without eras.
        page_items: maximum number of items on a page of a range.
        revision: that of the empty store; the first write gets the next one.
    """

    def __init__(
        self, era: int | None = None, page_items: int = DEFAULT_PAGE_ITEMS, revision: int = 0
    ) -> None:
        self._page_items = page_items
        self.era = era
        self.faults = StoreFaults()
        self.calls = 0
        """Number of requests."""
        self._revision = revision
        self._items: dict[str, _Change] = {}
        self._history: deque[_Change] = deque()
        self._history_from = revision
        self._changed = anyio.Event()
        self._overrides: dict[str, dict[str, object]] = {}
        self.application = PacedHandlerTable(
            {
                ("GET", "/kv-key"): self._answer_key,
                ("GET", "/kv-range"): self._answer_range,
                ("GET", WATCH_PATH): self._answer_watch,
            },
            lambda: Pacing(self.faults.body_rate, self.faults.endless),
        )

    def put(self, key: str, value: bytes) -> int:
        """Write an item and return its revision."""
        return self._apply(key, value)

    def remove(self, key: str) -> int:
        """Remove an item and return the revision of the removal."""
        return self._apply(key, None)

    def keys_below(self, prefix: str) -> set[str]:
        """Return the keys that begin with ``prefix``, with the prefix removed."""
        return {key.removeprefix(prefix) for key in self._items if key.startswith(prefix)}

    def put_malformed(self, key: str, overrides: dict[str, object]) -> None:
        """Write an item, and return it with some of its fields replaced from now on."""
        self._overrides[key] = overrides
        self._apply(key, b"{}")

    def discard_history(self) -> None:
        """Discard the history; watches from an earlier revision get status 410."""
        self._history.clear()
        self._history_from = self._revision
        self._notify()

    def snapshot(self) -> StoreSnapshot:
        """Return a snapshot of the current state, for ``restore_from``."""
        return StoreSnapshot(
            self._revision, self._history_from, dict(self._items), tuple(self._history)
        )

    def make_unavailable(self) -> None:
        """Answer all requests, also waiting watches, with 503 until ``faults`` changes."""
        self.faults = msgspec.structs.replace(self.faults, status=STATUS_UNAVAILABLE)
        self._notify()

    def restore_from(self, snapshot: StoreSnapshot) -> None:
        """Return to an earlier state, losing later writes, and increase the era by 1."""
        self.faults = msgspec.structs.replace(self.faults, status=0)
        self._revision, self._history_from = snapshot.revision, snapshot.history_from
        self._items, self._history = dict(snapshot.items), deque(snapshot.history)
        self.era = (self.era or 0) + 1
        self._notify()

    def _apply(self, key: str, value: bytes | None) -> int:
        self._revision += 1
        known = self._items.get(key)
        created_at = known.created_at if known is not None else self._revision
        change = _Change(key, self._revision, value, created_at)
        self._history.append(change)
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = change
        self._notify()
        return self._revision

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _count_call(self) -> None:
        """Count a request, and delay it indefinitely if its response is to be lost."""
        self.calls += 1
        if not self.faults.lost_answers:
            return
        self._update_faults(lost_answers=self.faults.lost_answers - 1)
        await anyio.sleep(LOST_ANSWER_SECONDS)

    def _update_faults(self, **changed: int) -> None:
        self.faults = msgspec.structs.replace(self.faults, **changed)

    async def _delay_response(self, answer: Response) -> Response:
        """Return ``answer`` after the delay of the faults."""
        if self.faults.delay:
            await anyio.sleep(self.faults.delay)
        return answer

    def _respond(self, value: object, status: int = 200) -> Response:
        """Return a response with the era header, if the store has eras."""
        era = self.faults.era if self.faults.era is not None else self.era
        return json_response(value, status, **({} if era is None else {ERA_HEADER: str(era)}))

    async def _answer_key(self, request: Request) -> Response:
        await self._count_call()
        if self.faults.status:
            return await self._delay_response(self._respond({}, self.faults.status))
        found = self._items.get(request.query.get("PrivateKey", ""))
        if found is None:
            return await self._delay_response(self._respond({"at": self._revision}, 404))
        return await self._delay_response(self._respond({**_encoded(found), "at": self._revision}))

    async def _answer_range(self, request: Request) -> Response:
        await self._count_call()
        if self.faults.status:
            return await self._delay_response(self._respond({}, self.faults.status))
        prefix, after = request.query.get("PathPrefix", ""), request.query.get("after", "")
        newest = self._revision
        if request.query.get("stale") == "1":
            newest -= self.faults.stale_by
        keys = sorted(
            key
            for key, change in self._items.items()
            if key.startswith(prefix) and key > after and change.revision <= newest
        )
        items = [self._encoded(self._items[key]) for key in keys[: self._page_items]]
        page = {"items": items, "more": len(keys) > self._page_items, "at": newest}
        return await self._delay_response(self._respond(page))

    async def _answer_watch(self, request: Request) -> Response:
        await self._count_call()
        if self.faults.gone_watches:
            self._update_faults(gone_watches=self.faults.gone_watches - 1)
            return await self._delay_response(
                self._respond({"at": self._revision}, STATUS_HISTORY_GONE)
            )
        prefix, after = request.query.get("PathPrefix", ""), int(request.query["after"])
        if self.faults.hasty_watches:
            return await self._delay_response(self._respond({"events": [], "at": after}))
        wait = min(int(request.query.get("WaitMs", "0")), MAX_WAIT_MS) / 1000
        with anyio.move_on_after(wait):
            while self._must_wait(prefix, after):
                await self._changed.wait()
        return await self._delay_response(self._watch_answer(prefix, after))

    def _watch_answer(self, prefix: str, after: int) -> Response:
        if self.faults.status:
            return self._respond({}, self.faults.status)
        if not self._has_history(after):
            return self._respond({"at": self._revision}, STATUS_HISTORY_GONE)
        events = [self._encoded(change) for change in self._changes_after(prefix, after)]
        return self._respond({"events": events, "at": self._revision})

    def _must_wait(self, prefix: str, after: int) -> bool:
        known = self._has_history(after) and not self._changes_after(prefix, after)
        return known and not self.faults.status

    def _has_history(self, revision: int) -> bool:
        """Return whether the history has all changes after ``revision``."""
        return self._history_from <= revision <= self._revision

    def _encoded(self, change: _Change) -> dict[str, object]:
        return {**_encoded(change), **self._overrides.get(change.key, {})}

    def _changes_after(self, prefix: str, after: int) -> list[_Change]:
        return [
            change
            for change in self._history
            if change.revision > after and change.key.startswith(prefix)
        ]


def _encoded(change: _Change) -> dict[str, object]:
    item: dict[str, object] = {"PrivateKey": change.key, "Revision": change.revision}
    if change.value is None:
        return {**item, "gone": True}
    value = base64.b64encode(change.value).decode()
    return {**item, "Value": value, "made": change.created_at, "lease": 0}
