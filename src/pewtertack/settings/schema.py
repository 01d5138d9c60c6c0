"""The settings of a node, section by section."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from pewtertack.core.policies import Policies
from pewtertack.settings.values import Address, Duration, FleetKey, Name, Size, Url


class ProfileName(StrEnum):
    """Timing profiles: ``fast`` converges sooner, ``frugal`` sends fewer bytes.

    With ``direct``, every node reads the source, which must support that many readers. With
    ``leased``, one node per zone reads it and reports the age of its data to the others; in a
    small fleet, every node reads it.
    """

    FAST = "fast"
    FRUGAL = "frugal"
    DIRECT = "direct"
    LEASED = "leased"


class NodeSection(msgspec.Struct, frozen=True, kw_only=True):
    """Identity of the node. A replacement machine may take the name of its predecessor."""

    name: Name
    zone: Name
    region: Name
    first_start: bool = False
    """The entire fleet starts for the first time; not set for a replaced or restarted node."""
    link_mbps: float = 0.0
    """Bandwidth of the machine's link in Mbit/s; 0 if unknown."""
    memory: Size = Size(200 * 1024 * 1024)
    """Memory that the process may use, including received data that it has not read."""
    descriptors: int = 0
    """File descriptors that the process may use; 0 for as many as its own limit allows."""


class ListenSection(msgspec.Struct, frozen=True, kw_only=True):
    """Listening addresses. Without ``proxy``, the node only replicates.

    ``gateway`` accepts requests of other nodes for the local back end.
    """

    peer: Address
    admin: Address
    proxy: Address | None = None
    gateway: Address | None = None
    metrics: Address | None = None
    """An additional address of the admin interface, for metrics collectors."""


class AdvertiseSection(msgspec.Struct, frozen=True, kw_only=True):
    """The address at which peers reach the node, if it differs from ``listen.peer``."""

    peer: Address | None = None


class SourceSection(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration source."""

    url: Url
    durable: bool = False
    """Whether it never loses or forks a revision that it has returned."""
    hold_after_return: Duration = Duration(6.0)
    """How long, after the source was restored from an older copy, known back ends and evacuations
    that the copy lacks stay valid, and back ends known to have left stay excluded. This keeps
    services from losing their back ends because of the gap."""
    document_size: Size | None = None
    """The largest configuration that it accepts, if known. The node logs a warning at startup if
    it might have to reject one of that size."""


class MachinesSection(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's machine list."""

    url: Url


class BackendSection(msgspec.Struct, frozen=True, kw_only=True):
    """The local back end, which other nodes reach through ``listen.gateway``."""

    address: Address | None = None
    service: str = ""
    """Its service, sent to other back ends as the service of the caller."""


class HeadersSection(msgspec.Struct, frozen=True, kw_only=True):
    """Names of the headers that callers and back ends use; an empty name disables a header."""

    request_id: str = "x-request-id"
    deadline: str = "x-deadline-ms"
    """Remaining time in whole milliseconds."""
    expected_backend: str = ""
    """Sent to a back end: its name on the machine list."""
    caller_service: str = ""
    """Sent to a back end: ``backend.service`` of the node that received the caller's request."""
    not_run: str = ""
    """In a response: the back end did not execute the request, whatever the status."""
    identified_answers: bool = False
    """Whether every response of a back end that executed the request has its ``request_id``."""
    unframed_answers: bool = False
    """Whether a response without a length is complete when its connection closes cleanly."""
    cold_milliseconds: str = ""
    """In a health response: for how many more milliseconds the back end is cold."""
    rate_limit: str = ""
    """In any response: how many requests a second the back end takes from all nodes together."""
    leaving: str = ""
    """In any response: the back end takes no new requests if the value is 1."""
    fractional_retry_after: bool = False
    """Whether callers support fractions of a second in ``Retry-After``."""


class PeersSection(msgspec.Struct, frozen=True, kw_only=True):
    """The other nodes: the fleet key and the addresses to contact first."""

    key: FleetKey
    accepted_keys: tuple[FleetKey, ...] = ()
    """Additional keys with which received frames are accepted; frames are signed with ``key``."""
    seeds: tuple[Address, ...] = ()


class ProfileSection(msgspec.Struct, frozen=True, kw_only=True):
    """The timing profile of the coordination core."""

    name: ProfileName = ProfileName.FAST


class LimitsSection(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on resources and waiting times of the node."""

    document_size: Size = Size(4 * 1024 * 1024)
    """Largest response read from the platform."""
    platform_timeout: Duration = Duration(5.0)
    """For connecting to the platform, and for a response in addition to the long poll."""
    stream_timeout: Duration = Duration(10.0)
    """For one frame over TCP from or to a peer, including the connection setup."""
    streams: int = 32
    """Frames over TCP in flight at once, per direction."""
    keep_alive: Duration = Duration(75.0)
    """How long an idle connection of a caller stays open."""
    drain_timeout: Duration | None = None
    """How long a stopping node waits for requests in flight; unlimited by default."""
    stop_within: Duration | None = None
    """Time from the stop signal until the process is killed, which includes notice and drain;
    without ``drain_timeout`` the drain may take the remaining time."""
    cold_overage: float = 1.0
    """Factor on the ``cold_rate`` of the service, which limits requests to a cold back end."""
    cold_slack: float = 0.0
    """Number of requests that may exceed this limit within one second."""
    retry_ratio: float = 0.0
    """For ``policies.retry_budget = "window"``: retries to a service as a fraction of the
    requests for it, over all nodes, in any ``retry_window``."""
    retry_window: Duration = Duration(10.0)
    retry_slack: float = 0.0
    """Retries beyond that fraction that all nodes together may make in a window."""
    drain_notice: Duration = Duration(0.0)
    """How long a stopping node that is no longer ready still accepts requests of callers."""


class LogSection(msgspec.Struct, frozen=True, kw_only=True):
    """Optional logging."""

    parts_every: Duration | None = None
    """Interval at which the processor time of the node's parts is logged; never by default."""


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of one node, validated."""

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
    """The policy in use for each decision that can be made in more than one way."""
