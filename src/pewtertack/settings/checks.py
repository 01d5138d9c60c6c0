"""Rules that involve several settings, and bounds of numbers."""

from __future__ import annotations

import ipaddress

from pewtertack.core.policies import RetryBudgetPolicy
from pewtertack.settings.errors import (
    AddressRepeatedError,
    AdvertisedAddressError,
    FleetKeyRepeatedError,
    MissingKeyError,
    PortRangeError,
    ValueRangeError,
)
from pewtertack.settings.schema import Settings
from pewtertack.settings.values import Address

STREAMS_MAX = 1024
"""Concurrent frames over TCP, per direction."""
ACCEPTED_KEYS_MAX = 3
"""Each accepted key adds the computation of one authentication tag to every frame that no key
authenticates."""
DOCUMENT_BYTES_MIN = 1024
DOCUMENT_BYTES_MAX = 64 * 1024 * 1024
LINK_MBPS_MAX = 1_000_000.0
MEMORY_BYTES_MIN = 64 * 1024 * 1024
"""A node without requests takes about half of it."""
MEMORY_BYTES_MAX = 1024 * 1024 * 1024 * 1024
DESCRIPTORS_MIN = 256
DESCRIPTORS_MAX = 10_000_000
HOLD_SECONDS_MAX = 600.0
COLD_OVERAGE_MAX = 100.0
"""Factor on a service's ``cold_rate``."""
COLD_SLACK_MAX = 100_000.0
"""Requests within one second."""
RETRY_RATIO_MAX = 10.0
"""Retries per request."""
RETRY_SLACK_MAX = 1_000_000.0
"""Retries within one window."""
RETRY_WINDOW_SECONDS_MIN = 0.1
RETRY_WINDOW_SECONDS_MAX = 600.0
PARTS_INTERVAL_SECONDS_MIN = 0.1
TIMEOUT_SECONDS_MIN = 0.01
TIMEOUT_SECONDS_MAX = 3600.0


def check_settings(settings: Settings, location: str) -> None:
    """Check the bounds of numbers and the rules that involve several settings.

    Raises:
        SettingError: the first violated rule.
    """
    _check_listeners(settings, location)
    _check_peer_addresses(settings, location)
    _check_accepted_keys(settings, location)
    _check_limits(settings, location)
    _check_retries(settings, location)


def advertised_address(settings: Settings) -> Address:
    """Return the address advertised to peers, ``listen.peer`` by default."""
    return settings.advertise.peer or settings.listen.peer


def _check_listeners(settings: Settings, location: str) -> None:
    listen = settings.listen
    used: set[Address] = set()
    for key, address in (
        ("peer", listen.peer),
        ("admin", listen.admin),
        ("proxy", listen.proxy),
        ("gateway", listen.gateway),
        ("metrics", listen.metrics),
    ):
        if address is None:
            continue
        if address in used and address.port:
            problem = f"{address} is the address of another listener"
            raise AddressRepeatedError(location, f"listen.{key}", problem, "a distinct address")
        used.add(address)


def _check_peer_addresses(settings: Settings, location: str) -> None:
    advertised = advertised_address(settings)
    if ipaddress.ip_address(advertised.host).is_unspecified:
        key = "advertise.peer" if settings.advertise.peer else "listen.peer"
        problem = f"{advertised} is not reachable by peers"
        accepted = "an IP address of this machine, or advertise.peer in addition"
        raise AdvertisedAddressError(location, key, problem, accepted)
    addresses = [("peers.seeds", seed) for seed in settings.peers.seeds]
    if settings.advertise.peer:
        addresses.append(("advertise.peer", settings.advertise.peer))
    for key, address in addresses:
        if address.port == 0:
            raise PortRangeError(location, key, f"{address}", "a port of 1 or more")


def _check_accepted_keys(settings: Settings, location: str) -> None:
    key = "peers.accepted_keys"
    keys = settings.peers.accepted_keys
    if len(keys) > ACCEPTED_KEYS_MAX:
        raise ValueRangeError(
            location, key, f"{len(keys)} keys", f"at most {ACCEPTED_KEYS_MAX} keys"
        )
    if len({settings.peers.key, *keys}) <= len(keys):
        accepted = "each key once, without peers.key"
        raise FleetKeyRepeatedError(location, key, "a key is repeated", accepted)


def _check_limits(settings: Settings, location: str) -> None:
    limits = settings.limits
    _check_range(location, "node.link_mbps", settings.node.link_mbps, 0.0, LINK_MBPS_MAX)
    memory = settings.node.memory.bytes
    _check_range(location, "node.memory", memory, MEMORY_BYTES_MIN, MEMORY_BYTES_MAX)
    descriptors = settings.node.descriptors
    if descriptors:
        _check_range(location, "node.descriptors", descriptors, DESCRIPTORS_MIN, DESCRIPTORS_MAX)
    hold = settings.source.hold_after_return.seconds
    _check_range(location, "source.hold_after_return", hold, 0.0, HOLD_SECONDS_MAX)
    _check_range(location, "limits.cold_overage", limits.cold_overage, 0.0, COLD_OVERAGE_MAX)
    _check_range(location, "limits.cold_slack", limits.cold_slack, 0.0, COLD_SLACK_MAX)
    _check_range(location, "limits.streams", limits.streams, 1, STREAMS_MAX)
    _check_range(
        location,
        "limits.document_size",
        limits.document_size.bytes,
        DOCUMENT_BYTES_MIN,
        DOCUMENT_BYTES_MAX,
    )
    if settings.log.parts_every is not None:
        every = settings.log.parts_every.seconds
        _check_range(
            location, "log.parts_every", every, PARTS_INTERVAL_SECONDS_MIN, TIMEOUT_SECONDS_MAX
        )
    timeouts = {
        "platform_timeout": limits.platform_timeout,
        "stream_timeout": limits.stream_timeout,
        "keep_alive": limits.keep_alive,
        "drain_timeout": limits.drain_timeout,
        "stop_within": limits.stop_within,
    }
    for key, duration in timeouts.items():
        if duration is not None:
            _check_range(
                location,
                f"limits.{key}",
                duration.seconds,
                TIMEOUT_SECONDS_MIN,
                TIMEOUT_SECONDS_MAX,
            )


def _check_retries(settings: Settings, location: str) -> None:
    limits = settings.limits
    is_window_policy = settings.policies.retry_budget is RetryBudgetPolicy.WINDOW
    if is_window_policy and limits.retry_ratio == limits.retry_slack == 0:
        key, problem = "limits.retry_ratio", "is missing but required by policies.retry_budget"
        raise MissingKeyError(location, key, problem, "a ratio, a slack, or both")
    _check_range(location, "limits.retry_ratio", limits.retry_ratio, 0.0, RETRY_RATIO_MAX)
    _check_range(location, "limits.retry_slack", limits.retry_slack, 0.0, RETRY_SLACK_MAX)
    seconds = limits.retry_window.seconds
    _check_range(
        location, "limits.retry_window", seconds, RETRY_WINDOW_SECONDS_MIN, RETRY_WINDOW_SECONDS_MAX
    )


def _check_range(location: str, key: str, value: float, lowest: float, highest: float) -> None:
    if not lowest <= value <= highest:
        raise ValueRangeError(location, key, f"{value:g}", f"{lowest:g} to {highest:g}")
