"""Reads the configuration source and the machine list over HTTP with long polling."""

from __future__ import annotations

import math
from typing import Annotated, Any, ClassVar

import anyio
import msgspec

from pewtertack.core.effects import ReadDocument
from pewtertack.core.inputs import DocumentRead, DocumentReadFailed, DocumentUnchanged
from pewtertack.errors import PlatformError, ReadFailure
from pewtertack.node.http.client import (
    SOURCE_IDLE_SECONDS,
    AnswerTooLargeError,
    HttpClient,
    ServiceResponse,
    ServiceTimeouts,
    ServiceUnreachableError,
)
from pewtertack.settings import Url
from pewtertack.wire.messages import DocumentKind

STATUS_OK = 200
STATUS_NOT_MODIFIED = 304
STATUS_BUSY = 503
MAX_RETRY_AFTER_SECONDS = 300.0
"""Limit on the ``Retry-After`` of a service; a longer one counts as this."""


class PlatformUnreachableError(PlatformError):
    """The service did not accept a connection, hung up or was too slow."""

    code: ClassVar[str] = "platform-unreachable"

    def __init__(self, reason: str, failure: ReadFailure) -> None:
        self.failure = failure
        super().__init__(reason)


class PlatformBusyError(PlatformError):
    """The service has too many readers; ``retry_after`` in seconds if it gave one."""

    code: ClassVar[str] = "platform-busy"
    failure = ReadFailure.REFUSED

    def __init__(self, retry_after: float | None) -> None:
        self.retry_after = retry_after
        super().__init__("the service has too many readers")


class PlatformStatusError(PlatformError):
    """The service responded with a status that is not part of its interface."""

    code: ClassVar[str] = "platform-status"
    failure = ReadFailure.REFUSED


class PlatformBodyError(PlatformError):
    """The response's body is not a valid document."""

    code: ClassVar[str] = "platform-body"


class PlatformBodyTooLargeError(PlatformError):
    """The response's body exceeds ``limits.document_size``."""

    code: ClassVar[str] = "platform-body-too-large"


_DocumentNumber = Annotated[int, msgspec.Meta(ge=1)]


class _TreeResponse(msgspec.Struct, frozen=True):
    number: _DocumentNumber
    tree: dict[str, Any]


class _MachinesResponse(msgspec.Struct, frozen=True):
    number: _DocumentNumber
    machines: dict[str, dict[str, Any]]


class PlatformLimits(msgspec.Struct, frozen=True):
    """``timeout`` in seconds beyond the long poll, ``body_bytes`` of one response."""

    timeout: float
    body_bytes: int


class PlatformReader:
    """Carries out the core's ``ReadDocument`` effects.

    Args:
        source_url, machines_url: base URLs without a trailing slash.
        local_host: IP address to connect from; ``None`` leaves the choice to the system.
        limits: limits of time and size.
    """

    def __init__(
        self,
        source_url: Url,
        machines_url: Url,
        local_host: str | None,
        limits: PlatformLimits,
    ) -> None:
        self._limits = limits
        self._services = {
            kind: HttpClient(str(url.address), limits.body_bytes, local_host, SOURCE_IDLE_SECONDS)
            for kind, url in (
                (DocumentKind.CONFIGURATION, source_url),
                (DocumentKind.MACHINE_LIST, machines_url),
            )
        }
        self._targets = {
            DocumentKind.CONFIGURATION: f"{source_url.path}/v1/tree",
            DocumentKind.MACHINE_LIST: f"{machines_url.path}/v1/machines",
        }

    async def close(self) -> None:
        """Close the connections."""
        for service in self._services.values():
            service.close()

    async def read(
        self, effect: ReadDocument
    ) -> DocumentRead | DocumentUnchanged | DocumentReadFailed:
        """Perform one read; every failure becomes a ``DocumentReadFailed``."""
        try:
            with anyio.fail_after(effect.wait + 2 * self._limits.timeout):
                return await self._read(effect)
        except PlatformBusyError as error:
            code, retry_after = error.code, error.retry_after
            return DocumentReadFailed(effect.kind, code, retry_after, failure=error.failure)
        except PlatformError as error:
            reason = f"{error.code}: {error}"
            return DocumentReadFailed(effect.kind, reason, failure=error.failure)
        except TimeoutError:
            code = PlatformUnreachableError.code
            return DocumentReadFailed(effect.kind, code, failure=ReadFailure.UNFINISHED)

    async def _read(self, effect: ReadDocument) -> DocumentRead | DocumentUnchanged:
        response = await self._request(effect)
        _check_status(response)
        if response.status == STATUS_NOT_MODIFIED:
            return DocumentUnchanged(effect.kind)
        return _decode_document(effect.kind, response.body)

    async def _request(self, effect: ReadDocument) -> ServiceResponse:
        target = f"{self._targets[effect.kind]}?after={effect.after}&wait={effect.wait:g}"
        timeout = self._limits.timeout
        timeouts = ServiceTimeouts(timeout, effect.wait + timeout, effect.wait + timeout)
        condition = (b"if-none-match", f'"{effect.after}"'.encode())
        try:
            return await self._services[effect.kind].get(target, timeouts, [condition])
        except ServiceUnreachableError as error:
            raise PlatformUnreachableError(str(error), error.failure) from error
        except AnswerTooLargeError as error:
            raise PlatformBodyTooLargeError(str(error)) from error


def _check_status(response: ServiceResponse) -> None:
    if response.status == STATUS_BUSY:
        raise PlatformBusyError(_retry_after(response))
    if response.status not in (STATUS_OK, STATUS_NOT_MODIFIED):
        raise PlatformStatusError(f"status {response.status}")


def _retry_after(response: ServiceResponse) -> float | None:
    value = response.header(b"retry-after")
    return _parse_seconds(value) if value is not None else None


def _parse_seconds(text: bytes) -> float | None:
    """Parse the seconds form of ``Retry-After``; the date form is not supported."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    return min(max(seconds, 0.0), MAX_RETRY_AFTER_SECONDS) if math.isfinite(seconds) else None


def _decode_document(kind: DocumentKind, body: bytes) -> DocumentRead:
    try:
        if kind == DocumentKind.CONFIGURATION:
            tree = msgspec.json.decode(body, type=_TreeResponse)
            return DocumentRead(kind, tree.number, tree.tree)
        machines = msgspec.json.decode(body, type=_MachinesResponse)
        return DocumentRead(kind, machines.number, machines.machines)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise PlatformBodyError(str(error)) from error
