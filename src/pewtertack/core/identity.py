"""Who a node is."""

from __future__ import annotations

import msgspec


class NodeIdentity(msgspec.Struct, frozen=True):
    """Name, advertised peer address and place of one process.

    ``incarnation`` is the start time of the process in milliseconds since the
    epoch; a replacement under the same name therefore has a higher one.
    """

    name: str
    address: str
    zone: str
    region: str
    incarnation: int
