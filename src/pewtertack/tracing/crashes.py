"""Back-end crashes caused by a request, identified by the fingerprint that its retries share."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence

from pewtertack.tracing.reading import LogLine

CRASH_EVENT = "BACKEND_CRASHED"
CRASH_REFUSAL_TYPE = "request-ends-back-ends"
"""Type of a refusal whose detail contains the fingerprint."""
FINGERPRINT = re.compile(r"\b[0-9a-f]{32}\b")


def crashes_during(lines: Sequence[LogLine], request: str) -> tuple[LogLine, ...]:
    """Return the back-end crashes that count against ``request``, ordered by time.

    They include crashes during retries of the same request, which have other ids.
    """
    crashes = [line for line in lines if line.event == CRASH_EVENT]
    fingerprints = _fingerprints(lines, crashes, request)
    matching = [
        line
        for line in crashes
        if fingerprints & {fingerprint for _, fingerprint in running_requests(line)}
    ]
    return tuple(sorted(matching, key=lambda line: line.time))


def _fingerprints(
    lines: Iterable[LogLine], crashes: Iterable[LogLine], request: str
) -> frozenset[str]:
    logged = {
        fingerprint
        for line in crashes
        for name, fingerprint in running_requests(line)
        if name == request
    }
    refused = {
        fingerprint
        for line in lines
        if line.request == request and line.fields.get("type") == CRASH_REFUSAL_TYPE
        for fingerprint in FINGERPRINT.findall(str(line.fields.get("detail", "")))
    }
    return frozenset(logged | refused) - {""}


def running_requests(line: LogLine) -> list[tuple[str, str]]:
    """Return id and fingerprint of each request that was running at the crash in ``line``."""
    requests = line.fields.get("requests")
    if not isinstance(requests, list):
        return []
    return [(str(item[0]), str(item[1])) for item in requests if _is_pair(item)]


def _is_pair(item: object) -> bool:
    return isinstance(item, list) and len(item) == 2
