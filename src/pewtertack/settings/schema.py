"""The settings of a node, section by section."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from pewtertack.core.policies import Policies
from pewtertack.settings.values import Address, Duration, FleetKey, Name, Size, Url


class ProfileName(StrEnum):
    """Timing profiles: ``fast`` converges sooner, ``frugal`` sends fewer bytes.

    With ``direct`` every node reads the source, which must bear so many readers. With
    ``leased`` one a zone does and tells the others how old the source's word is; in a small
    fleet every node.
    """

    FAST = "fast"
    FRUGAL = "frugal"
    DIRECT = "direct"
    LEASED = "leased"


class NodeSection(msgspec.Struct, frozen=True, kw_only=True):
    """Who the node is. A replacement machine may take its predecessor's name."""

    name: Name
    zone: Name
    region: Name
    first_start: bool = False
    """The whole fleet starts for the first time; not set for a replaced or restarted node."""
    link_mbps: float = 0.0
    """Megabits a second of the machine's link, 0 while unknown."""


class ListenSection(msgspec.Struct, frozen=True, kw_only=True):
    """Where the node listens. Without ``proxy`` it only replicates.

    ``gateway`` is for other nodes: requests for the back end beside this node.
    """

    peer: Address
    admin: Address
    proxy: Address | None = None
    gateway: Address | None = None
    metrics: Address | None = None
    """A second address of the admin interface, for collectors of metrics."""


class AdvertiseSection(msgspec.Struct, frozen=True, kw_only=True):
    """How peers reach the node, where that differs from ``listen.peer``."""

    peer: Address | None = None


class SourceSection(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration source."""

    url: Url
    durable: bool = False
    """It never forgets or forks a revision that it has answered with."""
    hold_after_return: Duration = Duration(6.0)
    """After the source has come back from an older copy of itself: for how long back ends and
    evacuations hold that were known before and that the copy lacks, and back ends stay away
    that were known to have left. Callers gain that no service is emptied by the gap."""
    document_size: Size | None = None
    """The longest configuration that it accepts, where that is known. The node warns at its start
    of one that it might have to refuse."""


class MachinesSection(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's machine list."""

    url: Url


class BackendSection(msgspec.Struct, frozen=True, kw_only=True):
    """The back end beside this node, which others reach through ``listen.gateway``."""

    address: Address | None = None
    service: str = ""
    """Its service; told to back ends as the caller's service of its requests."""


class HeadersSection(msgspec.Struct, frozen=True, kw_only=True):
    """Names of headers that callers and back ends use; an empty name is not used."""

    request_id: str = "x-request-id"
    deadline: str = "x-deadline-ms"
    """Time left in whole milliseconds."""
    expected_backend: str = ""
    """Sent to a back end: the name under which it is listed."""
    caller_service: str = ""
    """Sent to a back end: ``backend.service`` of the node that took the request in."""
    not_run: str = ""
    """In a back end's answer: it did not run the request, whatever the status."""
    identified_answers: bool = False
    """Every answer of a back end that ran the request carries its ``request_id``."""
    unframed_answers: bool = False
    """A back end's answer without a length is whole when its connection ends cleanly."""
    cold_milliseconds: str = ""
    """In a back end's health answer: for how many more milliseconds it is cold."""
    fractional_retry_after: bool = False
    """Callers understand fractions of a second in ``Retry-After``."""


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
    stop_within: Duration | None = None
    """When a process that was told to stop is ended, from the signal on. Notice and drain fit
    in; without ``drain_timeout`` the drain takes what is left."""
    cold_overage: float = 1.0
    """How many times its service's ``cold_rate`` a cold back end may be given."""
    cold_slack: float = 0.0
    """How many requests more than that may reach it within one second."""
    retry_ratio: float = 0.0
    """For ``policies.retry_budget = "window"``: retries to a service as a share of the
    requests for it, over all nodes, in any ``retry_window``."""
    retry_window: Duration = Duration(10.0)
    retry_slack: float = 0.0
    """Retries that all nodes together may make in a window beyond that share."""
    drain_notice: Duration = Duration(0.0)
    """How long a stopping node, no longer ready, still accepts callers' requests."""


class LogSection(msgspec.Struct, frozen=True, kw_only=True):
    """What the node logs beside its events."""

    parts_every: Duration | None = None
    """How often it logs what its parts took of processor time; not at all by default."""


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of one node, checked."""

    node: NodeSection
    listen: ListenSection
    source: SourceSection
    machines: MachinesSection
    peers: PeersSection
    advertise: AdvertiseSection = AdvertiseSection()
    backend: BackendSection = BackendSection()
    headers: HeadersSection = HeadersSection()
    profile: ProfileSection = ProfileSection()
    limits: LimitsSection = LimitsSection()
    log: LogSection = LogSection()
    policies: Policies = Policies()
    """Which way of deciding is in force, for each decision that has several."""
