"""Where a node listens."""

from __future__ import annotations

import msgspec


class AddressStatus(msgspec.Struct, frozen=True):
    """Where the node listens, as ``ip:port``; ``proxy`` is empty without a proxy part."""

    peer: str
    advertised: str
    admin: str
    proxy: str
