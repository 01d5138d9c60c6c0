"""Ends a listener so that nobody connects to it, and sends a request, who is never accepted.

Whoever connects between the last look at a listener's queue and its end is reset, with the whole
request that was sent meanwhile. So the system is told to leave new connections unanswered first:
those wait, with nothing sent, and are refused once the listener has ended. Handshakes that have
begun are let through and accepted.
"""

from __future__ import annotations

import array
import logging
import socket
import struct

from pewtertack.node.http.cycle import LOGGER

SETTLE_SECONDS = 0.05
"""What a handshake that has begun may take to end: half a round trip between far zones."""
SO_ATTACH_FILTER = 26
"""Of Linux, for all kinds of sockets; the module ``socket`` does not name it."""
INSTRUCTION = struct.Struct("=HBBI")
PROGRAM = struct.Struct("@HP")
FLAGS_AT = 13
SYN_AND_ACK = 0x12
SYN = 0x02
NOTHING = 0
ALL_OF_IT = 0xFFFFFFFF
LOAD_BYTE, AND, JUMP_IF_EQUAL, RETURN = 0x30, 0x54, 0x15, 0x06
NO_NEW_CONNECTIONS = (
    (LOAD_BYTE, 0, 0, FLAGS_AT),
    (AND, 0, 0, SYN_AND_ACK),
    (JUMP_IF_EQUAL, 0, 1, SYN),
    (RETURN, 0, 0, NOTHING),
    (RETURN, 0, 0, ALL_OF_IT),
)
"""A filter of the system (``SO_ATTACH_FILTER``) over TCP headers: it drops what begins one."""

logger = logging.getLogger(LOGGER)


def leave_unanswered(listener: socket.socket) -> None:
    """Have the system answer no new connection; those that have begun go on."""
    instructions = b"".join(INSTRUCTION.pack(*item) for item in NO_NEW_CONNECTIONS)
    kept = array.array("B", instructions)
    address, _ = kept.buffer_info()
    program = PROGRAM.pack(len(NO_NEW_CONNECTIONS), address)
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError as error:
        logger.warning("new connections go on being made until the listener ends: %s", error)
