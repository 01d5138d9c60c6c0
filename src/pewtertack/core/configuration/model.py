"""Definitions of all settings of the tree: name, kind, bounds, default and meaning.

Validation, resolution, the published schema and the generated tables of the documentation all use
these definitions; the settings are listed nowhere else.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import Any

import msgspec

from pewtertack.core.configuration.resolved import DEFAULT_CRASH_LIMIT, WorkClass

NAME_PATTERN = "[A-Za-z0-9_][A-Za-z0-9._-]{0,127}"
"""Names of zones, services, routes and secrets.

A delete target cannot refer to a name with dots, since dots separate the parts of its path.
"""

ZONE_NAME_PATTERN = "[A-Za-z0-9](?:[A-Za-z0-9._-]{0,61}[A-Za-z0-9])?"
"""A zone in the settings of a node; narrower than ``NAME_PATTERN``."""

_HOST_LABEL = "[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
HOST_PATTERN = rf"{_HOST_LABEL}(?:\.{_HOST_LABEL})*\.?|\[[0-9A-Fa-f:.]+\]"
HOST_LENGTH_LIMIT = 253
PATH_PREFIX_PATTERN = r"/|(?:/(?!\.\.?(?:/|$))(?:[A-Za-z0-9._~!$&'()*+,;=:@-]|%[0-9A-Fa-f]{2})+)+"
REQUEST_TARGET_PATTERN = r"/[!$-~]*"
PATH_LENGTH_LIMIT = 1024
HEADER_PATTERN = "[a-z0-9][a-z0-9-]{0,62}"
SECRET_PATTERN = r"[!-~](?:[ -~]*[!-~])?"
SECRET_LENGTH_LIMIT = 4096
DURATION_PATTERN = r"([0-9]{1,18}(?:\.[0-9]{1,18})?)(ms|s|m|h)"
DURATION_UNITS: Mapping[str, float] = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
LIST_LENGTH_LIMIT = 64
WEIGHTS_LIMIT = 1_000
"""Maximum number of services that share the requests of one route."""
ZONE_LIMIT = 32
"""Maximum number of zones in one tree; each is resolved and validated separately."""

NAMES_LIMIT = 32_768
"""Maximum number of services, of routes and of secrets, in the root and in each zone. Unless the
names are very short, the limit on the size of the tree is reached first."""

DELETE_TARGETS_LIMIT = 1_000
"""Maximum number of delete targets in one zone."""

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

RESERVED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-deadline-ms",
        "x-outcome",
        "x-request-id",
    }
)
"""Headers that HTTP or the node itself sets; a secret must not replace them."""


class ValueKind(StrEnum):
    """Forms of a setting's value in the tree."""

    DURATION = "duration"
    INTEGER = "integer"
    RATIO = "ratio"
    BOOLEAN = "boolean"
    CHOICE = "choice"
    NAME = "name"
    PATH_PREFIX = "path prefix"
    REQUEST_TARGET = "path with query"
    HOSTS = "list of host names"
    METHODS = "list of methods"
    HEADER_SECRETS = "table of header to secret"
    WEIGHTS = "table of service to weight"


class Setting(msgspec.Struct, frozen=True):
    """One setting. ``minimum`` and ``maximum`` are inclusive, and in seconds for durations.

    ``default`` has the form of the tree. It is None for a setting without a default, which every
    route must set.
    """

    name: str
    kind: ValueKind
    default: Any
    meaning: str
    minimum: float = 0
    maximum: float = 0
    choices: tuple[str, ...] = ()

    @property
    def accepted(self) -> str:
        """Description of the accepted values, for operators."""
        return _ACCEPTED[self.kind].format(
            low=_format_bound(self, self.minimum),
            high=_format_bound(self, self.maximum),
            choices=", ".join(self.choices),
        )


