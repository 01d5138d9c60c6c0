"""Creates the parts of a node from its settings and connects them."""

from __future__ import annotations

import os
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Protocol

from pewtertack.core.configuration.structure import GUARANTEED_DOCUMENT_BYTES
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.node import NodeCore
from pewtertack.core.profile import PROFILES, SourceProperties
from pewtertack.events import Event
from pewtertack.log import EventLog
from pewtertack.node import clock
from pewtertack.node.addresses import AddressStatus
from pewtertack.node.admin import AdminApplication
from pewtertack.node.counting import Histogram, MetricsRegistry
from pewtertack.node.crash_reporter import CrashReporter
from pewtertack.node.daemon import NodeParts
from pewtertack.node.gate import ServingGate
from pewtertack.node.http.caller_resources import UNLIMITED, CallerResources
from pewtertack.node.runtime import DocumentReader, Runtime
from pewtertack.node.settings_file import SettingsFile
from pewtertack.node.sockets import NodeSockets, address_of
from pewtertack.node.traffic import Traffic
from pewtertack.node.transport import PeerTransport, Sender, StreamLimits
from pewtertack.node.view import NodeView
from pewtertack.settings import Settings
from pewtertack.settings.loading import Flags

if TYPE_CHECKING:
    from prometheus_client.registry import Collector

    from pewtertack.node.gateway.application import GatewayApplication
    from pewtertack.node.platform import PlatformReader
    from pewtertack.node.proxy.application import ProxyApplication
    from pewtertack.node.proxy.edge import EdgeHeaders
    from pewtertack.routing.executions import LocalExecutions


STAGE_BUCKETS_SECONDS = (0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)
"""Upper bounds of the histogram's buckets, in seconds."""
WIDE_LINK_MBPS = 50.0
"""A link of at least this speed carries a tree of 2,000 routes (some 600 KB) within 0.1 s."""


class ClosableReader(DocumentReader, Protocol):
    """A document reader that has connections of its own."""

    async def close(self) -> None:
        """Close the connections."""


ReaderFactory = Callable[[Settings], ClosableReader]
"""Creates the reader of the configuration source and the machine list."""


def assemble_node(
    settings: Settings,
    settings_path: str,
    sockets: NodeSockets,
    make_reader: ReaderFactory | None = None,
    flags: Flags | None = None,
) -> NodeParts:
    """Create a node's parts on its bound ``sockets``.

    Args:
        settings_path: path of the settings file.
        make_reader: replaces the reader of pewtertack's own source interface.
    """
    started = clock.now()
    identity = _identity(settings, sockets)
    log = EventLog(identity.name, identity.incarnation)
    warn_of_long_documents(settings, log)
    traffic = Traffic()
    registry = MetricsRegistry()
    transport = _create_transport(settings, sockets, identity, traffic)
    reader = (make_reader or _create_platform_reader)(settings)
    seeds = tuple(str(seed) for seed in settings.peers.seeds)
    profile = PROFILES[settings.profile.name.value]
    gate = ServingGate(profile.pause_threshold)
    reporter = CrashReporter()
    local_executions = _create_local_executions(settings)
    proxy = _create_proxy(settings, gate, registry, log, reporter, local_executions)
    gateway = _create_gateway(settings, log, registry, reporter, local_executions)
    source = SourceProperties(
        settings.source.durable,
        settings.node.first_start,
        settings.node.link_mbps >= WIDE_LINK_MBPS,
        0 < settings.node.link_mbps < WIDE_LINK_MBPS,
        settings.source.hold_after_return.seconds,
    )
    core = NodeCore(identity, profile, Random(), started, seeds, source)
    stages = _stage_histogram(registry)
    runtime = Runtime(core, profile.tick, gate, transport, reader, proxy, log, gateway, stages)
    reporter.connect(core.crashes.ledger, runtime.feed)
    if proxy is not None:
        proxy.set_leaving_observer(runtime.note_backend_leaving)
        proxy.configuration_wait.lag = lambda: core.replication.replica.lag
    addresses = _addresses(sockets, identity)
    in_flight, reaches_all = _in_flight_counter(proxy), _reach_check(proxy)
    view = NodeView(
        core, runtime, transport, gate, traffic, addresses, in_flight, started, reaches_all
    )
    registry.add_collector(lambda: _create_collector(view, traffic))
    admin = AdminApplication(view, registry)
    settings_file = SettingsFile(settings_path, flags or {}, settings, log)
    for application in (proxy, gateway):
        if application is not None:
            settings_file.subscribe(application.use_settings)
    resources = CallerResources(settings.node.memory.bytes, _descriptor_limit(settings))
    registry.add_collector(lambda: _create_caller_collector(resources))
    return NodeParts(
        settings_file,
        sockets,
        runtime,
        transport,
        admin,
        proxy,
        log,
        reader.close,
        gateway,
        resources,
    )


def warn_of_long_documents(settings: Settings, log: EventLog) -> None:
    """Log that the source accepts configurations whose size nodes may refuse."""
    size = settings.source.document_size
    if size is not None and size.bytes > GUARANTEED_DOCUMENT_BYTES:
        log.record(Event.SOURCE_BOUND_WIDER, accepted=size.bytes, sure=GUARANTEED_DOCUMENT_BYTES)


def _stage_histogram(registry: MetricsRegistry) -> Histogram:
    return registry.histogram(
        "pewtertack_revision_stage_seconds",
        "From the first word of a revision at this node to each stage, by how it came.",
        ("stage", "way"),
        STAGE_BUCKETS_SECONDS,
    )


def _create_collector(view: NodeView, traffic: Traffic) -> Collector:
    """Return the coordination's collector; it is imported only when metrics are read."""
    from pewtertack.node.metrics import CoordinationCollector

    return CoordinationCollector(view.status, traffic)


