"""Reads the simulated platform services the way an adapter for a source with eras does."""

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
DOCUMENT_STATUSES = (200, 304)
"""Statuses of the responses that report the era."""


class _Cursor:
    """The versions of one document that were read in one era."""

    __slots__ = ("era", "newest", "number")

    def __init__(self, era: int) -> None:
        self.era = era
        self.number = 0
        """Number in the last response; 0 before the first."""
        self.newest = 0
        """Highest number in a response; 0 before the first."""


class EraReader(PlatformReader):
    """Reads documents in the latest era.

    Machine lists are renumbered by era and number. A configuration is reported as unchanged if it
    is the newest one read in its era but not newer than the held one.
    """

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
        """Read a document; every failure becomes ``DocumentReadFailed``."""
        response = await super().read(effect)
        findings = self._era.pop_findings()
        return msgspec.structs.replace(response, answer_findings=findings) if findings else response

    async def _request(self, effect: ReadDocument) -> ServiceResponse:
        era_at_request = self._era.known
        response = await super()._request(
            msgspec.structs.replace(effect, after=self._known_number(effect))
        )
        if response.status in DOCUMENT_STATUSES:
            self._update_era(response, era_at_request)
        if effect.era > self._era.number:
            raise SourceEraError(
                f"response is of era {self._era.number}; peers report era {effect.era}"
            )
        return response

    def _known_number(self, effect: ReadDocument) -> int:
        """Return the number of this era after which to wait for a change; 0 to read at once."""
        if self._era.number == 0:
            return effect.after
        cursor = self._cursors[effect.kind]
        return cursor.number if cursor.era == self._era.number else 0

    def _update_era(self, response: ServiceResponse, era_at_request: int | None) -> None:
        try:
            self._era.update(
                self._now(),
                response.header(ERA_HEADER.encode()),
                era_at_request,
                response.new_connection,
            )
        except SourceEraError:
            for service in self._services.values():
                service.close()
            raise

    async def _read(self, effect: ReadDocument) -> DocumentRead | DocumentUnchanged:
        response = await super()._read(effect)
        era = self._era.number
        if isinstance(response, DocumentUnchanged) or era == 0:
            return response
        cursor = self._cursors[effect.kind]
        if cursor.era != era:
            cursor = self._cursors[effect.kind] = _Cursor(era)
        cursor.number = response.number
        cursor.newest = max(cursor.newest, response.number)
        if effect.kind is DocumentKind.MACHINE_LIST:
            return msgspec.structs.replace(response, number=list_number(era, response.number))
        if cursor.newest == response.number <= effect.after:
            return DocumentUnchanged(effect.kind)
        return response


def make_era_reader(settings: Settings) -> EraReader:
    """Return an era reader configured by a node's settings."""
    limits = PlatformLimits(
        settings.limits.platform_timeout.seconds, settings.limits.document_size.bytes
    )
    return EraReader(settings.source.url, settings.machines.url, limits)
