"""Typed values of settings, parsed from text.

Parsers raise ``ValueProblemError``, which the loader converts to a ``SettingError`` that
names the file and the key.
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

ACCEPTED_ADDRESS = '"ip:port" with an IP address, such as "127.0.0.1:7001" or "[::1]:7001"'
ACCEPTED_URL = '"http://ip:port", such as "http://127.0.0.1:9000"'
ACCEPTED_DURATION = 'a number with the unit ms, s, m or h, such as "500ms"'
ACCEPTED_SIZE = 'a number with the unit B, KiB or MiB, such as "4MiB"'
ACCEPTED_NAME = f"letters, digits, '.', '_' and '-', at most {NAME_LENGTH_MAX}"
ACCEPTED_KEY = f"{2 * KEY_BYTES_MIN} to {2 * KEY_BYTES_MAX} hexadecimal digits"


class ValueProblemError(Exception):
    """A text is not a valid value; ``error_type`` is the ``SettingError`` to raise for it."""

    def __init__(self, error_type: type[SettingError], problem: str, accepted: str) -> None:
        self.error_type = error_type
        self.problem = problem
        self.accepted = accepted
        super().__init__(problem)


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port; with port 0 the system chooses one."""

    accepted: ClassVar[str] = ACCEPTED_ADDRESS

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if self.is_ipv6 else self.host
        return f"{host}:{self.port}"

    @property
    def is_ipv6(self) -> bool:
        """Whether the host is an IPv6 address."""
        return ":" in self.host

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``ip:port``, with an IPv6 address in brackets."""
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port:
            raise ValueProblemError(AddressFormatError, f"{text!r}", ACCEPTED_ADDRESS)
        if not port.isascii() or not port.isdigit() or int(port) > PORT_MAX:
            raise ValueProblemError(PortRangeError, f"port {port!r}", f"0 to {PORT_MAX}")
        address = host[1:-1] if host.startswith("[") and host.endswith("]") else host
        try:
            return cls(str(ipaddress.ip_address(address)), int(port))
        except ValueError:
            raise ValueProblemError(
                HostNameRefusedError, f"{host!r} is not an IP address", ACCEPTED_ADDRESS
            ) from None


class Url(msgspec.Struct, frozen=True):
    """The base URL of a platform service, without a trailing slash."""

    accepted: ClassVar[str] = ACCEPTED_URL

    text: str
    address: Address
    path: str = ""
    """The path without a trailing slash."""

    @classmethod
    def parse(cls, text: str) -> Url:
        """Parse ``http://ip:port[/path]``."""
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
    """A duration."""

    accepted: ClassVar[str] = ACCEPTED_DURATION

    seconds: float

    @classmethod
    def parse(cls, text: str) -> Duration:
        """Parse a number with a unit, such as ``500ms``."""
        return cls(_parse_quantity(text, _SECONDS, DurationUnitError, ACCEPTED_DURATION))


class Size(msgspec.Struct, frozen=True):
    """A number of bytes."""

    accepted: ClassVar[str] = ACCEPTED_SIZE

    bytes: int

    @classmethod
    def parse(cls, text: str) -> Size:
        """Parse a number with a unit, such as ``4MiB``."""
        return cls(int(_parse_quantity(text, _BYTES, SizeUnitError, ACCEPTED_SIZE)))


def _parse_quantity(
    text: str,
    units: dict[str, float] | dict[str, int],
    error_type: type[SettingError],
    accepted: str,
) -> float:
    match = _QUANTITY.fullmatch(text)
    if match is None or match[2] not in units:
        raise ValueProblemError(error_type, f"{text!r}", accepted)
    return float(match[1]) * units[match[2]]


class Name(msgspec.Struct, frozen=True):
    """The name of a node, zone or region."""

    accepted: ClassVar[str] = ACCEPTED_NAME

    text: str

    @classmethod
    def parse(cls, text: str) -> Name:
        """Return ``text`` as a name if it is valid."""
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
        """Parse hexadecimal digits."""
        try:
            secret = bytes.fromhex(text)
        except ValueError:
            raise ValueProblemError(FleetKeyFormatError, "not hexadecimal", ACCEPTED_KEY) from None
        if not KEY_BYTES_MIN <= len(secret) <= KEY_BYTES_MAX:
            raise ValueProblemError(FleetKeyLengthError, f"{len(secret)} bytes", ACCEPTED_KEY)
        return cls(secret)


ParsedType = type[Address] | type[Url] | type[Duration] | type[Size] | type[Name] | type[FleetKey]
PARSED_TYPES: tuple[ParsedType, ...] = (Address, Url, Duration, Size, Name, FleetKey)
