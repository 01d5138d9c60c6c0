"""Findings of validation, and the errors that report them."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import ClassVar

import msgspec

from pewtertack.errors import ConfigurationError

Path = tuple[str, ...]


class FindingCode(Enum):
    """Kinds of findings, each with its label in reports and its meaning."""

    EMPTY_TREE = ("empty-tree", "The tree contains neither a route nor a service.")
    NOT_A_TABLE = ("not-a-table", "A table is expected here.")
    TOO_DEEP = ("too-deep", "Tables or lists are nested deeper than in any setting.")
    TOO_LARGE = ("too-large", "The tree, a string or a list is larger than allowed.")
    NON_STRING_KEY = ("non-string-key", "A key is not a string.")
    UNSUPPORTED_VALUE = (
        "unsupported-value",
        "A value is not a table, list, string, number or boolean that JSON can carry.",
    )
    NOT_FINITE = ("not-finite", "A number is infinite or not a number.")
    UNKNOWN_KEY = ("unknown-key", "No setting or section has this name here.")
    WRONG_TYPE = ("wrong-type", "The value does not have the type of the setting.")
    WRONG_UNIT = ("wrong-unit", "A duration lacks its unit or has an unknown one.")
    OUT_OF_RANGE = ("out-of-range", "A number or duration is outside its bounds.")
    UNKNOWN_CHOICE = ("unknown-choice", "The value is not one of the allowed choices.")
    BAD_NAME = ("bad-name", "A zone, service, route or secret has a name that is not allowed.")
    BAD_HOST = ("bad-host", "The value is not a host name without port.")
    BAD_PATH = ("bad-path", "The value is not a path prefix in normal form.")
    BAD_HEADER = ("bad-header", "The key is not a header name in lower case.")
    RESERVED_HEADER = ("reserved-header", "HTTP or the node itself sets this header.")
    BAD_SECRET = ("bad-secret", "A secret cannot be sent as the value of a header.")
    DUPLICATE_ITEM = ("duplicate-item", "A list contains the same item twice.")
    MISSING_SETTING = ("missing-setting", "A route lacks a setting that has no default.")
    MISSING_SERVICE = (
        "missing-service",
        "A route refers to a service that does not exist in its scope.",
    )
    MISSING_SECRET = (
        "missing-secret",
        "A route refers to a secret that does not exist in its scope.",
    )
    IDENTICAL_MATCH = ("identical-match", "Two routes match the same requests.")
    BAD_DELETE_TARGET = (
        "bad-delete-target",
        "The value is not a path below one of the root's sections.",
    )
    UNKNOWN_DELETE_TARGET = ("unknown-delete-target", "The root has nothing at this path.")

    def __init__(self, label: str, meaning: str) -> None:
        self.label = label
        self.meaning = meaning


class Finding(msgspec.Struct, frozen=True):
    """One reason to reject a tree. Never contains the value of a secret.

    ``zone`` is the zone in whose resolved values the rule is violated. It is None for the root
    and for findings about the tree as written.
    """

    code: FindingCode
    path: Path
    message: str
    accepted: str = ""
    zone: str | None = None

    @property
    def dotted_path(self) -> str:
        """The path in the tree, joined by dots; ``(root)`` for the tree itself."""
        return ".".join(self.path) or "(root)"

    def __str__(self) -> str:
        scope = f" [in zone {self.zone}]" if self.zone else ""
        accepted = f"; accepted: {self.accepted}" if self.accepted else ""
        return f"{self.dotted_path}: {self.code.label}: {self.message}{accepted}{scope}"


class TreeRejectedError(ConfigurationError):
    """A tree violates at least one rule and is rejected as a whole; see ``findings``."""

    code: ClassVar[str] = "tree-rejected"

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__(f"the tree has {len(findings)} findings, the first: {findings[0]}")
        self.findings = tuple(findings)


class UnknownRouteError(ConfigurationError):
    """The requested route does not exist in the zone."""

    code: ClassVar[str] = "unknown-route"


class UnknownServiceError(ConfigurationError):
    """The requested service does not exist in the zone."""

    code: ClassVar[str] = "unknown-service"
