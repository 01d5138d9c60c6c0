"""Binds all listeners before anything else starts."""

from __future__ import annotations

import errno
import socket
from contextlib import ExitStack

import msgspec

from pewtertack.settings import Address, Settings
from pewtertack.settings.errors import AddressInUseError, AddressUnavailableError

BACKLOG = 2048
"""Backlog of the listening sockets."""
DATAGRAM_BUFFER_BYTES = 1024 * 1024
"""Requested receive buffer, so that a burst of datagrams is queued rather than lost."""
_PEER_BIND_ATTEMPTS = 16
"""With port 0, the port assigned to TCP may be taken for UDP."""


class NodeSockets(msgspec.Struct, frozen=True):
    """Bound, listening, non-blocking sockets of one node."""

    peer_datagrams: socket.socket
    peer_streams: socket.socket
    admin: socket.socket
    proxy: socket.socket | None
    gateway: socket.socket | None = None
    metrics: socket.socket | None = None

    def close(self) -> None:
        """Close all of them."""
        required = (self.peer_datagrams, self.peer_streams, self.admin)
        for sock in (*required, self.proxy, self.gateway, self.metrics):
            if sock is not None:
                sock.close()


def address_of(sock: socket.socket) -> Address:
    """Return the address that ``sock`` listens on."""
    host, port = sock.getsockname()[:2]
    return Address(host, port)


def bind_sockets(settings: Settings, settings_path: str) -> NodeSockets:
    """Bind every address of ``settings``, which came from the file ``settings_path``.

    Raises:
        AddressInUseError, AddressUnavailableError: an address cannot be bound; no socket stays
        open.
    """
    listen = settings.listen
    with ExitStack() as stack:
        datagrams, streams = _bind_peer(listen.peer, settings_path)
        stack.enter_context(datagrams)
        stack.enter_context(streams)
        admin = stack.enter_context(_listen(listen.admin, settings_path, "listen.admin"))
        optional = [
            stack.enter_context(_listen(address, settings_path, f"listen.{key}"))
            if address
            else None
            for key, address in (
                ("proxy", listen.proxy),
                ("gateway", listen.gateway),
                ("metrics", listen.metrics),
            )
        ]
        stack.pop_all()
    return NodeSockets(datagrams, streams, admin, *optional)


def _bind_peer(address: Address, settings_path: str) -> tuple[socket.socket, socket.socket]:
    """Bind UDP and TCP on the same port."""
    attempts = 1 if address.port else _PEER_BIND_ATTEMPTS
    for attempt in range(attempts):
        streams = _listen(address, settings_path, "listen.peer")
        try:
            return _bind_datagrams(address_of(streams), settings_path), streams
        except AddressInUseError:
            streams.close()
            if attempt == attempts - 1:
                raise
        except BaseException:
            streams.close()
            raise
    raise AssertionError("unreachable")


def _listen(address: Address, settings_path: str, key: str) -> socket.socket:
    sock = _new_socket(address, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit this. asyncio sets it only if the socket was created with an
    # explicit protocol; without it a response in two writes waits 40 ms for the delayed
    # acknowledgement of the first.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    _bind(sock, address, settings_path, key)
    return sock


def _bind_datagrams(address: Address, settings_path: str) -> socket.socket:
    sock = _new_socket(address, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, DATAGRAM_BUFFER_BYTES)
    _bind(sock, address, settings_path, "listen.peer")
    return sock


def _new_socket(address: Address, kind: socket.SocketKind) -> socket.socket:
    family = socket.AF_INET6 if address.is_ipv6 else socket.AF_INET
    protocol = socket.IPPROTO_TCP if kind == socket.SOCK_STREAM else socket.IPPROTO_UDP
    # The protocol is explicit because asyncio sets TCP_NODELAY depending on it.
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    return sock


def _bind(sock: socket.socket, address: Address, settings_path: str, key: str) -> None:
    try:
        sock.bind((address.host, address.port))
        if sock.type == socket.SOCK_STREAM:
            sock.listen(BACKLOG)
    except OSError as error:
        sock.close()
        problem = f"{address}: {error.strerror}"
        if error.errno == errno.EADDRINUSE:
            raise AddressInUseError(settings_path, key, problem, "a free address") from error
        accepted = "an IP address of this machine and a port that may be bound"
        raise AddressUnavailableError(settings_path, key, problem, accepted) from error
