"""The identity of a node process."""

from __future__ import annotations

import msgspec


class NodeIdentity(msgspec.Struct, frozen=True):
    """Name, advertised peer address, zone, region and incarnation of one node process.

    ``incarnation`` is the start time of the process in milliseconds since the
    epoch, so a replacement under the same name has a higher one.
    """

    name: str
    address: str
    zone: str
    region: str
    incarnation: int
