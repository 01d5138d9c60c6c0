"""Rules over several settings, and bounds of numbers."""

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
ACCEPTED_KEYS_MAX = 3
"""Each costs one more tag for a stranger's frame."""
DOCUMENT_BYTES_MIN = 1024
DOCUMENT_BYTES_MAX = 64 * 1024 * 1024
LINK_MBPS_MAX = 1_000_000.0
HOLD_SECONDS_MAX = 600.0
COLD_OVERAGE_MAX = 100.0
COLD_SLACK_MAX = 100_000.0
RETRY_RATIO_MAX = 10.0
RETRY_SLACK_MAX = 1_000_000.0
RETRY_WINDOW_MIN = 0.1
RETRY_WINDOW_MAX = 600.0
PARTS_EVERY_MIN = 0.1
TIMEOUT_SECONDS_MIN = 0.01
TIMEOUT_SECONDS_MAX = 3600.0


def check_settings(settings: Settings, place: str) -> None:
    """Check what single values cannot show.

    Raises:
        SettingError: the first rule that is broken.
    """
    _check_listeners(settings, place)
    _check_peer_addresses(settings, place)
    _check_accepted_keys(settings, place)
    _check_limits(settings, place)
    _check_retries(settings, place)


def advertised_address(settings: Settings) -> Address:
    """Return the address that peers are told, ``listen.peer`` by default."""
    return settings.advertise.peer or settings.listen.peer


def _check_listeners(settings: Settings, place: str) -> None:
    listen = settings.listen
    seen: set[Address] = set()
    for key, address in (
        ("peer", listen.peer),
        ("admin", listen.admin),
        ("proxy", listen.proxy),
        ("gateway", listen.gateway),
        ("metrics", listen.metrics),
    ):
        if address is None:
            continue
        if address in seen and address.port:
            problem = f"{address} is another listener's"
            raise AddressRepeatedError(place, f"listen.{key}", problem, "an address of its own")
        seen.add(address)


def _check_peer_addresses(settings: Settings, place: str) -> None:
    advertised = advertised_address(settings)
    if ipaddress.ip_address(advertised.host).is_unspecified:
        key = "advertise.peer" if settings.advertise.peer else "listen.peer"
        problem = f"{advertised} reaches no machine"
        accepted = "an IP number of this machine, or advertise.peer beside it"
        raise AdvertisedAddressError(place, key, problem, accepted)
    named = [("peers.seeds", seed) for seed in settings.peers.seeds]
    if settings.advertise.peer:
        named.append(("advertise.peer", settings.advertise.peer))
    for key, address in named:
        if address.port == 0:
            raise PortRangeError(place, key, f"{address}", "a port of 1 or more")


def _check_accepted_keys(settings: Settings, place: str) -> None:
    key = "peers.accepted_keys"
    keys = settings.peers.accepted_keys
    if len(keys) > ACCEPTED_KEYS_MAX:
        raise ValueRangeError(place, key, f"{len(keys)} keys", f"at most {ACCEPTED_KEYS_MAX} keys")
    if len({settings.peers.key, *keys}) <= len(keys):
        accepted = "each key once, without peers.key"
        raise FleetKeyRepeatedError(place, key, "a key is repeated", accepted)


def _check_limits(settings: Settings, place: str) -> None:
    limits = settings.limits
    _check_range(place, "node.link_mbps", settings.node.link_mbps, 0.0, LINK_MBPS_MAX)
    hold = settings.source.hold_after_return.seconds
    _check_range(place, "source.hold_after_return", hold, 0.0, HOLD_SECONDS_MAX)
    _check_range(place, "limits.cold_overage", limits.cold_overage, 0.0, COLD_OVERAGE_MAX)
    _check_range(place, "limits.cold_slack", limits.cold_slack, 0.0, COLD_SLACK_MAX)
    _check_range(place, "limits.streams", limits.streams, 1, STREAMS_MAX)
    _check_range(
        place,
        "limits.document_size",
        limits.document_size.bytes,
        DOCUMENT_BYTES_MIN,
        DOCUMENT_BYTES_MAX,
    )
    if settings.log.parts_every is not None:
        every = settings.log.parts_every.seconds
        _check_range(place, "log.parts_every", every, PARTS_EVERY_MIN, TIMEOUT_SECONDS_MAX)
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
                place, f"limits.{key}", duration.seconds, TIMEOUT_SECONDS_MIN, TIMEOUT_SECONDS_MAX
            )


def _check_retries(settings: Settings, place: str) -> None:
    limits = settings.limits
    window = settings.policies.retry_budget is RetryBudgetPolicy.WINDOW
    if window and limits.retry_ratio == limits.retry_slack == 0:
        key, problem = "limits.retry_ratio", "is missing beside policies.retry_budget"
        raise MissingKeyError(place, key, problem, "a ratio, a slack, or both")
    _check_range(place, "limits.retry_ratio", limits.retry_ratio, 0.0, RETRY_RATIO_MAX)
    _check_range(place, "limits.retry_slack", limits.retry_slack, 0.0, RETRY_SLACK_MAX)
    seconds = limits.retry_window.seconds
    _check_range(place, "limits.retry_window", seconds, RETRY_WINDOW_MIN, RETRY_WINDOW_MAX)


def _check_range(place: str, key: str, value: float, lowest: float, highest: float) -> None:
    if not lowest <= value <= highest:
        raise ValueRangeError(place, key, f"{value:g}", f"{lowest:g} to {highest:g}")
