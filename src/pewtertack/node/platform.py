"""Reads the configuration source and the machine list over HTTP by long poll."""

from __future__ import annotations

import math
from typing import Annotated, Any, ClassVar

import anyio
import msgspec

from pewtertack.core.effects import ReadDocument
from pewtertack.core.inputs import DocumentRead, DocumentReadFailed, DocumentUnchanged
from pewtertack.errors import PlatformError, ReadFailure
from pewtertack.node.http.client import (
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
RETRY_AFTER_MAX = 300.0
"""Longest come-back time, in seconds, that a service may ask for."""


class PlatformUnreachableError(PlatformError):
    """The service did not accept a connection, hung up or was too slow."""

    code: ClassVar[str] = "platform-unreachable"

    def __init__(self, reason: str, failure: ReadFailure) -> None:
        self.failure = failure
        super().__init__(reason)


class PlatformBusyError(PlatformError):
    """The service has too many readers; ``retry_after`` in seconds when it said so."""

    code: ClassVar[str] = "platform-busy"
    failure = ReadFailure.REFUSED

    def __init__(self, retry_after: float | None) -> None:
        self.retry_after = retry_after
        super().__init__("the service has too many readers")


class PlatformStatusError(PlatformError):
    """The service answered with a status that is not in its interface."""

    code: ClassVar[str] = "platform-status"
    failure = ReadFailure.REFUSED


class PlatformBodyError(PlatformError):
    """The answer's body is no document."""

    code: ClassVar[str] = "platform-body"


class PlatformBodyTooLargeError(PlatformError):
    """The answer's body is longer than ``limits.document_size``."""

    code: ClassVar[str] = "platform-body-too-large"


_DocumentNumber = Annotated[int, msgspec.Meta(ge=1)]


class _TreeAnswer(msgspec.Struct, frozen=True):
    number: _DocumentNumber
    tree: dict[str, Any]


class _MachinesAnswer(msgspec.Struct, frozen=True):
    number: _DocumentNumber
    machines: dict[str, dict[str, Any]]


class PlatformLimits(msgspec.Struct, frozen=True):
    """``timeout`` in seconds beyond the long poll, ``body_bytes`` of one answer."""

    timeout: float
    body_bytes: int


class PlatformReader:
    """Answers the core's ``ReadDocument`` effects.

    Args:
        source_url, machines_url: base URLs without a trailing slash.
        local_host: IP number to connect from; ``None`` leaves it to the system.
        limits: bounds of time and size.
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
            kind: HttpClient(str(url.address), limits.body_bytes, local_host)
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
        """Do one read; every failure becomes ``DocumentReadFailed``."""
        try:
            with anyio.fail_after(effect.wait + 2 * self._limits.timeout):
                return await self._read(effect)
        except PlatformBusyError as error:
            code, after = error.code, error.retry_after
            return DocumentReadFailed(effect.kind, code, after, failure=error.failure)
        except PlatformError as error:
            reason = f"{error.code}: {error}"
            return DocumentReadFailed(effect.kind, reason, failure=error.failure)
        except TimeoutError:
            code = PlatformUnreachableError.code
            return DocumentReadFailed(effect.kind, code, failure=ReadFailure.UNFINISHED)

    async def _read(self, effect: ReadDocument) -> DocumentRead | DocumentUnchanged:
        answer = await self._ask(effect)
        _check_status(answer)
        if answer.status == STATUS_NOT_MODIFIED:
            return DocumentUnchanged(effect.kind)
        return _document_from(effect.kind, answer.body)

    async def _ask(self, effect: ReadDocument) -> ServiceResponse:
        target = f"{self._targets[effect.kind]}?after={effect.after}&wait={effect.wait:g}"
        timeout = self._limits.timeout
        timeouts = ServiceTimeouts(timeout, effect.wait + timeout, effect.wait + timeout)
        known = (b"if-none-match", f'"{effect.after}"'.encode())
        try:
            return await self._services[effect.kind].get(target, timeouts, [known])
        except ServiceUnreachableError as error:
            raise PlatformUnreachableError(str(error), error.failure) from error
        except AnswerTooLargeError as error:
            raise PlatformBodyTooLargeError(str(error)) from error


def _check_status(answer: ServiceResponse) -> None:
    if answer.status == STATUS_BUSY:
        raise PlatformBusyError(_retry_after(answer))
    if answer.status not in (STATUS_OK, STATUS_NOT_MODIFIED):
        raise PlatformStatusError(f"status {answer.status}")


def _retry_after(answer: ServiceResponse) -> float | None:
    value = answer.header(b"retry-after")
    return _seconds(value) if value is not None else None


def _seconds(text: bytes) -> float | None:
    """Read the seconds form of ``Retry-After``; the date form is not used here."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    return min(max(seconds, 0.0), RETRY_AFTER_MAX) if math.isfinite(seconds) else None


def _document_from(kind: DocumentKind, body: bytes) -> DocumentRead:
    try:
        if kind == DocumentKind.CONFIGURATION:
            tree = msgspec.json.decode(body, type=_TreeAnswer)
            return DocumentRead(kind, tree.number, tree.tree)
        machines = msgspec.json.decode(body, type=_MachinesAnswer)
        return DocumentRead(kind, machines.number, machines.machines)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise PlatformBodyError(str(error)) from error
