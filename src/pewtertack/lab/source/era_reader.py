"""Reads the lab's stand-ins of the platform as an adapter to a source with eras does."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pewtertack.core.effects import ReadDocument
from pewtertack.core.eras import list_number
from pewtertack.core.inputs import DocumentRead, DocumentReadFailed, DocumentUnchanged
from pewtertack.core.source_era import SourceEra, SourceEraError
from pewtertack.node import clock
from pewtertack.node.http.client import ServiceResponse
from pewtertack.node.platform import PlatformLimits, PlatformReader
from pewtertack.settings import Settings, Url
from pewtertack.wire.messages import DocumentKind

ERA_HEADER = "store-era"
STATUS_OF_DOCUMENT = (200, 304)
"""Answers that tell the era."""


class _Cursor:
    """What was read of one document in the present era."""

    __slots__ = ("era", "newest", "number")

    def __init__(self, era: int) -> None:
        self.era = era
        self.number = 0
        """Of the last answer."""
        self.newest = 0


class EraReader(PlatformReader):
    """Numbers lists by era and revision; a version that is held goes before an older one."""

    def __init__(
        self,
        source_url: Url,
        machines_url: Url,
        limits: PlatformLimits,
        now: Callable[[], float] = clock.now,
    ) -> None:
        super().__init__(source_url, machines_url, None, limits)
        self._now = now
        self._era = SourceEra(ERA_HEADER)
        self._cursors = {kind: _Cursor(0) for kind in DocumentKind}

    async def read(
        self, effect: ReadDocument
    ) -> DocumentRead | DocumentUnchanged | DocumentReadFailed:
        """Do one read; every failure becomes ``DocumentReadFailed``."""
        answer = await super().read(effect)
        found = self._era.pop_findings()
        return msgspec.structs.replace(answer, answer_findings=found) if found else answer

    async def _request(self, effect: ReadDocument) -> ServiceResponse:
        sent_in = self._era.known
        answer = await super()._request(msgspec.structs.replace(effect, after=self._known(effect)))
        if answer.status in STATUS_OF_DOCUMENT:
            self._take_era(answer, sent_in)
        if effect.era > self._era.number:
            raise SourceEraError(f"of era {self._era.number}; peers have heard of {effect.era}")
        return answer

    def _known(self, effect: ReadDocument) -> int:
        """Return the number of this era to wait for a change of; 0 to be told all."""
        if self._era.number == 0:
            return effect.after
        cursor = self._cursors[effect.kind]
        return cursor.number if cursor.era == self._era.number else 0

    def _take_era(self, answer: ServiceResponse, sent_in: int | None) -> None:
        try:
            self._era.update(
                self._now(), answer.header(ERA_HEADER.encode()), sent_in, answer.new_connection
            )
        except SourceEraError:
            for service in self._services.values():
                service.close()
            raise

    async def _read(self, effect: ReadDocument) -> DocumentRead | DocumentUnchanged:
        answer = await super()._read(effect)
        era = self._era.number
        if isinstance(answer, DocumentUnchanged) or era == 0:
            return answer
        cursor = self._cursors[effect.kind]
        if cursor.era != era:
            cursor = self._cursors[effect.kind] = _Cursor(era)
        cursor.number = answer.number
        cursor.newest = max(cursor.newest, answer.number)
        if effect.kind is DocumentKind.MACHINE_LIST:
            return msgspec.structs.replace(answer, number=list_number(era, answer.number))
        if cursor.newest == answer.number <= effect.after:
            return DocumentUnchanged(effect.kind)
        return answer


def make_era_reader(settings: Settings) -> EraReader:
    """Return the reader for a node with these settings."""
    limits = PlatformLimits(
        settings.limits.platform_timeout.seconds, settings.limits.document_size.bytes
    )
    return EraReader(settings.source.url, settings.machines.url, limits)
