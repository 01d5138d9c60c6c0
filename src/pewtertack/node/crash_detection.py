"""Notices that a back end has ended while it ran requests.

A broken connection alone does not say so: back ends reset connections when they are full, and
lose answers. One that has ended has nobody who listens.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import anyio
import msgspec

from pewtertack.node.http import connection as connections

GATHER_SECONDS = 0.01
"""For so long after the first broken exchange others count as broken by the same end: the
resets of one end come in one turn of the loop or two. Then it is asked once more whether anybody
listens: one that refused a single connection for want of room has not ended, and the resets of
one that has may come ahead of its listener's end."""
CONNECT_SECONDS = 0.25
"""For the question whether anybody listens, on the same machine."""


class BrokenExchange(msgspec.Struct, frozen=True):
    """A request whose back end said nothing more after it was sent."""

    request_id: str
    fingerprint: bytes | None
    """``None`` where its body had not come as far as that counts."""


def fingerprints_of(broken: tuple[BrokenExchange, ...]) -> tuple[bytes, ...]:
    """Return the fingerprints that are known, each once."""
    known = (item.fingerprint for item in broken if item.fingerprint is not None)
    return tuple(dict.fromkeys(known))


CrashObserver = Callable[[str, tuple[BrokenExchange, ...]], None]
"""Told the name of a back end that has ended, and what it ran."""


def _tell_nobody(backend: str, broken: tuple[BrokenExchange, ...]) -> None:
    """Tell nobody."""


class _Break:
    """Exchanges with one back end that broke together."""

    __slots__ = ("broken", "ended", "task")

    def __init__(self) -> None:
        self.broken: list[BrokenExchange] = []
        self.ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.task: asyncio.Task[None]


class CrashDetector:
    """Gathers broken exchanges and asks whether their back end still listens.

    Args:
        tell: told of each end.
    """

    def __init__(self, tell: CrashObserver = _tell_nobody) -> None:
        self._tell = tell
        self._breaks: dict[tuple[str, str], _Break] = {}
        """Not told yet, by the back end's name and address."""

    async def has_crashed(self, backend: str, address: str, broken: BrokenExchange) -> bool:
        """Tell whether the exchange broke since the back end has ended."""
        key = backend, address
        found = self._breaks.get(key)
        if found is None:
            found = self._breaks[key] = _Break()
            found.task = asyncio.ensure_future(self._settle(key, found))
        found.broken.append(broken)
        return await asyncio.shield(found.ended)

    async def _settle(self, key: tuple[str, str], found: _Break) -> None:
        backend, address = key
        ended = False
        try:
            found.ended.set_result(await refuses_connections(address))
            await anyio.sleep(GATHER_SECONDS)
            ended = await refuses_connections(address)
        finally:
            if not found.ended.done():
                found.ended.set_result(False)
            del self._breaks[key]
        if ended:
            self._tell(backend, tuple(found.broken))


async def refuses_connections(address: str) -> bool:
    """Tell whether a connection is refused; one that is merely not made in time tells nothing."""
    try:
        connection = await connections.connect(address, CONNECT_SECONDS)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    connection.abort()
    return False