def _descriptor_limit(settings: Settings) -> int:
    """Return the number of descriptors that the process may use."""
    own_limit = os.sysconf("SC_OPEN_MAX")
    if own_limit < 0:  # it has none
        own_limit = UNLIMITED
    return min(settings.node.descriptors or own_limit, own_limit)


def _create_caller_collector(resources: CallerResources) -> Collector:
    """Return the collector of what callers hold; it is imported only when metrics are read."""
    from pewtertack.node.caller_collector import CallerCollector

    return CallerCollector(resources)


def _create_local_executions(settings: Settings) -> LocalExecutions | None:
    """Return the state shared by proxy and gateway; it is imported only where a node has both."""
    if settings.listen.proxy is None or settings.listen.gateway is None:
        return None
    from pewtertack.routing.executions import LocalExecutions

    return LocalExecutions()


def _create_proxy(
    settings: Settings,
    gate: ServingGate,
    registry: MetricsRegistry,
    log: EventLog,
    reporter: CrashReporter,
    local_executions: LocalExecutions | None,
) -> ProxyApplication | None:
    """Return the proxy; its modules are imported only where a node has one."""
    if settings.listen.proxy is None:
        return None
    from pewtertack.node.proxy.application import ProxyApplication
    from pewtertack.routing.retry_window import RetryLimits

    return ProxyApplication(
        clock.now,
        Random(),
        may_serve=gate.may_serve,
        registry=registry,
        log=log.record,
        edge=_edge_headers(settings),
        caller_service=settings.backend.service,
        reporter=reporter,
        policies=settings.policies,
        retry_limits=RetryLimits(
            settings.limits.retry_ratio,
            settings.limits.retry_window.seconds,
            settings.limits.retry_slack,
        ),
        executions=local_executions,
    )


def _create_gateway(
    settings: Settings,
    log: EventLog,
    registry: MetricsRegistry,
    reporter: CrashReporter,
    local_executions: LocalExecutions | None,
) -> GatewayApplication | None:
    """Return the gateway if the node has a local back end."""
    if settings.listen.gateway is None or settings.backend.address is None:
        return None
    from pewtertack.node.gateway.application import GatewayApplication, GatewaySettings

    address = str(settings.backend.address)
    gateway_settings = GatewaySettings(
        address,
        settings.backend.service,
        settings.node.zone.text,
        settings.limits.cold_overage,
        settings.limits.cold_slack,
        settings.node.link_mbps,
        follows_another=not settings.node.first_start,
    )
    return GatewayApplication(
        clock.now,
        gateway_settings,
        _edge_headers(settings),
        log.record,
        registry,
        reporter,
        settings.policies,
        local_executions,
    )


def _edge_headers(settings: Settings) -> EdgeHeaders:
    from pewtertack.node.proxy.edge import EdgeHeaders

    headers = settings.headers
    return EdgeHeaders(
        request_id=headers.request_id.lower().encode(),
        deadline=headers.deadline.lower().encode(),
        expected_backend=headers.expected_backend.lower().encode(),
        caller_service=headers.caller_service.lower().encode(),
        not_run=headers.not_run.lower().encode(),
        cold_milliseconds=headers.cold_milliseconds.lower().encode(),
        rate_limit=headers.rate_limit.lower().encode(),
        leaving=headers.leaving.lower().encode(),
        identified_answers=headers.identified_answers,
        unframed_answers=headers.unframed_answers,
        fractional_retry_after=headers.fractional_retry_after,
    )


def _in_flight_counter(proxy: ProxyApplication | None) -> Callable[[], int]:
    return lambda: proxy.in_flight if proxy is not None else 0


def _reach_check(proxy: ProxyApplication | None) -> Callable[[], bool]:
    return lambda: proxy is None or proxy.reaches_all()


def _identity(settings: Settings, sockets: NodeSockets) -> NodeIdentity:
    advertised = settings.advertise.peer or address_of(sockets.peer_streams)
    node = settings.node
    return NodeIdentity(
        node.name.text,
        str(advertised),
        node.zone.text,
        node.region.text,
        clock.new_incarnation(),
    )


def _create_transport(
    settings: Settings, sockets: NodeSockets, identity: NodeIdentity, traffic: Traffic
) -> PeerTransport:
    sender = Sender(
        identity.name,
        identity.address,
        identity.incarnation,
        settings.peers.key.secret,
        tuple(key.secret for key in settings.peers.accepted_keys),
    )
    limits = StreamLimits(settings.limits.streams, settings.limits.stream_timeout.seconds)
    return PeerTransport(sockets.peer_datagrams, sockets.peer_streams, sender, limits, traffic)


def _create_platform_reader(settings: Settings) -> PlatformReader:
    from pewtertack.node.platform import PlatformLimits, PlatformReader

    limits = PlatformLimits(
        settings.limits.platform_timeout.seconds, settings.limits.document_size.bytes
    )
    return PlatformReader(
        settings.source.url,
        settings.machines.url,
        _platform_source_host(settings),
        limits,
    )


def _platform_source_host(settings: Settings) -> str | None:
    """Return the host to read the platform from: the peer listener's, if the IP versions match."""
    local = settings.listen.peer
    remotes = (settings.source.url.address, settings.machines.url.address)
    return local.host if all(local.is_ipv6 == remote.is_ipv6 for remote in remotes) else None


def _addresses(sockets: NodeSockets, identity: NodeIdentity) -> AddressStatus:
    proxy = sockets.proxy
    return AddressStatus(
        peer=str(address_of(sockets.peer_streams)),
        advertised=identity.address,
        admin=str(address_of(sockets.admin)),
        proxy=str(address_of(proxy)) if proxy is not None else "",
    )
