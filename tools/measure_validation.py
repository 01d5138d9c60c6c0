"""Measure validation and resolution of a tree of the expected size, in milliseconds.

The times are processor time of this process, as other processes may load the machine.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable
from typing import Any

from pewtertack.core.configuration.resolution import resolve_checked, resolve_document
from pewtertack.core.configuration.validation import check_document
from pewtertack.core.revision import NO_REVISION, digest_of

SERVICES = 240
ROUTES = 500
ZONES = 5
OVERRIDES_PER_ZONE = 50
CALLS = 25


def expected_tree() -> dict[str, Any]:
    """Return a tree of the expected size; every route has methods, a host and a secret."""
    services = {f"service-{n}": {"route_defaults": {"timeout": "3s"}} for n in range(SERVICES)}
    routes = {f"route-{n}": _route(n) for n in range(ROUTES)}
    zones = {f"zone-{n}": {"routes": _overrides(n)} for n in range(ZONES)}
    return {"secrets": {"token": "x"}, "services": services, "routes": routes, "zones": zones}


def _route(number: int) -> dict[str, Any]:
    return {
        "service": f"service-{number % SERVICES}",
        "hosts": [f"host-{number}.example"],
        "path_prefix": f"/path/{number}",
        "methods": ["GET", "POST"],
        "header_secrets": {"x-token": "token"},
    }


def _overrides(zone: int) -> dict[str, Any]:
    numbers = range(zone, ROUTES, ROUTES // OVERRIDES_PER_ZONE)
    return {f"route-{number}": {"timeout": "4s"} for number in numbers}


def measure(name: str, call: Callable[[], object], calls: int) -> None:
    """Print the minimum and the median processor time of ``calls`` calls."""
    milliseconds = []
    for _ in range(calls):
        started_at = time.process_time()
        call()
        milliseconds.append((time.process_time() - started_at) * 1000)
    print(
        f"{name}: min {min(milliseconds):.1f} ms, median {statistics.median(milliseconds):.1f} ms"
    )


def main(calls: int = CALLS) -> None:
    """Measure each function on the same tree, ``calls`` times."""
    tree = expected_tree()
    measure("check_document", lambda: check_document(tree), calls)
    measure("resolve_checked", lambda: resolve_checked(tree, NO_REVISION, "zone-1"), calls)
    measure("resolve_document", lambda: resolve_document(tree, NO_REVISION, "zone-1"), calls)
    measure("digest_of", lambda: digest_of(tree), calls)


if __name__ == "__main__":
    main()
