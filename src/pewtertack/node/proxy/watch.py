"""Notices that a caller has gone while its request is waiting or being answered."""

from __future__ import annotations

import asyncio

import anyio

from pewtertack.node.proxy.body import RequestBody

WATCH_DELAY = 0.005
"""Most requests end sooner and are spared the cost of a task."""


class DisconnectWatch:
    """Cancels ``scope`` when the caller goes, once the body has been read or given up."""

    def __init__(self, body: RequestBody, scope: anyio.CancelScope) -> None:
        self.caller_gone = False
        self._body = body
        self._scope = scope
        self._body_abandoned = False
        self._task: asyncio.Task[None] | None = None
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(WATCH_DELAY, self._begin)

    def abandon_body(self) -> None:
        """The rest of the body will not be read for the back end."""
        self._body_abandoned = True

    def _begin(self) -> None:
        if self._body.complete or self._body_abandoned:
            self._task = self._loop.create_task(self._watch())
        else:
            self._timer = self._loop.call_later(WATCH_DELAY, self._begin)

    async def _watch(self) -> None:
        await self._body.wait_disconnect()
        self.caller_gone = True
        self._scope.cancel()

    def stop(self) -> None:
        """End the watch with its request."""
        self._timer.cancel()
        if self._task is not None:
            self._task.cancel()
