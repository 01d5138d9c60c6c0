"""Answers of a back end on their way to the other node, the long ones in turns.

A long answer is received whole before its turn on the link, so that neither the back end nor
its slot waits for the link.
"""

from __future__ import annotations

from pewtertack.node.http.cycle import Message
from pewtertack.node.pacing import LinkPacer
from pewtertack.node.proxy.answers import Send
from pewtertack.routing.link import LONG_BYTES
from pewtertack.routing.places import AdmissionTicket

HELD_BYTES = 256 * 1024
"""So much of one answer is held; the back end waits with the rest of a longer one."""
ALL_HELD_BYTES = 4 * 1024 * 1024
"""The same for all answers of a node together."""


class HeldBytes:
    """How much of all answers a node holds."""

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0


class AnswerSender:
    """Sends one answer (ASGI ``send``); ``finish`` sends what is still held.

    Args:
        send: of the connection to the other node.
        pacer: the link's.
        held: what the node holds.
        ticket: the request's place, which tells its rank, its route and its objective.
    """

    __slots__ = (
        "_body_bytes",
        "_head",
        "_held",
        "_long",
        "_pacer",
        "_parts",
        "_promised",
        "_send",
        "_size",
        "_ticket",
    )

    def __init__(
        self, send: Send, pacer: LinkPacer, held: HeldBytes, ticket: AdmissionTicket
    ) -> None:
        self._send = send
        self._pacer = pacer
        self._held = held
        self._ticket = ticket
        self._head: Message | None = None
        self._parts: list[bytes] = []
        self._size = 0
        """Bytes held."""
        self._body_bytes = 0
        """Bytes of the body that came."""
        self._long = False
        self._promised = 0.0

    def promise(self) -> None:
        """The request has its place: reckon with its answer."""
        self._promised = self._pacer.share.promise(self._ticket.route, self._ticket.rank)

    def _keep_promise(self) -> None:
        self._pacer.share.keep(self._ticket.rank, self._promised)
        self._promised = 0.0

    async def __call__(self, message: Message) -> None:
        """Send a part of the answer, or hold it until its turn."""
        if message["type"] == "http.response.start":
            self._head = message
            return
        data: bytes = message.get("body", b"")
        more: bool = message.get("more_body", False)
        self._body_bytes += len(data)
        if not more:
            self._pacer.share.note_answer(self._ticket.route, self._body_bytes)
        if not (self._long or more or self._body_bytes > LONG_BYTES):
            await self._send_short(message)
            return
        self._long = True
        self._hold(data)
        if more and (self._size >= HELD_BYTES or self._held.count >= ALL_HELD_BYTES):
            await self._send_held(more=True)

    async def _send_short(self, message: Message) -> None:
        self._pacer.note_sent(self._body_bytes)
        await self._send_head()
        await self._send(message)

    async def _send_head(self) -> None:
        head, self._head = self._head, None
        if head is not None:
            await self._send(head)

    def _hold(self, data: bytes) -> None:
        self._parts.append(data)
        self._size += len(data)
        self._held.count += len(data)

    async def _send_held(self, more: bool) -> None:
        data = b"".join(self._parts)
        self._keep_promise()
        ticket = self._ticket
        with self._pacer.turns(ticket.rank, len(data), ticket.objective) as turns:
            async for part in turns.parts(data):
                await self._send_head()
                await self._send({"type": "http.response.body", "body": part, "more_body": True})
        self._release()
        if not more:
            await self._send_head()
            await self._send({"type": "http.response.body", "body": b""})

    async def finish(self) -> None:
        """Send the rest of a whole answer."""
        if self._long:
            await self._send_held(more=False)

    def forget(self) -> None:
        """Hold nothing, and reckon with nothing, any longer."""
        self._keep_promise()
        self._release()

    def _release(self) -> None:
        self._held.count -= self._size
        self._parts.clear()
        self._size = 0
