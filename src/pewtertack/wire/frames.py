"""Authenticated frames, each with one message between two nodes.

A frame is a tag of 16 bytes (keyed BLAKE2b of the body with the fleet key) and a
body, which is a CBOR array: protocol version, sender, the sender's advertised
address, its incarnation, its frame counter, message. The tag is checked before the
body is decoded, so only holders of the key reach the decoder. During a key change a
reader accepts further keys, which are not used for signing.

A frame is not bound to its receiver and has no timestamp: a recorded frame can be
replayed to a node that never received it. Messages are idempotent, so this is harmless.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Any, NoReturn, get_args

import cbor2
import msgspec

from pewtertack.core.configuration.structure import DOCUMENT_BYTES_LIMIT
from pewtertack.wire.errors import (
    MalformedFrameError,
    OversizedFrameError,
    StrangerFrameError,
    TruncatedFrameError,
    UnknownMessageError,
    WrongVersionError,
)
from pewtertack.wire.messages import Message
from pewtertack.wire.replay import ReplayGuard

PROTOCOL_VERSION = 1
TAG_BYTES = 16
KEY_BYTES_MIN = 16
KEY_BYTES_MAX = hashlib.blake2b.MAX_KEY_SIZE
DATAGRAM_BYTES_MAX = 1200
"""Largest frame sent over UDP: fits the MTU of all common paths without fragmentation."""
ENVELOPE_BYTES_MAX = 64 * 1024
"""Allowance for everything in a frame except the document."""
STREAM_BYTES_MAX = DOCUMENT_BYTES_LIMIT + ENVELOPE_BYTES_MAX
"""Largest frame sent over TCP: a snapshot of the largest tree. The estimate that limits
a tree's size is larger than its encoded size."""

_ENVELOPE_ITEMS = 6
_DEPTH_MAX = 64
"""Nesting limit of a body, a few levels above the deepest valid tree."""
_CBOR_TAGS_ALLOWED = frozenset({2, 3})
"""Big integers; all other CBOR tags give values that a JSON tree cannot contain."""
_MESSAGE_TAGS: frozenset[int] = frozenset(kind.__struct_config__.tag for kind in get_args(Message))


class Envelope(msgspec.Struct, frozen=True):
    """A message with its sender. ``address`` is the sender's advertised ``ip:port``."""

    sender: str
    address: str
    incarnation: int
    counter: int
    message: Message


class _EnvelopeBody(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    version: int
    sender: str
    address: str
    incarnation: int
    counter: int
    message: Message


def encode_frame(envelope: Envelope, key: bytes) -> bytes:
    """Return the frame of ``envelope``.

    Raises:
        OversizedFrameError: the frame is too long even for a stream.
    """
    fields = _EnvelopeBody(
        PROTOCOL_VERSION,
        envelope.sender,
        envelope.address,
        envelope.incarnation,
        envelope.counter,
        envelope.message,
    )
    body: bytes = cbor2.dumps(msgspec.to_builtins(fields, builtin_types=(bytes,)))
    if TAG_BYTES + len(body) > STREAM_BYTES_MAX:
        raise OversizedFrameError(f"{len(body)} bytes; the limit is {STREAM_BYTES_MAX}")
    return tag_of(body, key) + body


class FrameReader:
    """Authenticates and decodes frames; refuses repeated ones by their counters.

    Args:
        key: the fleet key, tried first.
        accepted_keys: further keys, tried only on frames that ``key`` did not sign.
        guard: the replay guard; a new one by default.
    """

    def __init__(
        self,
        key: bytes,
        accepted_keys: tuple[bytes, ...] = (),
        guard: ReplayGuard | None = None,
    ) -> None:
        self._key = key
        self._accepted_keys = accepted_keys
        self._guard = guard or ReplayGuard()
        self.frames_by_accepted_keys = 0
        """Number of frames that were signed with an accepted key other than ``key``."""

    def read(self, frame: bytes, size_limit: int = STREAM_BYTES_MAX) -> Envelope:
        """Return the envelope of ``frame``.

        Raises:
            ProtocolError: the frame is refused; one of the types in ``pewtertack.wire.errors``.
        """
        body = self._authenticate(frame, size_limit)
        envelope = _envelope_from(_decode(body))
        self._guard.accept(envelope.sender, envelope.incarnation, envelope.counter)
        return envelope

    def _authenticate(self, frame: bytes, size_limit: int) -> bytes:
        if len(frame) > size_limit:
            raise OversizedFrameError(f"{len(frame)} bytes; the limit is {size_limit}")
        if len(frame) <= TAG_BYTES:
            raise TruncatedFrameError(f"{len(frame)} bytes are too short for a message")
        body = frame[TAG_BYTES:]
        tag = frame[:TAG_BYTES]
        if not hmac.compare_digest(tag, tag_of(body, self._key)):
            self._check_accepted_keys(tag, body)
        return body

    def _check_accepted_keys(self, tag: bytes, body: bytes) -> None:
        for key in self._accepted_keys:
            if hmac.compare_digest(tag, tag_of(body, key)):
                self.frames_by_accepted_keys += 1
                return
        raise StrangerFrameError("the tag does not match the fleet key")


def tag_of(body: bytes, key: bytes) -> bytes:
    """Return the authentication tag of a frame's body."""
    return hashlib.blake2b(body, key=key, digest_size=TAG_BYTES).digest()


def _refuse_cbor_tag(*_: Any) -> NoReturn:
    raise MalformedFrameError("the body contains a CBOR tag that is not allowed")


class _TagDecoders(dict[int, Any]):
    """CBOR tag decoders that refuse all tags except the allowed ones, also the library's own."""

    def __missing__(self, number: int) -> Any:
        if number in _CBOR_TAGS_ALLOWED:
            raise KeyError(number)
        return _refuse_cbor_tag


_SEMANTIC_DECODERS = _TagDecoders()


def _decode(body: bytes) -> Any:
    try:
        return cbor2.loads(
            body,
            max_depth=_DEPTH_MAX,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
            tag_hook=_refuse_cbor_tag,
            semantic_decoders=_SEMANTIC_DECODERS,
        )
    except (cbor2.CBORError, ValueError, OverflowError) as error:
        raise MalformedFrameError(str(error)) from error


def _envelope_from(items: Any) -> Envelope:
    if not isinstance(items, list) or not items:
        raise MalformedFrameError("the body is not a non-empty array")
    if items[0] != PROTOCOL_VERSION:
        raise WrongVersionError(f"protocol version {items[0]!r}; this node uses {PROTOCOL_VERSION}")
    _check_message_tag(items)
    try:
        body = msgspec.convert(items, _EnvelopeBody)
    except (msgspec.ValidationError, OverflowError) as error:
        raise MalformedFrameError(str(error)) from error
    return Envelope(body.sender, body.address, body.incarnation, body.counter, body.message)


def _check_message_tag(items: list[Any]) -> None:
    if len(items) != _ENVELOPE_ITEMS or not isinstance(items[-1], list) or not items[-1]:
        raise MalformedFrameError("the envelope contains no message")
    tag = items[-1][0]
    if not isinstance(tag, int) or tag not in _MESSAGE_TAGS:
        raise UnknownMessageError(f"unknown message tag {tag!r}")