_ACCEPTED: Mapping[ValueKind, str] = {
    ValueKind.DURATION: 'a string with a unit (ms, s, m or h), "{low}" to "{high}"',
    ValueKind.INTEGER: "a whole number, {low} to {high}",
    ValueKind.RATIO: "a number, {low} to {high}",
    ValueKind.BOOLEAN: "true or false",
    ValueKind.CHOICE: "one of {choices}",
    ValueKind.NAME: "a name: letters, digits, ., - and _, at most 128 characters",
    ValueKind.PATH_PREFIX: 'a path that starts with "/", without empty, "." or ".." segments,'
    ' query or final "/"',
    ValueKind.REQUEST_TARGET: 'a path that starts with "/", optionally with a query,'
    " in visible ASCII",
    ValueKind.HOSTS: f"a list of at most {LIST_LENGTH_LIMIT} different host names without port",
    ValueKind.METHODS: "a list of different methods out of {choices}",
    ValueKind.HEADER_SECRETS: f"a table of at most {LIST_LENGTH_LIMIT} header names in lower case,"
    " each with the name of a secret",
    ValueKind.WEIGHTS: f"a table of at most {WEIGHTS_LIMIT} services, each with a weight,"
    " a whole number, {low} to {high}, at least one above 0",
}


def _format_bound(setting: Setting, bound: float) -> str:
    if setting.kind is not ValueKind.DURATION:
        return f"{bound:g}"
    if bound == 0:
        return "0s"
    for unit in ("h", "m", "s"):
        if bound % DURATION_UNITS[unit] == 0:
            return f"{bound / DURATION_UNITS[unit]:g}{unit}"
    return f"{bound / DURATION_UNITS['ms']:g}ms"


_MATCH_SETTINGS = (
    Setting("service", ValueKind.NAME, None, "Service that executes the matching requests."),
    Setting("hosts", ValueKind.HOSTS, [], "Host names that match; empty matches every host."),
    Setting(
        "path_prefix", ValueKind.PATH_PREFIX, "/", "Path that matches, with all paths below it."
    ),
    Setting(
        "split",
        ValueKind.WEIGHTS,
        {},
        "Services that share the requests by weight; if empty, `service` receives all.",
        maximum=1_000_000,
    ),
    Setting(
        "methods",
        ValueKind.METHODS,
        [],
        "Methods that match; empty matches every method.",
        choices=METHODS,
    ),
)

_INHERITED_ROUTE_SETTINGS = (
    Setting(
        "class",
        ValueKind.CHOICE,
        WorkClass.INTERACTIVE.value,
        "Class of work; requests of more urgent classes are served first.",
        choices=tuple(work_class.value for work_class in WorkClass),
    ),
    Setting(
        "priority",
        ValueKind.INTEGER,
        0,
        "Rank within the class in a gateway's ordered queue; 0 is served first.",
        maximum=1_000,
    ),
    Setting(
        "target_latency",
        ValueKind.DURATION,
        "0s",
        "Time within which a response is expected; 0s means half of `timeout`.",
        maximum=3600,
    ),
    Setting(
        "timeout",
        ValueKind.DURATION,
        "10s",
        "Time limit for the whole request if its caller sets none, and the maximum for callers.",
        minimum=0.001,
        maximum=3600,
    ),
    Setting(
        "repeatable",
        ValueKind.BOOLEAN,
        False,
        "Whether an attempt of unknown outcome may be repeated.",
    ),
    Setting(
        "retry_limit",
        ValueKind.INTEGER,
        1,
        "Maximum number of attempts for one request after the first.",
        maximum=10,
    ),
    Setting(
        "retry_budget",
        ValueKind.RATIO,
        0.1,
        "Maximum number of retries as a share of first attempts.",
        maximum=1,
    ),
    Setting(
        "queue_limit",
        ValueKind.INTEGER,
        32,
        "Requests of the route that may wait for a back end on one node.",
        maximum=10_000,
    ),
    Setting(
        "crash_limit",
        ValueKind.INTEGER,
        DEFAULT_CRASH_LIMIT,
        "Number of back ends that may crash while they execute the same request, without a "
        "response to it in between, before the whole fleet refuses it; 0 means no limit.",
        maximum=16,
    ),
    Setting(
        "header_secrets",
        ValueKind.HEADER_SECRETS,
        {},
        "Headers added to requests to back ends, each with the name of the secret to send.",
    ),
)

