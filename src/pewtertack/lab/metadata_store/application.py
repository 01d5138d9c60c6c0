"""The store's read interface (PROTOCOL.md, "The platform's metadata store") over a dictionary.

Writes are methods, since nodes can only read. ``faults`` brings about what the pages
say may happen: refusals, throttling, slow and lost answers, forgotten history.
"""

from __future__ import annotations

import base64
from collections import deque
from dataclasses import dataclass

import anyio
import msgspec

from pewtertack.lab.asgi import Answer, HandlerTable, Request, json_answer

PAGE_ITEMS = 50
LONGEST_WAIT_MS = 30_000
STATUS_GONE = 410
STATUS_AWAY = 503
ERA_HEADER = "store_era"
"""As `json_answer` takes it: header names are the same in any case."""
LOST_ANSWER_SECONDS = 3600.0
"""A lost answer is one that does not come as long as anybody waits."""


class StoreFaults(msgspec.Struct, frozen=True):
    """How the store misbehaves; the defaults are good behaviour."""

    status: int = 0
    """Answers every call with this status, 429 or 503."""
    delay: float = 0.0
    """Seconds before each answer."""
    lost_answers: int = 0
    """So many further calls are never answered."""
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
class StoreCopy:
    """The store as it was at one moment."""

    revision: int
    forgotten: int
    items: dict[str, _Change]
    history: tuple[_Change, ...]


class MetadataStore:
    """Items under one revision counter, with the history that watches are answered from.

    Args:
        era: told in all answers, ``None`` for a store that has no eras.
    """

    def __init__(self, era: int | None = None) -> None:
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
        self.application = HandlerTable(
            {
                ("GET", "/kv-key"): self._answer_key,
                ("GET", "/kv-range"): self._answer_range,
                ("GET", "/kv-watch"): self._answer_watch,
            }
        )

    def put(self, key: str, value: bytes) -> int:
        """Write an item and return its revision."""
        return self._apply(key, value)

    def remove(self, key: str) -> int:
        """Remove an item and return the revision of that."""
        return self._apply(key, None)

    def names(self, prefix: str) -> set[str]:
        """Return the keys below ``prefix``, without it."""
        return {key.removeprefix(prefix) for key in self._items if key.startswith(prefix)}

    def spoil(self, key: str, form: dict[str, object]) -> None:
        """Write an item and hand it out with some of its parts replaced from now on."""
        self._spoilt[key] = form
        self._apply(key, b"{}")

    def forget_history(self) -> None:
        """Drop all history: watches from an earlier revision get 410."""
        self._history.clear()
        self._forgotten = self._revision
        self._notify()

    def copy(self) -> StoreCopy:
        """Return a copy of the present state, to come back from."""
        return StoreCopy(self._revision, self._forgotten, dict(self._items), tuple(self._history))

    def go_away(self) -> None:
        """Answer all calls with 503, waiting watches too, until the faults are others."""
        self.faults = msgspec.structs.replace(self.faults, status=STATUS_AWAY)
        self._notify()

    def come_back_from(self, copy: StoreCopy) -> None:
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

    async def _misbehave(self) -> Answer | None:
        self.calls += 1
        faults = self.faults
        if faults.lost_answers:
            self.faults = msgspec.structs.replace(faults, lost_answers=faults.lost_answers - 1)
            await anyio.sleep(LOST_ANSWER_SECONDS)
        if faults.delay:
            await anyio.sleep(faults.delay)
        return self._told({}, faults.status) if faults.status else None

    def _told(self, value: object, status: int = 200) -> Answer:
        """Return an answer with the era, where there are eras."""
        era = self.faults.era if self.faults.era is not None else self.era
        return json_answer(value, status, **({} if era is None else {ERA_HEADER: str(era)}))

    async def _answer_key(self, request: Request) -> Answer:
        refused = await self._misbehave()
        found = self._items.get(request.query.get("PrivateKey", ""))
        if refused is not None:
            return refused
        if found is None:
            return self._told({"at": self._revision}, 404)
        return self._told({**_encoded(found), "at": self._revision})

    async def _answer_range(self, request: Request) -> Answer:
        refused = await self._misbehave()
        if refused is not None:
            return refused
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
        items = [self._encoded(self._items[key]) for key in keys[:PAGE_ITEMS]]
        return self._told({"items": items, "more": len(keys) > PAGE_ITEMS, "at": newest})

    async def _answer_watch(self, request: Request) -> Answer:
        refused = await self._misbehave()
        if refused is not None:
            return refused
        prefix, after = request.query.get("PathPrefix", ""), int(request.query["after"])
        wait = min(int(request.query.get("WaitMs", "0")), LONGEST_WAIT_MS) / 1000
        with anyio.move_on_after(wait):
            while self._may_wait(prefix, after):
                await self._changed.wait()
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
