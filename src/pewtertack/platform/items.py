"""Items as the store hands them out."""

from __future__ import annotations

import base64
import contextlib
from collections.abc import Iterable

import msgspec

from pewtertack.core.items import ItemFormatError, parse_item
from pewtertack.core.source_mirror import UNREADABLE


class _Key(msgspec.Struct, frozen=True):
    key: str = msgspec.field(name="PrivateKey")


class StoreItem(_Key, frozen=True, kw_only=True):
    """An item, or the word that it is gone."""

    revision: int = msgspec.field(name="Revision")
    value: str = msgspec.field(name="Value", default="")
    made: int = 0
    gone: bool = False

    def content(self) -> bytes | None:
        """Return the item's bytes; ``None`` if it is gone, ``UNREADABLE`` in no known form."""
        if self.gone:
            return None
        try:
            return base64.b64decode(self.value, validate=True)
        except ValueError:
            return UNREADABLE


def parse_items(parts: Iterable[msgspec.Raw]) -> list[StoreItem]:
    """Return the items of an answer; one in no known form is ``UNREADABLE``, or nobody's."""
    items: list[StoreItem] = []
    for part in parts:
        try:
            items.append(parse_item(part, StoreItem))
        except ItemFormatError:
            with contextlib.suppress(ItemFormatError):
                items.append(StoreItem(parse_item(part, _Key).key, revision=0))
    return items
