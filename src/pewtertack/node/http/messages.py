"""A request to be sent to another machine, and the head of its response."""

from __future__ import annotations

from collections.abc import AsyncIterator

import msgspec

from pewtertack.node.http.framing import FRAMING_NAMES, RawHeaders

EXPECT_CONTINUE = (b"expect", b"100-continue")


class OutgoingRequest(msgspec.Struct, frozen=True):
    """A request to be sent."""

    method: bytes
    target: bytes
    headers: RawHeaders
    """All headers except those that frame the body, which ``head`` adds."""
    body: AsyncIterator[bytes] | None = None
    """Parts of the body; ``None`` for a request without one."""
    length: int | None = None
    """Length in bytes to announce for the body; a body without one is sent in chunks."""
    body_on_demand: bool = False
    """The body is sent only after the peer has responded with 100 (Continue) (RFC 9110, section
    10.1.1)."""
    head_with_body: bool = False
    """The head waits for the first part of the body, so that the peer cannot start on the request
    before there is one."""

    @property
    def chunked(self) -> bool:
        """Whether the body is sent in chunks."""
        return self.body is not None and self.length is None

    def head(self) -> bytes:
        """Return the request line and the headers, with the empty line that ends them."""
        lines = [self.method, b" ", self.target, b" HTTP/1.1\r\n"]
        for name, value in self.headers:
            lines += name, b": ", value, b"\r\n"
        if self.length is not None:
            lines.append(b"content-length: %d\r\n" % self.length)
        elif self.body is not None:
            lines.append(b"transfer-encoding: chunked\r\n")
        if self.body_on_demand:
            lines += b": ".join(EXPECT_CONTINUE), b"\r\n"
        lines.append(b"\r\n")
        return b"".join(lines)


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of a response."""

    status: int
    headers: RawHeaders

    @property
    def framed(self) -> bool:
        """Whether the end of the body is marked by other means than the end of the connection."""
        return any(name.lower() in FRAMING_NAMES for name, _ in self.headers)
