"""What can be wrong with the settings of a process, one type for each mistake."""

from __future__ import annotations

from typing import ClassVar

from pewtertack.errors import SettingsError


class SettingError(SettingsError):
    """One setting is wrong.

    ``place`` names the file or flag, ``key`` the setting as ``section.key``
    (empty when the whole file is at fault), ``accepted`` the values that would do.
    """

    code: ClassVar[str] = "setting"

    def __init__(self, place: str, key: str, problem: str, accepted: str) -> None:
        self.place = place
        self.key = key
        self.problem = problem
        self.accepted = accepted
        where = f"{place}: {key}" if key else place
        super().__init__(f"{where}: {problem}; accepted: {accepted}")


class FileUnreadableError(SettingError):
    """The settings file does not exist or may not be read."""

    code: ClassVar[str] = "settings-file-unreadable"


class FileEncodingError(SettingError):
    """The settings file is not UTF-8."""

    code: ClassVar[str] = "settings-file-encoding"


class FileSyntaxError(SettingError):
    """The settings file is not TOML."""

    code: ClassVar[str] = "settings-file-syntax"


class UnknownSectionError(SettingError):
    """There is no such section."""

    code: ClassVar[str] = "section-unknown"


class SectionTypeError(SettingError):
    """A section's name stands for a plain value."""

    code: ClassVar[str] = "section-type"


class MissingSectionError(SettingError):
    """A section with required keys is absent."""

    code: ClassVar[str] = "section-missing"


class UnknownKeyError(SettingError):
    """There is no such key in the section."""

    code: ClassVar[str] = "key-unknown"


class MissingKeyError(SettingError):
    """A required key is absent."""

    code: ClassVar[str] = "key-missing"


class ValueTypeError(SettingError):
    """The value has another type than the key takes."""

    code: ClassVar[str] = "value-type"


class ValueRangeError(SettingError):
    """The number, duration or size is outside its bounds."""

    code: ClassVar[str] = "value-range"


class NameFormatError(SettingError):
    """A node, zone or region name has characters that names may not have."""

    code: ClassVar[str] = "name-format"


class AddressFormatError(SettingError):
    """The value is not ``ip:port``."""

    code: ClassVar[str] = "address-format"


class HostNameRefusedError(SettingError):
    """A host name stands where an IP number is needed."""

    code: ClassVar[str] = "address-host-name"


class PortRangeError(SettingError):
    """The port is not a port number."""

    code: ClassVar[str] = "address-port"


class AdvertisedAddressError(SettingError):
    """The advertised address is one that no peer can reach."""

    code: ClassVar[str] = "address-not-advertisable"


class AddressRepeatedError(SettingError):
    """Two listeners are given one address."""

    code: ClassVar[str] = "address-repeated"


class AddressInUseError(SettingError):
    """Another process listens on the address."""

    code: ClassVar[str] = "address-in-use"


class AddressUnavailableError(SettingError):
    """The address belongs to no interface of this machine, or may not be bound."""

    code: ClassVar[str] = "address-unavailable"


class UrlFormatError(SettingError):
    """The value is not a URL with an IP number as its host."""

    code: ClassVar[str] = "url-format"


class UrlSchemeError(SettingError):
    """The URL's scheme is not spoken."""

    code: ClassVar[str] = "url-scheme"


class FleetKeyFormatError(SettingError):
    """The fleet key is not hexadecimal."""

    code: ClassVar[str] = "fleet-key-format"


class FleetKeyLengthError(SettingError):
    """The fleet key is too short or too long."""

    code: ClassVar[str] = "fleet-key-length"


class FleetKeyRepeatedError(SettingError):
    """An accepted key is the fleet key, or stands twice."""

    code: ClassVar[str] = "fleet-key-repeated"


class ProfileUnknownError(SettingError):
    """There is no such timing profile."""

    code: ClassVar[str] = "profile-unknown"


class DurationUnitError(SettingError):
    """The duration has no unit or an unknown one."""

    code: ClassVar[str] = "duration-unit"


class SizeUnitError(SettingError):
    """The size has no unit or an unknown one."""

    code: ClassVar[str] = "size-unit"


class FlagFormatError(SettingError):
    """A command-line flag is unknown or lacks its value."""

    code: ClassVar[str] = "flag-format"
