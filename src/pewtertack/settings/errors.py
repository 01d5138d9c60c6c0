"""Errors in the settings of a process, one type for each kind."""

from __future__ import annotations

from typing import ClassVar

from pewtertack.errors import SettingsError


class SettingError(SettingsError):
    """A setting is invalid.

    ``location`` is the path of the file, or ``flag``; ``key`` is the setting as ``section.key``,
    or empty if the error concerns the whole file; ``accepted`` describes valid values.
    """

    code: ClassVar[str] = "setting"

    def __init__(self, location: str, key: str, problem: str, accepted: str) -> None:
        self.location = location
        self.key = key
        self.problem = problem
        self.accepted = accepted
        origin = f"{location}: {key}" if key else location
        super().__init__(f"{origin}: {problem}; accepted: {accepted}")


class FileUnreadableError(SettingError):
    """The settings file does not exist or cannot be read."""

    code: ClassVar[str] = "settings-file-unreadable"


class FileEncodingError(SettingError):
    """The settings file is not UTF-8."""

    code: ClassVar[str] = "settings-file-encoding"


class FileSyntaxError(SettingError):
    """The settings file is not TOML."""

    code: ClassVar[str] = "settings-file-syntax"


class UnknownSectionError(SettingError):
    """The section does not exist."""

    code: ClassVar[str] = "section-unknown"


class SectionTypeError(SettingError):
    """The name of a section has a plain value instead of a table."""

    code: ClassVar[str] = "section-type"


class MissingSectionError(SettingError):
    """A section with required keys is missing."""

    code: ClassVar[str] = "section-missing"


class UnknownKeyError(SettingError):
    """The key does not exist in the section."""

    code: ClassVar[str] = "key-unknown"


class MissingKeyError(SettingError):
    """A required key is missing."""

    code: ClassVar[str] = "key-missing"


class ValueTypeError(SettingError):
    """The value has the wrong type for the key."""

    code: ClassVar[str] = "value-type"


class ValueRangeError(SettingError):
    """The number, duration or size is outside its bounds."""

    code: ClassVar[str] = "value-range"


class NameFormatError(SettingError):
    """The name of a node, zone or region is too long or has invalid characters."""

    code: ClassVar[str] = "name-format"


class AddressFormatError(SettingError):
    """The value is not ``ip:port``."""

    code: ClassVar[str] = "address-format"


class HostNameRefusedError(SettingError):
    """A host name is given where an IP address is required."""

    code: ClassVar[str] = "address-host-name"


class PortRangeError(SettingError):
    """The port is not a valid port number."""

    code: ClassVar[str] = "address-port"


class AdvertisedAddressError(SettingError):
    """The advertised address is not reachable by peers."""

    code: ClassVar[str] = "address-not-advertisable"


class AddressRepeatedError(SettingError):
    """Two listeners have the same address."""

    code: ClassVar[str] = "address-repeated"


class AddressInUseError(SettingError):
    """Another process already listens on the address."""

    code: ClassVar[str] = "address-in-use"


class AddressUnavailableError(SettingError):
    """The address belongs to no interface of this machine, or binding it is not permitted."""

    code: ClassVar[str] = "address-unavailable"


class UrlFormatError(SettingError):
    """The value is not a URL with an IP address as its host."""

    code: ClassVar[str] = "url-format"


class UrlSchemeError(SettingError):
    """The scheme of the URL is not supported."""

    code: ClassVar[str] = "url-scheme"


class FleetKeyFormatError(SettingError):
    """The fleet key is not hexadecimal."""

    code: ClassVar[str] = "fleet-key-format"


class FleetKeyLengthError(SettingError):
    """The fleet key is too short or too long."""

    code: ClassVar[str] = "fleet-key-length"


class FleetKeyRepeatedError(SettingError):
    """An accepted key is repeated or equals the fleet key."""

    code: ClassVar[str] = "fleet-key-repeated"


class ProfileUnknownError(SettingError):
    """The timing profile does not exist."""

    code: ClassVar[str] = "profile-unknown"


class DurationUnitError(SettingError):
    """The duration has no unit or an unknown one."""

    code: ClassVar[str] = "duration-unit"


class SizeUnitError(SettingError):
    """The size has no unit or an unknown one."""

    code: ClassVar[str] = "size-unit"


class FlagFormatError(SettingError):
    """A command-line flag is unknown or has no value."""

    code: ClassVar[str] = "flag-format"
