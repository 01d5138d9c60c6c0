"""Typed values of settings and their text forms.

A parser takes the text and raises ``ValueProblemError``, which the loader turns into
a ``SettingError`` with the file and key.
"""

from __future__ import annotations

import ipaddress
import re
from typing import ClassVar
from urllib.parse import urlsplit

import msgspec

from pewtertack.settings.errors import (
    AddressFormatError,
    DurationUnitError,
    FleetKeyFormatError,
    FleetKeyLengthError,
    HostNameRefusedError,
    NameFormatError,
    PortRangeError,
    SettingError,
    SizeUnitError,
    UrlFormatError,
    UrlSchemeError,
)
from pewtertack.wire.frames import KEY_BYTES_MAX, KEY_BYTES_MIN

PORT_MAX = 65535
NAME_LENGTH_MAX = 63

_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?")
_QUANTITY = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z]+)")
_SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
_BYTES = {"B": 1, "KiB": 1024, "MiB": 1024 * 1024}

ACCEPTED_ADDRESS = '"ip:port" with an IP number, as "127.0.0.1:7001" or "[::1]:7001"'
ACCEPTED_URL = '"http://ip:port", as "http://127.0.0.1:9000"'
ACCEPTED_DURATION = 'a number with a unit of ms, s, m or h, as "500ms"'
ACCEPTED_SIZE = 'a number with a unit of B, KiB or MiB, as "4MiB"'
ACCEPTED_NAME = f"letters, digits, '.', '_' and '-', {NAME_LENGTH_MAX} at most"
ACCEPTED_KEY = f"{2 * KEY_BYTES_MIN} to {2 * KEY_BYTES_MAX} hexadecimal digits"


class ValueProblemError(Exception):
    """A text is no value of its type; ``kind`` is the error to report it by."""

    def __init__(self, kind: type[SettingError], problem: str, accepted: str) -> None:
        self.kind = kind
        self.problem = problem
        self.accepted = accepted
        super().__init__(problem)


class Address(msgspec.Struct, frozen=True):
    """An IP number and a port; port 0 lets the system choose one."""

    accepted: ClassVar[str] = ACCEPTED_ADDRESS

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if self.is_ipv6 else self.host
        return f"{host}:{self.port}"

    @property
    def is_ipv6(self) -> bool:
        """Whether the IP number is of version 6."""
        return ":" in self.host

    @classmethod
    def parse(cls, text: str) -> Address:
        """Read ``ip:port``; an IPv6 number stands in brackets."""
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port:
            raise ValueProblemError(AddressFormatError, f"{text!r}", ACCEPTED_ADDRESS)
        if not port.isascii() or not port.isdigit() or int(port) > PORT_MAX:
            raise ValueProblemError(PortRangeError, f"port {port!r}", f"0 to {PORT_MAX}")
        bare = host[1:-1] if host.startswith("[") and host.endswith("]") else host
        try:
            return cls(str(ipaddress.ip_address(bare)), int(port))
        except ValueError:
            raise ValueProblemError(
                HostNameRefusedError, f"{host!r} is no IP number", ACCEPTED_ADDRESS
            ) from None


class Url(msgspec.Struct, frozen=True):
    """The base URL of a platform service, without a trailing slash."""

    accepted: ClassVar[str] = ACCEPTED_URL

    text: str
    address: Address
    path: str = ""
    """What comes after the port, without a trailing slash."""

    @classmethod
    def parse(cls, text: str) -> Url:
        """Read ``http://ip:port[/path]``."""
        parts = urlsplit(text)
        if parts.scheme != "http":
            raise ValueProblemError(UrlSchemeError, f"scheme of {text!r}", ACCEPTED_URL)
        if parts.query or parts.fragment or not parts.netloc:
            raise ValueProblemError(UrlFormatError, f"{text!r}", ACCEPTED_URL)
        netloc = parts.netloc if _has_port(parts.netloc) else f"{parts.netloc}:80"
        return cls(text.rstrip("/"), Address.parse(netloc), parts.path.rstrip("/"))


def _has_port(netloc: str) -> bool:
    return ":" in netloc.rpartition("]")[2]


class Duration(msgspec.Struct, frozen=True):
    """A length of time."""

    accepted: ClassVar[str] = ACCEPTED_DURATION

    seconds: float

    @classmethod
    def parse(cls, text: str) -> Duration:
        """Read a number with a unit, as ``500ms``."""
        return cls(_quantity(text, _SECONDS, DurationUnitError, ACCEPTED_DURATION))


class Size(msgspec.Struct, frozen=True):
    """A number of bytes."""

    accepted: ClassVar[str] = ACCEPTED_SIZE

    bytes: int

    @classmethod
    def parse(cls, text: str) -> Size:
        """Read a number with a unit, as ``4MiB``."""
        return cls(int(_quantity(text, _BYTES, SizeUnitError, ACCEPTED_SIZE)))


def _quantity(
    text: str, units: dict[str, float] | dict[str, int], kind: type[SettingError], accepted: str
) -> float:
    found = _QUANTITY.fullmatch(text)
    if found is None or found[2] not in units:
        raise ValueProblemError(kind, f"{text!r}", accepted)
    return float(found[1]) * units[found[2]]


class Name(msgspec.Struct, frozen=True):
    """A node's, zone's or region's name."""

    accepted: ClassVar[str] = ACCEPTED_NAME

    text: str

    @classmethod
    def parse(cls, text: str) -> Name:
        """Check that ``text`` may be a name."""
        if len(text) > NAME_LENGTH_MAX or _NAME.fullmatch(text) is None:
            raise ValueProblemError(NameFormatError, f"{text!r}", ACCEPTED_NAME)
        return cls(text)


class FleetKey(msgspec.Struct, frozen=True):
    """The secret that all nodes of a fleet share. It is never printed."""

    accepted: ClassVar[str] = ACCEPTED_KEY

    secret: bytes

    def __repr__(self) -> str:
        return "FleetKey()"

    @classmethod
    def parse(cls, text: str) -> FleetKey:
        """Read hexadecimal digits."""
        try:
            secret = bytes.fromhex(text)
        except ValueError:
            raise ValueProblemError(FleetKeyFormatError, "not hexadecimal", ACCEPTED_KEY) from None
        if not KEY_BYTES_MIN <= len(secret) <= KEY_BYTES_MAX:
            raise ValueProblemError(FleetKeyLengthError, f"{len(secret)} bytes", ACCEPTED_KEY)
        return cls(secret)


ParsedType = type[Address] | type[Url] | type[Duration] | type[Size] | type[Name] | type[FleetKey]
PARSED_TYPES: tuple[ParsedType, ...] = (Address, Url, Duration, Size, Name, FleetKey)
