"""The ends of back ends under one request, by what stays of it when it comes again."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence

from pewtertack.tracing.reading import LogLine

BACKEND_CRASHED = "BACKEND_CRASHED"
CRASH_REFUSAL_TYPE = "request-ends-back-ends"
"""Type of a refusal whose detail names the fingerprint."""
FINGERPRINT = re.compile(r"\b[0-9a-f]{32}\b")


def crashes_during(lines: Sequence[LogLine], request: str) -> tuple[LogLine, ...]:
    """Return the ends of back ends that speak against ``request``, in the order of time.

    Also those that ran another attempt of the same request, under another id.
    """
    ends = [line for line in lines if line.event == BACKEND_CRASHED]
    known = _fingerprints(lines, ends, request)
    found = [
        line for line in ends if known & {fingerprint for _, fingerprint in running_requests(line)}
    ]
    return tuple(sorted(found, key=lambda line: line.time))


def _fingerprints(
    lines: Iterable[LogLine], ends: Iterable[LogLine], request: str
) -> frozenset[str]:
    ran = {
        fingerprint
        for line in ends
        for name, fingerprint in running_requests(line)
        if name == request
    }
    told = {
        fingerprint
        for line in lines
        if line.request == request and line.fields.get("type") == CRASH_REFUSAL_TYPE
        for fingerprint in FINGERPRINT.findall(str(line.fields.get("detail", "")))
    }
    return frozenset(ran | told) - {""}


def running_requests(line: LogLine) -> list[tuple[str, str]]:
    """Return id and fingerprint of each request that the line says was running."""
    requests = line.fields.get("requests")
    if not isinstance(requests, list):
        return []
    return [(str(item[0]), str(item[1])) for item in requests if _is_pair(item)]


def _is_pair(item: object) -> bool:
    return isinstance(item, list) and len(item) == 2
