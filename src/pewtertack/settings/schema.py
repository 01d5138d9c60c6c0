"""The settings of a node, section by section."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from pewtertack.settings.values import Address, Duration, FleetKey, Name, Size, Url


class ProfileName(StrEnum):
    """Timing profiles: ``fast`` converges sooner, ``frugal`` sends fewer bytes."""

    FAST = "fast"
    FRUGAL = "frugal"


class NodeSection(msgspec.Struct, frozen=True, kw_only=True):
    """Who the node is. A replacement machine may take its predecessor's name."""

    name: Name
    zone: Name
    region: Name


class ListenSection(msgspec.Struct, frozen=True, kw_only=True):
    """Where the node listens. Without ``proxy`` it only replicates."""

    peer: Address
    admin: Address
    proxy: Address | None = None


class AdvertiseSection(msgspec.Struct, frozen=True, kw_only=True):
    """How peers reach the node, where that differs from ``listen.peer``."""

    peer: Address | None = None


class SourceSection(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration source."""

    url: Url


class MachinesSection(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's machine list."""

    url: Url


class PeersSection(msgspec.Struct, frozen=True, kw_only=True):
    """The other nodes: the fleet key and addresses to ask first."""

    key: FleetKey
    accepted_keys: tuple[FleetKey, ...] = ()
    """Keys of frames that are accepted besides ``key``; none signs a frame."""
    seeds: tuple[Address, ...] = ()


class ProfileSection(msgspec.Struct, frozen=True, kw_only=True):
    """Which timing profile the coordination core runs."""

    name: ProfileName = ProfileName.FAST


class LimitsSection(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on what the node spends and waits for."""

    document_size: Size = Size(4 * 1024 * 1024)
    """Largest answer read from the platform."""
    platform_timeout: Duration = Duration(5.0)
    """For connecting to the platform, and for an answer beyond the long poll."""
    stream_timeout: Duration = Duration(10.0)
    """For one frame over TCP from or to a peer, connecting included."""
    streams: int = 32
    """Frames over TCP under way at once, for each direction."""
    keep_alive: Duration = Duration(75.0)
    """How long a caller's idle connection stays open."""
    drain_timeout: Duration | None = None
    """How long a stopping node waits for requests in flight; for ever by default."""


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of one node, checked."""

    node: NodeSection
    listen: ListenSection
    source: SourceSection
    machines: MachinesSection
    peers: PeersSection
    advertise: AdvertiseSection = AdvertiseSection()
    profile: ProfileSection = ProfileSection()
    limits: LimitsSection = LimitsSection()
