"""Answers of a back end on their way to the other node, the long ones in turns.

A long answer is received while it waits for its turn on the link, so that neither the back end
nor its slot waits for the link.
"""

from __future__ import annotations

import asyncio

from pewtertack.node.http.cycle import WHOLE_BODY, Message
from pewtertack.node.pacing import LinkEndsError, LinkPacer, QueuedBody
from pewtertack.node.proxy.answers import Send
from pewtertack.node.proxy.exchange import WHOLE_BODY_BYTES
from pewtertack.routing.link import LONG_BYTES
from pewtertack.routing.long_body import RECEIVER_STOPS
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
    """Sends one answer (ASGI ``send``); ``finish`` waits until all of it has left.

    Args:
        send: of the connection to the other node.
        pacer: the link's.
        held: what the node holds.
        ticket: the request's place, which tells its rank, its route and its objective.
        holds_back: the other node passes nothing on should the answer break off early.
        only_here: it would not have the answer from another gateway.
    """

    __slots__ = (
        "_began",
        "_body_bytes",
        "_changed",
        "_ended",
        "_given_back",
        "_held",
        "_holds_back",
        "_latest",
        "_left",
        "_length",
        "_only_here",
        "_pacer",
        "_parts",
        "_promised",
        "_rank",
        "_send",
        "_sending",
        "_size",
        "_space",
        "_ticket",
        "_turns",
        "_wanted",
    )

    def __init__(
        self,
        send: Send,
        pacer: LinkPacer,
        held: HeldBytes,
        ticket: AdmissionTicket,
        holds_back: bool = False,
        only_here: bool = False,
    ) -> None:
        self._send = send
        self._pacer = pacer
        self._held = held
        self._ticket = ticket
        self._rank = ticket.rank
        self._wanted = ticket.objective
        self._latest = ticket.deadline
        self._holds_back = holds_back
        self._only_here = only_here
        self._given_back = False
        """Whether the rest is not sent, since this node stops too early for it."""
        self._turns: QueuedBody | None = None
        """Its place in the line, while it has one."""
        self._promised = 0
        self._began = 0.0
        self._body_bytes = 0
        """Bytes of the body that came."""
        self._length = 0
        """Bytes of it to reckon with: as announced, else as usual for the route; 0 if unknown."""
        self._left = 0
        """Bytes of it that have left: what has begun goes on before what has not, or a late
        answer would be broken off where the other end's time is over."""
        self._parts: list[bytes] = []
        self._size = 0
        """Bytes held."""
        self._ended = False
        self._changed = asyncio.Event()
        """There is more to send, or the answer has ended."""
        self._space = asyncio.Event()
        self._sending: asyncio.Future[None] | None = None

    def promise(self) -> None:
        """The request has its place: reckon with its answer."""
        self._promised = self._pacer.share.promise(self._ticket.route, self._rank)

    def _keep_promise(self) -> None:
        self._pacer.share.keep(self._rank, self._promised)
        self._promised = 0

    def leave_by(self, moment: float) -> None:
        """Send the answer before all others: its receiver's node stops at that moment.

        Left in its place it would go on waiting until the end of that node, and be cut.
        """
        promised = self._promised > 0
        self._keep_promise()
        self._rank = RECEIVER_STOPS
        self._wanted = min(self._wanted, moment)
        self._latest = min(self._latest, moment)
        if promised:
            self.promise()
        if self._turns is not None:
            self._turns.hasten(self._rank, self._wanted, self._latest)

    async def __call__(self, message: Message) -> None:
        """Send a part of the answer, or take it to be sent in its turn."""
        if message["type"] == "http.response.start":
            self._began = self._pacer.now()
            announced = _announced_length(message)
            # One whose head tells no length is passed on by the other node as it comes.
            self._holds_back = self._holds_back and announced > 0
            self._length = announced or self._promised
            await self._send_head(message)
            return
        await self._send_or_take(message)

    async def _send_head(self, head: Message) -> None:
        """Send the head; a whole body that comes with it counts, and waits, as any other."""
        whole: bytes | None = head.get(WHOLE_BODY)
        if whole is None:
            await self._send(head)
        elif len(whole) <= LONG_BYTES:
            self._pacer.note_sent(len(whole))
            self._pacer.share.note_answer(self._ticket.route, len(whole))
            await self._send(head)
        else:
            del head[WHOLE_BODY]
            await self._send(head)
            await self._send_or_take({"type": "http.response.body", "body": whole})

    async def _send_or_take(self, message: Message) -> None:
        data: bytes = message.get("body", b"")
        self._body_bytes += len(data)
        self._ended = not message.get("more_body", False)
        if self._ended:
            self._learn()
        if self._body_bytes <= LONG_BYTES:
            self._pacer.note_sent(len(data))
            await self._send(message)
            self._left += len(data)
            return
        await self._take(data)

    def _learn(self) -> None:
        """Learn the length, unless the back end itself was slower than the link."""
        seconds = self._pacer.now() - self._began
        if seconds * self._pacer.share.bytes_per_second <= self._body_bytes:
            self._pacer.share.note_answer(self._ticket.route, self._body_bytes)

    async def _take(self, data: bytes) -> None:
        self._parts.append(data)
        self._size += len(data)
        self._held.count += len(data)
        self._changed.set()
        if self._sending is None:
            self._sending = asyncio.ensure_future(self._send_buffered())
        while self._must_wait and not self._sending.done():
            self._space.clear()
            await self._space.wait()
        if self._given_back:
            await self._sending

    @property
    def _must_wait(self) -> bool:
        """Whether the back end has to wait; one that has ended, only for the sum of all."""
        if self._size > HELD_BYTES and not self._ended:
            return True
        return self._size > 0 and self._held.count > ALL_HELD_BYTES

    async def _send_buffered(self) -> None:
        """Send what is there, in turns; no place is held in the line for what is to come."""
        try:
            while self._parts or not self._ended:
                self._changed.clear()
                await self._send_parts(b"".join(self._parts))
                if not self._parts and not self._ended:
                    await self._changed.wait()
            await self._send({"type": "http.response.body", "body": b""})
        except LinkEndsError:
            self._given_back = True
            raise
        finally:
            self._space.set()

    async def _send_parts(self, data: bytes) -> None:
        self._parts.clear()
        begun = self._left > 0
        # With what has not come yet, or more would be taken than the link carries in time.
        whole = self._body_bytes if self._ended else max(self._length, self._body_bytes)
        size = whole - self._left
        returnable = max(0, WHOLE_BODY_BYTES - self._left) if self._holds_back else 0
        # The back end has a longer one in part when the process ends: it would be cut after all.
        only_here = self._only_here and whole <= HELD_BYTES
        with self._pacer.queue_body(
            self._rank, size, self._wanted, begun, self._latest, returnable, only_here
        ) as turns:
            # Not sooner: a request that came meanwhile would be taken as if the link were free.
            self._keep_promise()
            self._turns = turns
            try:
                async for part in turns.parts(data):
                    message = {"type": "http.response.body", "body": part, "more_body": True}
                    await self._send(message)
                    self._left += len(part)
                    self._release(len(part))
            finally:
                self._turns = None

    def _release(self, size: int) -> None:
        self._size -= size
        self._held.count -= size
        self._space.set()

    @property
    def sends(self) -> bool:
        """Whether some of the answer has not left."""
        return self._sending is not None

    async def finish(self) -> None:
        """Wait until all of the answer has left."""
        if self._sending is not None:
            await self._sending

    def forget(self) -> None:
        """Send nothing, and reckon with nothing, any longer."""
        self._keep_promise()
        if self._sending is not None:
            self._sending.cancel()
            if self._given_back:
                self._sending.exception()  # seen, also where the request has ended otherwise
        self._release(self._size)


def _announced_length(head: Message) -> int:
    """Return the length in bytes that a head announces for its body, 0 if it does not."""
    for name, value in head["headers"]:
        if name == b"content-length":
            return int(value)
    return 0
