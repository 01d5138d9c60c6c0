"""Writes values of another system's configuration in the forms that the tree has.

That system may accept values that the tree does not: they are replaced by the nearest one that the
tree allows, so that one unusual route does not make a whole version invalid. What is not a value of
its kind at all is kept as it is, and refused by validation.
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

VALUES_KEPT = 1024
"""Different texts whose form is remembered; a configuration has few."""
NAME_DIGEST_BYTES = 8

Table = dict[str, Any]


def route_match_settings(
    host: str, prefix: str, service: str, shares: Sequence[tuple[str, float]]
) -> Table:
    """Return a route's settings that say which requests it matches and which services get them.

    Args:
        host: the only host that it matches.
        prefix: of the path, with a slash at its end.
        service: gets the requests; empty where ``shares`` divides them.
        shares: services, each with its weight.
    """
    split = weights(ROUTE_SETTINGS["split"], shares)
    return {
        "service": service or max(split, key=lambda name: split[name], default=""),
        "hosts": [host_name(host)],
        "path_prefix": path_prefix(prefix),
        "split": split,
    }


def route_limit_settings(times: tuple[str, str], priority: float, attempts: float) -> Table:
    """Return a route's time-out, target latency, priority and limit of retries."""
    timeout, target_latency = times
    return {
        "timeout": duration(ROUTE_SETTINGS["timeout"], timeout),
        "target_latency": duration(ROUTE_SETTINGS["target_latency"], target_latency),
        "priority": whole_number(ROUTE_SETTINGS["priority"], priority),
        "retry_limit": whole_number(ROUTE_SETTINGS["retry_limit"], attempts - 1),
    }


def service_settings(connections: float, cold_rate: float, cold: tuple[str, str] | None) -> Table:
    """Return a service's settings; ``cold`` has the health path and the time of a cold start."""
    limit, rate = SERVICE_SETTINGS["connections_per_backend"], SERVICE_SETTINGS["cold_rate"]
    table: Table = {limit.name: whole_number(limit, connections)}
    if cold is not None:
        table["health_path"] = request_target(cold[0])
        table["cold_start"] = duration(SERVICE_SETTINGS["cold_start"], cold[1])
        table[rate.name] = ratio(rate, cold_rate)
    return table


def whole_number(setting: Setting, value: float) -> int:
    """Return the whole number nearest to ``value`` that the setting allows."""
    if setting.minimum <= value <= setting.maximum:
        return int(value)
    return int(ratio(setting, value))


def ratio(setting: Setting, value: float) -> float:
    """Return the number nearest to ``value`` that the setting allows."""
    return min(max(value, setting.minimum), setting.maximum)


def duration(setting: Setting, text: str) -> str:
    """Return the duration nearest to ``text`` that the setting allows.

    Zero, where the setting does not allow it, stands for no bound and gives the longest.
    """
    seconds = duration_seconds(text)
    if seconds is None or setting.minimum <= seconds <= setting.maximum:
        return text
    if seconds == 0 or seconds > setting.maximum:
        return f"{setting.maximum:g}s"
    return f"{setting.minimum / DURATION_UNITS['ms']:g}ms"


def path_prefix(text: str) -> str:
    """Return a prefix that ends with a slash as the tree writes it.

    Other characters are percent-encoded, which matches the same requests.
    """
    prefix = text if text.endswith("//") else text.removesuffix("/") or "/"
    if is_path_prefix(prefix) or not prefix.startswith("/"):
        return prefix
    from pewtertack.core.configuration import percent  # for unusual prefixes alone

    return percent.encode_segments(prefix)


def request_target(text: str) -> str:
    """Return a path, perhaps with a query, as the tree writes it."""
    if is_request_target(text):
        return text
    from pewtertack.core.configuration import percent  # for unusual paths alone

    path, mark, query = text.partition("?")
    return "/" + percent.encode(path.removeprefix("/")) + mark + percent.encode(query)


@lru_cache(maxsize=VALUES_KEPT)
def host_name(text: str) -> str:
    """Return the name of a host without its port, since requests are matched without it."""
    name, _, port = text.rpartition(":")
    return name if port.isdecimal() and is_host(name) else text


def weights(setting: Setting, shares: Iterable[tuple[str, float]]) -> dict[str, int]:
    """Return weights that the setting allows in the proportions of ``shares``.

    Weights of one name are summed. If all are 0, the names have equal weights.
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
    """Return the root's limit of a head's size, if it is above what nodes always accept."""
    if value <= GUARANTEED_HEAD_BYTES:
        return {}
    return {HEAD_BYTES_SETTING.name: whole_number(HEAD_BYTES_SETTING, value)}


def unique_routes(given: Iterable[tuple[str, Table]]) -> dict[str, Table]:
    """Return routes by unique names that the tree allows.

    Of routes that match the same requests only the first is kept.
    """
    routes: dict[str, Table] = {}
    matches: set[tuple[str, str]] = set()
    for name, route in given:
        match = (route["hosts"][0].lower(), route["path_prefix"])
        if match not in matches:
            matches.add(match)
            routes[_distinct_name(name, routes, match)] = route
    return routes


def _distinct_name(text: str, taken: Container[str], match: tuple[str, str]) -> str:
    """Return ``text`` if it is a name and free, otherwise a digest of the route."""
    if is_name(text) and text not in taken:
        return text
    content = "\0".join((text, *match)).encode(errors="replace")
    return hashlib.blake2b(content, digest_size=NAME_DIGEST_BYTES).hexdigest()
