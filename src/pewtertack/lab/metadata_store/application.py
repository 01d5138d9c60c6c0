"""The store's read interface (PROTOCOL.md, "The platform's metadata store") over a dictionary.

Writes are methods, since nodes can only read. ``faults`` brings about what a store
may do: refusals, throttling, slow, lost and endless answers, forgotten history.
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
PAGE_ITEMS = 50
LONGEST_WAIT_MS = 30_000
STATUS_GONE = 410
STATUS_UNAVAILABLE = 503
ERA_HEADER = "store_era"
"""As `json_response` takes it: header names are the same in any case."""
LOST_ANSWER_SECONDS = 3600.0
"""A lost answer is one that does not come as long as anybody waits."""


class StoreFaults(msgspec.Struct, frozen=True):
    """How the store misbehaves; the defaults are good behaviour."""

    status: int = 0
    """Answers every call with this status, 429 or 503."""
    delay: float = 0.0
    """Seconds that each answer takes; it tells the state before them. That of a watch which waits
    takes them after the change."""
    body_rate: float = 0.0
    """Bytes a second at which a body is sent; 0 sends it at once."""
    endless: bool = False
    """Bodies never end: white space follows what was asked for."""
    lost_answers: int = 0
    """So many further calls are never answered."""
    gone_watches: int = 0
    """So many further watches are told that their history is gone."""
    hasty_watches: bool = False
    """Watches do not wait: they are told at once that nothing has changed."""
    stale_by: int = 0
    """Stale reads show the state so many changes ago."""
    era: str | None = None
    """Stands in the header of all answers in place of the store's own era."""


@dataclass(frozen=True, slots=True)
class _Change:
    """One write or removal; ``value`` is ``None`` for a removal."""

    key: str
    revision: int
    value: bytes | None
    made: int = 0


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """The store as it was at one moment."""

    revision: int
    forgotten: int
    items: dict[str, _Change]
    history: tuple[_Change, ...]


class MetadataStore:
    """Items under one revision counter, with the history that watches are answered from.

    Args:
        era: told in all answers, ``None`` for a store that has no eras.
        page_items: how many items a page of a list has at most.
    """

    def __init__(self, era: int | None = None, page_items: int = PAGE_ITEMS) -> None:
        self._page_items = page_items
        self.era = era
        self.faults = StoreFaults()
        self.calls = 0
        self.stale_calls = 0
        """How many of them asked for no more than a stale answer."""
        self._revision = 0
        self._items: dict[str, _Change] = {}
        self._history: deque[_Change] = deque()
        self._forgotten = 0
        self._changed = anyio.Event()
        self._spoilt: dict[str, dict[str, object]] = {}
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
        """Remove an item and return the revision of that."""
        return self._apply(key, None)

    def keys_below(self, prefix: str) -> set[str]:
        """Return the keys below ``prefix``, without it."""
        return {key.removeprefix(prefix) for key in self._items if key.startswith(prefix)}

    def put_malformed(self, key: str, form: dict[str, object]) -> None:
        """Write an item and hand it out with some of its parts replaced from now on."""
        self._spoilt[key] = form
        self._apply(key, b"{}")

    def discard_history(self) -> None:
        """Drop all history: watches from an earlier revision get 410."""
        self._history.clear()
        self._forgotten = self._revision
        self._notify()

    def snapshot(self) -> StoreSnapshot:
        """Return a copy of the present state, to come back from."""
        return StoreSnapshot(
            self._revision, self._forgotten, dict(self._items), tuple(self._history)
        )

    def make_unavailable(self) -> None:
        """Answer all calls with 503, waiting watches too, until the faults are others."""
        self.faults = msgspec.structs.replace(self.faults, status=STATUS_UNAVAILABLE)
        self._notify()

    def restore_from(self, copy: StoreSnapshot) -> None:
        """Lose what was written since ``copy``: revisions go back, the era rises by one."""
        self.faults = msgspec.structs.replace(self.faults, status=0)
        self._revision, self._forgotten = copy.revision, copy.forgotten
        self._items, self._history = dict(copy.items), deque(copy.history)
        self.era = (self.era or 0) + 1
        self._notify()

    def _apply(self, key: str, value: bytes | None) -> int:
        self._revision += 1
        known = self._items.get(key)
        made = known.made if known is not None else self._revision
        change = _Change(key, self._revision, value, made)
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

    async def _take_call(self) -> None:
        """Count a call; one whose answer is lost waits in vain."""
        self.calls += 1
        if not self.faults.lost_answers:
            return
        self._use_up(lost_answers=self.faults.lost_answers - 1)
        await anyio.sleep(LOST_ANSWER_SECONDS)

    def _use_up(self, **left: int) -> None:
        self.faults = msgspec.structs.replace(self.faults, **left)

    async def _delayed(self, answer: Response) -> Response:
        """Return ``answer`` after the time that answers take."""
        if self.faults.delay:
            await anyio.sleep(self.faults.delay)
        return answer

    def _told(self, value: object, status: int = 200) -> Response:
        """Return an answer with the era, where there are eras."""
        era = self.faults.era if self.faults.era is not None else self.era
        return json_response(value, status, **({} if era is None else {ERA_HEADER: str(era)}))

    async def _answer_key(self, request: Request) -> Response:
        await self._take_call()
        if self.faults.status:
            return await self._delayed(self._told({}, self.faults.status))
        found = self._items.get(request.query.get("PrivateKey", ""))
        if found is None:
            return await self._delayed(self._told({"at": self._revision}, 404))
        return await self._delayed(self._told({**_encoded(found), "at": self._revision}))

    async def _answer_range(self, request: Request) -> Response:
        await self._take_call()
        if self.faults.status:
            return await self._delayed(self._told({}, self.faults.status))
        self.stale_calls += request.query.get("stale") == "1"
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
        return await self._delayed(self._told(page))

    async def _answer_watch(self, request: Request) -> Response:
        await self._take_call()
        if self.faults.gone_watches:
            self._use_up(gone_watches=self.faults.gone_watches - 1)
            return await self._delayed(self._told({"at": self._revision}, STATUS_GONE))
        prefix, after = request.query.get("PathPrefix", ""), int(request.query["after"])
        if self.faults.hasty_watches:
            return await self._delayed(self._told({"events": [], "at": after}))
        wait = min(int(request.query.get("WaitMs", "0")), LONGEST_WAIT_MS) / 1000
        with anyio.move_on_after(wait):
            while self._may_wait(prefix, after):
                await self._changed.wait()
        return await self._delayed(self._watch_answer(prefix, after))

    def _watch_answer(self, prefix: str, after: int) -> Response:
        if self.faults.status:
            return self._told({}, self.faults.status)
        if not self._has(after):
            return self._told({"at": self._revision}, STATUS_GONE)
        events = [self._encoded(change) for change in self._since(prefix, after)]
        return self._told({"events": events, "at": self._revision})

    def _may_wait(self, prefix: str, after: int) -> bool:
        known = self._has(after) and not self._since(prefix, after)
        return known and not self.faults.status

    def _has(self, revision: int) -> bool:
        """Tell whether the changes after ``revision`` are known."""
        return self._forgotten <= revision <= self._revision

    def _encoded(self, change: _Change) -> dict[str, object]:
        return {**_encoded(change), **self._spoilt.get(change.key, {})}

    def _since(self, prefix: str, after: int) -> list[_Change]:
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
    return {**item, "Value": value, "made": change.made, "lease": 0}
