"""The settings file of a running node, reloaded on demand and when it has changed."""

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
"""Interval between checks of the file's modification time."""
APPLIED_SECTIONS = frozenset({"backend", "limits"})
"""Sections whose changes a running node applies; others need a restart."""


class SettingsFile:
    """Keeps the settings in use. An invalid file changes nothing.

    Args:
        path: the settings file; ``None`` for a node without one, as in tests.
        flags: command-line values, which take precedence over the file's.
        settings: the settings that the node was started with.
        log: receives an event for every reload.
    """

    def __init__(
        self, path: str | os.PathLike[str] | None, flags: Flags, settings: Settings, log: EventLog
    ) -> None:
        self._path = path
        self._flags = flags
        self._log = log
        self._file_stamp = self._read_stamp()
        self._subscribers: list[Callable[[Settings], None]] = []
        self.current = settings

    def subscribe(self, subscriber: Callable[[Settings], None]) -> None:
        """Call ``subscriber`` with the settings after every reload that applied a change."""
        self._subscribers.append(subscriber)

    async def run(self) -> None:
        """Reload whenever the file has changed, until cancelled."""
        while self._path is not None:
            await anyio.sleep(CHECK_SECONDS)
            if self._read_stamp() != self._file_stamp:
                self.reload()

    def reload(self) -> None:
        """Reload the file and apply what a running node can."""
        if self._path is None:
            return
        self._file_stamp = self._read_stamp()
        try:
            loaded = load_settings(self._path, self._flags)
        except SettingError as error:
            self._log.record(Event.SETTINGS_REFUSED, type=error.code, reason=str(error))
            return
        changed = _changed_sections(self.current, loaded)
        applied = sorted(changed & APPLIED_SECTIONS)
        ignored = sorted(changed - APPLIED_SECTIONS)
        self._log.record(Event.SETTINGS_RELOADED, applied=applied, needs_restart=ignored)
        if applied:
            values = {name: getattr(loaded, name) for name in applied}
            self.current = msgspec.structs.replace(self.current, **values)
            for subscriber in self._subscribers:
                subscriber(self.current)

    def _read_stamp(self) -> tuple[Any, ...]:
        """Return values that change with the file: inode, size and modification time."""
        if self._path is None:
            return ()
        try:
            status = os.stat(self._path)
        except OSError:
            return ()
        return status.st_ino, status.st_size, status.st_mtime_ns


def _changed_sections(old: Settings, new: Settings) -> frozenset[str]:
    names = (field.name for field in msgspec.structs.fields(Settings))
    return frozenset(name for name in names if getattr(old, name) != getattr(new, name))
