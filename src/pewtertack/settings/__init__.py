"""Validated settings of a node: flags override a TOML file, which overrides defaults."""

from pewtertack.settings.checks import advertised_address
from pewtertack.settings.loading import SettingKey, load_settings
from pewtertack.settings.schema import ProfileName, Settings
from pewtertack.settings.values import Address, Url

__all__ = [
    "Address",
    "ProfileName",
    "SettingKey",
    "Settings",
    "Url",
    "advertised_address",
    "load_settings",
]
