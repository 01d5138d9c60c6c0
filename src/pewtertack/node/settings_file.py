"""The settings file of a running node: read again on demand and when it has changed."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from pewtertack.events import Event
from pewtertack.log import EventLog
from pewtertack.settings import Settings, load_settings
from pewtertack.settings.errors import SettingError
from pewtertack.settings.loading import Flags

CHECK_SECONDS = 2.0
"""How often the file's time stamp is looked at."""
APPLIED_SECTIONS = frozenset({"backend", "limits"})
"""Sections whose changes a running node takes over; others need a restart."""


class SettingsFile:
    """Keeps the settings in use. A file that is wrong changes nothing.

    Args:
        path: the settings file; ``None`` for a node that has none, as in tests.
        flags: command-line values, which win over the file's.
        settings: what the node was started with.
        log: is told of every reload.
    """

    def __init__(
        self, path: str | os.PathLike[str] | None, flags: Flags, settings: Settings, log: EventLog
    ) -> None:
        self._path = path
        self._flags = flags
        self._log = log
        self._stamp = self._read_stamp()
        self._users: list[Callable[[Settings], None]] = []
        self.current = settings

    def tell(self, user: Callable[[Settings], None]) -> None:
        """Call ``user`` with the settings after every reload that changed any."""
        self._users.append(user)

    async def run(self) -> None:
        """Reload whenever the file has changed, until cancelled."""
        while self._path is not None:
            await anyio.sleep(CHECK_SECONDS)
            if self._read_stamp() != self._stamp:
                self.reload()

    def reload(self) -> None:
        """Read the file again and take over what a running node can."""
        if self._path is None:
            return
        self._stamp = self._read_stamp()
        try:
            read = load_settings(self._path, self._flags)
        except SettingError as error:
            self._log.record(Event.SETTINGS_REFUSED, type=error.code, reason=str(error))
            return
        changed = _changed_sections(self.current, read)
        applied = sorted(changed & APPLIED_SECTIONS)
        ignored = sorted(changed - APPLIED_SECTIONS)
        self._log.record(Event.SETTINGS_RELOADED, applied=applied, needs_restart=ignored)
        if applied:
            values = {name: getattr(read, name) for name in applied}
            self.current = msgspec.structs.replace(self.current, **values)
            for user in self._users:
                user(self.current)

    def _read_stamp(self) -> tuple[Any, ...]:
        """Return what changes with the file: inode, size and time of modification."""
        if self._path is None:
            return ()
        try:
            found = os.stat(self._path)
        except OSError:
            return ()
        return found.st_ino, found.st_size, found.st_mtime_ns


def _changed_sections(old: Settings, new: Settings) -> frozenset[str]:
    names = (field.name for field in msgspec.structs.fields(Settings))
    return frozenset(name for name in names if getattr(old, name) != getattr(new, name))
