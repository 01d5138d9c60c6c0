"""Notices that the back end beside this node has ended while it ran requests.

A broken connection alone does not say so: back ends reset connections when they are full, and
lose answers. One that has ended has nobody who listens.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import anyio
import msgspec

from pewtertack.node.http import connection as connections

GATHER_SECONDS = 0.02
"""For so long after the first broken exchange others count as broken by the same end: the
resets of one end come in one turn of the loop or two."""
CONNECT_SECONDS = 0.25
"""For the question whether anybody listens, on the same machine."""


class BrokenExchange(msgspec.Struct, frozen=True):
    """A request whose back end said nothing more after it was sent."""

    request_id: str
    fingerprint: bytes | None
    """``None`` where its body had not come as far as that counts."""


CrashObserver = Callable[[str, tuple[BrokenExchange, ...]], None]
"""Told the name of a back end that has ended, and what it ran."""


class CrashWatch:
    """Gathers broken exchanges and asks whether their back end still listens.

    Args:
        tell: told of each end.
    """

    def __init__(self, tell: CrashObserver) -> None:
        self._tell = tell
        self._broken: dict[tuple[str, str], list[BrokenExchange]] = {}
        """Not judged yet, by the back end's name and address."""
        self._judging: set[asyncio.Task[None]] = set()

    def note_broken(self, backend: str, address: str, broken: BrokenExchange) -> None:
        """An exchange with the back end has ended without a whole answer."""
        gathered = self._broken.get((backend, address))
        if gathered is not None:
            gathered.append(broken)
            return
        self._broken[backend, address] = [broken]
        judging = asyncio.ensure_future(self._judge(backend, address))
        self._judging.add(judging)
        judging.add_done_callback(self._judging.discard)

    async def _judge(self, backend: str, address: str) -> None:
        try:
            ended = await _nobody_listens(address)
            await anyio.sleep(GATHER_SECONDS)
            ended = ended or await _nobody_listens(address)
        finally:
            broken = self._broken.pop((backend, address))
        if ended:
            self._tell(backend, tuple(broken))


async def _nobody_listens(address: str) -> bool:
    """Tell whether a connection is refused; one that is merely not made in time tells nothing."""
    try:
        connection = await connections.connect(address, CONNECT_SECONDS)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    connection.abort()
    return False
