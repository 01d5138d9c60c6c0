"""Detects that a back end crashed while it ran requests.

A broken connection alone does not prove it: back ends reset connections when they are full, and
lose responses. A back end that has crashed no longer listens.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import anyio
import msgspec

from pewtertack.node.http import connection as connections

GROUPING_SECONDS = 0.01
"""Broken exchanges within this time after the first one are attributed to the same crash: the
resets of a crash arrive in one or two iterations of the event loop. Then the back end is tried once
more: one that refused a single connection for lack of resources has not crashed, and the resets of
one that has may arrive before its listener is closed."""
CONNECT_TIMEOUT_SECONDS = 0.25
"""Timeout of the connection that tests whether a back end on the same machine listens."""


class BrokenExchange(msgspec.Struct, frozen=True):
    """A request whose back end sent nothing more after receiving it."""

    request_id: str
    fingerprint: bytes | None
    """``None`` if too little of its body had arrived to compute it."""


def fingerprints_of(broken: tuple[BrokenExchange, ...]) -> tuple[bytes, ...]:
    """Return the known fingerprints without duplicates."""
    known = (item.fingerprint for item in broken if item.fingerprint is not None)
    return tuple(dict.fromkeys(known))


CrashObserver = Callable[[str, tuple[BrokenExchange, ...]], None]
"""Called with the name of a back end that crashed and the requests it ran."""


def _ignore_crash(backend: str, broken: tuple[BrokenExchange, ...]) -> None:
    """Ignore the crash."""


class _BreakGroup:
    """Exchanges with one back end that broke together."""

    __slots__ = ("broken", "crashed", "task")

    def __init__(self) -> None:
        self.broken: list[BrokenExchange] = []
        self.crashed: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.task: asyncio.Task[None]


class CrashDetector:
    """Collects broken exchanges and tests whether their back end still listens.

    Args:
        on_crash: called for each crash.
    """

    def __init__(self, on_crash: CrashObserver = _ignore_crash) -> None:
        self._on_crash = on_crash
        self._groups: dict[tuple[str, str], _BreakGroup] = {}
        """Breaks that are still being examined, by the back end's name and address."""

    async def has_crashed(self, backend: str, address: str, broken: BrokenExchange) -> bool:
        """Return whether the exchange broke because the back end crashed."""
        key = backend, address
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _BreakGroup()
            group.task = asyncio.ensure_future(self._settle(key, group))
        group.broken.append(broken)
        return await asyncio.shield(group.crashed)

    async def _settle(self, key: tuple[str, str], group: _BreakGroup) -> None:
        backend, address = key
        crashed = False
        try:
            group.crashed.set_result(await refuses_connections(address))
            await anyio.sleep(GROUPING_SECONDS)
            crashed = await refuses_connections(address)
        finally:
            if not group.crashed.done():
                group.crashed.set_result(False)
            del self._groups[key]
        if crashed:
            self._on_crash(backend, tuple(group.broken))


async def refuses_connections(address: str) -> bool:
    """Return whether a connection is refused; a timeout is not evidence of a crash."""
    try:
        connection = await connections.connect(address, CONNECT_TIMEOUT_SECONDS)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    connection.abort()
    return False
