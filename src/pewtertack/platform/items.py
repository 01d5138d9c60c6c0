"""Items in the format of the store."""

from __future__ import annotations

import binascii
import contextlib
from collections.abc import Iterable

import msgspec

from pewtertack.core.items import ItemFormatError, parse_item
from pewtertack.core.source_mirror import UNREADABLE, Revision


class _Key(msgspec.Struct, frozen=True):
    key: str = msgspec.field(name="PrivateKey")


class StoreItem(_Key, frozen=True, kw_only=True):
    """An item, or the notice that it was removed."""

    revision: Revision = msgspec.field(name="Revision")
    value: str = msgspec.field(name="Value", default="")
    made: Revision = 0
    gone: bool = False

    def content(self) -> bytes | None:
        """Return the item's bytes, ``None`` if removed, or ``UNREADABLE`` if not valid base64."""
        if self.gone:
            return None
        try:
            return binascii.a2b_base64(self.value, strict_mode=True)
        except ValueError:
            return UNREADABLE


def parse_items(raw_items: Iterable[msgspec.Raw]) -> list[StoreItem]:
    """Return the items of a response; malformed ones are ``UNREADABLE``, or skipped if keyless."""
    items: list[StoreItem] = []
    for raw in raw_items:
        try:
            items.append(parse_item(raw, StoreItem))
        except ItemFormatError:
            with contextlib.suppress(ItemFormatError):
                items.append(StoreItem(parse_item(raw, _Key).key, revision=0))
    return items
