"""Encodes and decodes messages of the simulated network as the frames that the daemon sends."""

from __future__ import annotations

from pewtertack.core.identity import NodeIdentity
from pewtertack.core.inputs import MessageReceived
from pewtertack.wire.errors import ReplayedFrameError
from pewtertack.wire.frames import DATAGRAM_BYTES_MAX, Envelope, FrameReader, encode_frame
from pewtertack.wire.messages import Message

FLEET_KEY = bytes(range(32))

DATAGRAM_HEADER_BYTES = 28
"""Size of the IPv4 and UDP headers."""

STREAM_OVERHEAD_BYTES = 400
"""Size of the headers of a TCP exchange: about ten segments for handshake, ACKs and close."""


class ProcessCodec:
    """Encodes and decodes the frames of one process."""

    def __init__(self, identity: NodeIdentity) -> None:
        self._identity = identity
        self._counter = 0
        self._reader = FrameReader(FLEET_KEY)

    def encode(self, message: Message) -> bytes:
        """Encode ``message`` as a frame with the next counter of this process."""
        self._counter += 1
        identity = self._identity
        envelope = Envelope(
            identity.name, identity.address, identity.incarnation, self._counter, message
        )
        return encode_frame(envelope, FLEET_KEY)

    def decode(self, frame: bytes) -> MessageReceived | None:
        """Decode ``frame`` to an input of the core; return ``None`` for a replayed frame."""
        try:
            envelope = self._reader.read(frame)
        except ReplayedFrameError:
            return None
        return MessageReceived(
            envelope.sender, envelope.address, envelope.incarnation, envelope.message
        )


def bytes_on_link(frame: bytes) -> int:
    """Return the size of a frame on a link, including the headers of the transport."""
    if len(frame) <= DATAGRAM_BYTES_MAX:
        return len(frame) + DATAGRAM_HEADER_BYTES
    return len(frame) + STREAM_OVERHEAD_BYTES
