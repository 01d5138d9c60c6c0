"""Converts values of another system's configuration to the forms that the tree uses.

That system may accept values that the tree does not allow. They are replaced by the nearest allowed
value, so that one unusual route does not make a whole version invalid. A value that cannot be
parsed at all is kept unchanged and is rejected by validation.
"""

from __future__ import annotations

import hashlib
from collections.abc import Container, Iterable, Sequence
from functools import lru_cache
from typing import Any

from pewtertack.core.configuration.model import (
    DURATION_UNITS,
    GUARANTEED_HEAD_BYTES,
    HEAD_BYTES_SETTING,
    ROUTE_SETTINGS,
    SERVICE_SETTINGS,
    Setting,
)
from pewtertack.core.configuration.values import (
    duration_seconds,
    is_host,
    is_name,
    is_path_prefix,
    is_request_target,
)

HOST_NAME_CACHE_SIZE = 1024
"""Number of different host names that are cached; a configuration has few."""
NAME_DIGEST_BYTES = 8
"""Bytes of the digest that replaces a route name that is not allowed or already taken."""

Table = dict[str, Any]


def route_match_settings(
    host: str, prefix: str, service: str, shares: Sequence[tuple[str, float]]
) -> Table:
    """Return the settings that determine a route's requests and the services that receive them.

    Args:
        host: the only host that the route matches.
        prefix: path prefix, with a slash at its end.
        service: receives the requests; empty if ``shares`` divides them.
        shares: services, each with its weight.
    """
    split = proportional_weights(ROUTE_SETTINGS["split"], shares)
    return {
        "service": service or max(split, key=lambda name: split[name], default=""),
        "hosts": [without_port(host)],
        "path_prefix": normalized_path_prefix(prefix),
        "split": split,
    }


def route_limit_settings(times: tuple[str, str], priority: float, attempts: float) -> Table:
    """Return a route's timeout, target latency, priority and retry limit.

    ``times`` are the timeout and the target latency. ``attempts`` includes the first attempt.
    """
    timeout, target_latency = times
    return {
        "timeout": clamped_duration(ROUTE_SETTINGS["timeout"], timeout),
        "target_latency": clamped_duration(ROUTE_SETTINGS["target_latency"], target_latency),
        "priority": clamped_integer(ROUTE_SETTINGS["priority"], priority),
        "retry_limit": clamped_integer(ROUTE_SETTINGS["retry_limit"], attempts - 1),
    }


def service_settings(
    connections: float, cold_rate: float, cold_start: tuple[str, str] | None
) -> Table:
    """Return a service's settings.

    ``cold_start`` is the health path and the duration of a cold start, if the service has one.
    """
    connection_limit, rate = (
        SERVICE_SETTINGS["connections_per_backend"],
        SERVICE_SETTINGS["cold_rate"],
    )
    table: Table = {connection_limit.name: clamped_integer(connection_limit, connections)}
    if cold_start is not None:
        table["health_path"] = normalized_request_target(cold_start[0])
        table["cold_start"] = clamped_duration(SERVICE_SETTINGS["cold_start"], cold_start[1])
        table[rate.name] = clamped_number(rate, cold_rate)
    return table


def clamped_integer(setting: Setting, value: float) -> int:
    """Return ``value`` truncated to an integer, or the nearest bound of the setting."""
    if setting.minimum <= value <= setting.maximum:
        return int(value)
    return int(clamped_number(setting, value))


def clamped_number(setting: Setting, value: float) -> float:
    """Return ``value``, or the nearest bound of the setting if it is out of range."""
    return min(max(value, setting.minimum), setting.maximum)


def clamped_duration(setting: Setting, text: str) -> str:
    """Return ``text``, or the nearest bound of the setting if it is out of range.

    If the setting does not allow zero, zero means no limit and becomes the longest duration. A text
    that is not a duration is returned unchanged.
    """
    seconds = duration_seconds(text)
    if seconds is None or setting.minimum <= seconds <= setting.maximum:
        return text
    if seconds == 0 or seconds > setting.maximum:
        return f"{setting.maximum:g}s"
    return f"{setting.minimum / DURATION_UNITS['ms']:g}ms"


def normalized_path_prefix(text: str) -> str:
    """Return a prefix that ends with a slash without that slash, unless it is "/".

    Characters that the tree does not allow are percent-encoded; the result matches the same
    requests.
    """
    prefix = text if text.endswith("//") else text.removesuffix("/") or "/"
    if is_path_prefix(prefix) or not prefix.startswith("/"):
        return prefix
    from pewtertack.core.configuration import percent  # needed for unusual prefixes only

    return percent.encode_segments(prefix)


def normalized_request_target(text: str) -> str:
    """Return a path, optionally with a query, in the tree's form."""
    if is_request_target(text):
        return text
    from pewtertack.core.configuration import percent  # needed for unusual paths only

    path, separator, query = text.partition("?")
    return "/" + percent.encode(path.removeprefix("/")) + separator + percent.encode(query)


@lru_cache(maxsize=HOST_NAME_CACHE_SIZE)
def without_port(text: str) -> str:
    """Return a host name without its port, since requests are matched without a port."""
    name, _, port = text.rpartition(":")
    return name if port.isdecimal() and is_host(name) else text


def proportional_weights(setting: Setting, shares: Iterable[tuple[str, float]]) -> dict[str, int]:
    """Return weights that the setting allows and that are proportional to ``shares``.

    Weights of the same name are summed. If all weights are 0, all names get equal weights.
    """
    summed: dict[str, float] = {}
    for name, weight in shares:
        summed[name] = summed.get(name, 0) + weight
    if not any(summed.values()):
        return dict.fromkeys(summed, 1)
    largest = max(summed.values())
    if largest <= setting.maximum and all(map(float.is_integer, summed.values())):
        return {name: int(weight) for name, weight in summed.items()}
    scale = setting.maximum / largest
    return {name: max(1, round(weight * scale)) if weight else 0 for name, weight in summed.items()}


def head_bytes_settings(value: float) -> Table:
    """Return the root's limit on the size of a head if it exceeds what nodes always accept."""
    if value <= GUARANTEED_HEAD_BYTES:
        return {}
    return {HEAD_BYTES_SETTING.name: clamped_integer(HEAD_BYTES_SETTING, value)}


def unique_routes(named_routes: Iterable[tuple[str, Table]]) -> dict[str, Table]:
    """Return the routes by name, with unique names that the tree allows.

    Of several routes that match the same requests, only the first is kept.
    """
    routes: dict[str, Table] = {}
    matches: set[tuple[str, str]] = set()
    for name, route in named_routes:
        match = (route["hosts"][0].lower(), route["path_prefix"])
        if match not in matches:
            matches.add(match)
            routes[_unique_name(name, routes, match)] = route
    return routes


def _unique_name(name: str, taken: Container[str], match: tuple[str, str]) -> str:
    """Return ``name`` if it is valid and not taken, otherwise a digest of the route."""
    if is_name(name) and name not in taken:
        return name
    content = "\0".join((name, *match)).encode(errors="replace")
    return hashlib.blake2b(content, digest_size=NAME_DIGEST_BYTES).hexdigest()
