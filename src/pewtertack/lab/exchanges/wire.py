"""Reads and writes HTTP/1.1 messages as they stand on the wire."""

from __future__ import annotations

import anyio
import msgspec
from anyio.streams.buffered import BufferedByteReceiveStream

from pewtertack.errors import LabError
from pewtertack.lab.exchanges.plan import Fields, Framing

MAX_LINE_BYTES = 64 * 1024
CHUNK_BYTES = 700
NO_BODY_STATUSES = frozenset({204, 304})


class MalformedMessageError(LabError):
    """The bytes received are no HTTP/1.1 message."""

    code = "malformed-message"


class WireMessage(msgspec.Struct, frozen=True):
    """A message as it was received. Names of headers are in lower case."""

    start_line: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    complete: bool = True
    """Whether the body was received to its end."""

    def values(self, name: str) -> list[str]:
        """Return the values of all headers with a name."""
        return [value for header, value in self.headers if header == name]

    def value(self, name: str) -> str:
        """Return the value of the first header with a name, "" without one."""
        return next(iter(self.values(name)), "")

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.start_line.split(" ")[1])


async def read_head(stream: BufferedByteReceiveStream) -> WireMessage:
    """Read a start line and headers.

    Raises:
        MalformedMessageError: a line is no header.
        anyio.EndOfStream, anyio.IncompleteRead: the connection ended before or within them.
    """
    start_line = await _read_line(stream)
    headers = []
    while line := await _read_line(stream):
        name, separator, value = line.partition(":")
        if not separator or not name or name != name.strip():
            raise MalformedMessageError(f"not a header: {line!r}")
        headers.append((name.lower(), value.strip()))
    return WireMessage(start_line, tuple(headers))


async def _read_line(stream: BufferedByteReceiveStream) -> str:
    return (await stream.receive_until(b"\r\n", MAX_LINE_BYTES)).decode("latin-1")


async def read_body(
    stream: BufferedByteReceiveStream, head: WireMessage, has_body: bool = True
) -> WireMessage:
    """Return the message with its body; an incomplete one is marked.

    Raises:
        MalformedMessageError: the framing is ambiguous or malformed.
    """
    lengths, codings = head.values("content-length"), head.values("transfer-encoding")
    if len(lengths) + len(codings) > 1:
        raise MalformedMessageError("ambiguous framing")
    if not has_body or not (lengths or codings):
        return head
    body = bytearray()
    complete = True
    try:
        if lengths:
            remaining = int(lengths[0])
            while remaining:
                part = await stream.receive(remaining)
                body += part
                remaining -= len(part)
        else:
            await _read_chunks(stream, body)
    except (anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError):
        complete = False
    return WireMessage(head.start_line, head.headers, bytes(body), complete)


async def _read_chunks(stream: BufferedByteReceiveStream, body: bytearray) -> None:
    while size := int((await _read_line(stream)).partition(";")[0], 16):
        body += await stream.receive_exactly(size)
        if await _read_line(stream):
            raise MalformedMessageError("a chunk is longer than its size")
    while await _read_line(stream):
        pass  # a trailer


def encode_message(
    start_line: str, headers: Fields, body: bytes, framing: Framing, trailers: Fields = ()
) -> bytes:
    """Return a message; the header that frames its body is added."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers)]
    if framing is Framing.LENGTH:
        lines.append(f"content-length: {len(body)}")
    elif framing is Framing.CHUNKS:
        lines.append("transfer-encoding: chunked")
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    return head + (_encode_chunks(body, trailers) if framing is Framing.CHUNKS else body)


def _encode_chunks(body: bytes, trailers: Fields) -> bytes:
    parts = []
    for start in range(0, len(body), CHUNK_BYTES):
        part = body[start : start + CHUNK_BYTES]
        parts.append(b"%x\r\n%b\r\n" % (len(part), part))
    end = "".join(f"{name}: {value}\r\n" for name, value in trailers)
    return b"".join(parts) + b"0\r\n" + end.encode() + b"\r\n"
