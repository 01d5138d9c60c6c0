"""A valid tree and helpers for the tests of the configuration."""

from typing import Any

from hypothesis import settings

PROPERTY = settings(derandomize=True, deadline=None, max_examples=200, database=None)
"""Settings of all property tests; each run uses the same examples."""

VALID_TREE: dict[str, Any] = {
    "service_defaults": {"connect_timeout": "50ms"},
    "secrets": {"token": "x", "spare": "y"},
    "services": {"logbook": {}, "archive": {"route_defaults": {"timeout": "9s"}}},
    "routes": {
        "lookup": {
            "service": "logbook",
            "path_prefix": "/contacts",
            "header_secrets": {"x-token": "token"},
        },
        "records": {"service": "archive", "path_prefix": "/records"},
    },
    "zones": {"yaba": {}, "lekki": {"route_defaults": {"timeout": "4s"}}},
}


def with_value(document: Any, path: str, value: Any) -> Any:
    """Return a copy of ``document`` with ``value`` at ``path``, joined by dots."""
    if not path:
        return value
    key, _, rest = path.partition(".")
    copy = dict(document) if isinstance(document, dict) else {}
    copy[key] = with_value(copy.get(key, {}), rest, value)
    return copy
