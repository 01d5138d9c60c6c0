"""Addresses that a node listens on."""

from __future__ import annotations

import msgspec


class AddressStatus(msgspec.Struct, frozen=True):
    """Addresses that the node listens on, as ``ip:port``; ``proxy`` is empty without a proxy."""

    peer: str
    advertised: str
    admin: str
    proxy: str