_SERVICE_SETTINGS = (
    Setting(
        "slots_per_backend",
        ValueKind.INTEGER,
        6,
        "Maximum number of requests that one node has in flight at one back end.",
        minimum=1,
        maximum=10_000,
    ),
    Setting(
        "connections_per_backend",
        ValueKind.INTEGER,
        8,
        "Maximum number of connections from one node to one back end.",
        minimum=1,
        maximum=10_000,
    ),
    Setting(
        "connect_timeout",
        ValueKind.DURATION,
        "250ms",
        "Timeout for opening a connection to a back end.",
        minimum=0.001,
        maximum=60,
    ),
    Setting(
        "slow_start",
        ValueKind.DURATION,
        "10s",
        "Time after which a new back end receives its full share of the requests.",
        maximum=3600,
    ),
    Setting(
        "ejection_failures",
        ValueKind.INTEGER,
        5,
        "Consecutive failures after which a back end is ejected.",
        minimum=1,
        maximum=1_000,
    ),
    Setting(
        "ejection_time",
        ValueKind.DURATION,
        "10s",
        "Time for which an ejected back end receives no requests.",
        minimum=0.001,
        maximum=3600,
    ),
    Setting(
        "health_path",
        ValueKind.REQUEST_TARGET,
        "/",
        "Path at which a back end reports its health if the node on its machine has to query it.",
    ),
    Setting(
        "cold_start",
        ValueKind.DURATION,
        "0s",
        "Time after its start for which a back end can handle only `cold_rate`.",
        maximum=3600,
    ),
    Setting(
        "cold_rate",
        ValueKind.RATIO,
        0,
        "Requests per second that a cold back end can handle; 0 means no limit.",
        maximum=1_000_000,
    ),
)


def _by_name(settings: tuple[Setting, ...]) -> Mapping[str, Setting]:
    return {setting.name: setting for setting in settings}


ROUTE_DEFAULT_SETTINGS = _by_name(_INHERITED_ROUTE_SETTINGS)
"""Settings of ``route_defaults``: those of a route except its services and what it matches."""

ROUTE_SETTINGS = _by_name(_MATCH_SETTINGS + _INHERITED_ROUTE_SETTINGS)
"""Settings of a route."""

SERVICE_SETTINGS = _by_name(_SERVICE_SETTINGS)
"""Settings of ``service_defaults`` and of a service, which may also have ``route_defaults``."""


class Section(StrEnum):
    """Keys that both the root and a zone may have."""

    ROUTE_DEFAULTS = "route_defaults"
    SERVICE_DEFAULTS = "service_defaults"
    SECRETS = "secrets"
    SERVICES = "services"
    ROUTES = "routes"


ZONES = "zones"
"""Key of the root: table of zone names, each with the zone's sections."""


class RootSection(StrEnum):
    """Keys of the root that apply to the whole fleet; a zone cannot override them."""

    EVACUATED_ZONES = "evacuated_zones"
    """List of zones whose back ends must not receive requests."""
    HEAD_BYTES = "head_bytes"
    """Maximum size of the head of a caller's request, if above ``GUARANTEED_HEAD_BYTES``."""


GUARANTEED_HEAD_BYTES = 32 * 1024
"""Nodes accept heads of up to this many bytes, whatever the tree says."""
HEAD_BYTES_SETTING = Setting(
    RootSection.HEAD_BYTES.value,
    ValueKind.INTEGER,
    0,
    "Maximum size of the head of a caller's request in bytes; nodes always accept 32768.",
    maximum=1024 * 1024,
)


DELETE = "delete"
"""Key of a zone: list of paths in the root's sections that the zone does not inherit."""
