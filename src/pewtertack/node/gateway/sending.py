"""Answers of a back end on their way to the other node, the long ones in turns.

A long answer is received while it waits for its turn on the link, so that neither the back end
nor its slot waits for the link.
"""

from __future__ import annotations

import asyncio

from pewtertack.node.http.cycle import WHOLE_BODY, Message
from pewtertack.node.pacing import LinkEndsError, LinkPacer, QueuedBody
from pewtertack.node.proxy.exchange import START_BUFFER_BYTES
from pewtertack.node.proxy.failure_responses import Send
from pewtertack.routing.link import LONG_BYTES
from pewtertack.routing.long_body import RECEIVER_STOPS
from pewtertack.routing.places import AdmissionTicket

RESPONSE_BUFFER_BYTES = 256 * 1024
"""So much of one answer is held; the back end waits with the rest of a longer one."""
NODE_BUFFER_BYTES = 4 * 1024 * 1024
"""The same for all answers of a node together."""


class BufferedBytes:
    """How much of all answers a node holds."""

    __slots__ = ("byte_count",)

    def __init__(self) -> None:
        self.byte_count = 0


class ResponseSender:
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
        "_started_at",
        "_body_bytes",
        "_changed",
        "_complete",
        "_handed_back",
        "_node_buffer",
        "_holds_back",
        "_deadline",
        "_sent_bytes",
        "_expected_bytes",
        "_only_here",
        "_pacer",
        "_chunks",
        "_reserved_bytes",
        "_rank",
        "_send",
        "_sending_task",
        "_buffered_bytes",
        "_drained",
        "_ticket",
        "_turns",
        "_objective",
    )

    def __init__(
        self,
        send: Send,
        pacer: LinkPacer,
        node_buffer: BufferedBytes,
        ticket: AdmissionTicket,
        buffers_start: bool = False,
        no_alternative: bool = False,
    ) -> None:
        self._send = send
        self._pacer = pacer
        self._node_buffer = node_buffer
        self._ticket = ticket
        self._rank = ticket.rank
        self._objective = ticket.objective
        self._deadline = ticket.deadline
        self._holds_back = buffers_start
        self._only_here = no_alternative
        self._handed_back = False
        """Whether the rest is not sent, since this node stops too early for it."""
        self._turns: QueuedBody | None = None
        """Its place in the line, while it has one."""
        self._reserved_bytes = 0
        self._started_at = 0.0
        self._body_bytes = 0
        """Bytes of the body that came."""
        self._expected_bytes = 0
        """Bytes of it to reckon with: as announced, else as usual for the route; 0 if unknown."""
        self._sent_bytes = 0
        """Bytes of it that have left: what has begun goes on before what has not, or a late
        answer would be broken off where the other end's time is over."""
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        """Bytes held."""
        self._complete = False
        self._changed = asyncio.Event()
        """There is more to send, or the answer has ended."""
        self._drained = asyncio.Event()
        self._sending_task: asyncio.Future[None] | None = None

    def reserve(self) -> None:
        """The request has its place: reckon with its answer."""
        self._reserved_bytes = self._pacer.share.promise(self._ticket.route, self._rank)

    def _release_reservation(self) -> None:
        self._pacer.share.keep(self._rank, self._reserved_bytes)
        self._reserved_bytes = 0

    def finish_by(self, moment: float) -> None:
        """Send the answer before all others: its receiver's node stops at that moment.

        Left in its place it would go on waiting until the end of that node, and be cut.
        """
        had_reservation = self._reserved_bytes > 0
        self._release_reservation()
        self._rank = RECEIVER_STOPS
        self._objective = min(self._objective, moment)
        self._deadline = min(self._deadline, moment)
        if had_reservation:
            self.reserve()
        if self._turns is not None:
            self._turns.hasten(self._rank, self._objective, self._deadline)

    async def __call__(self, message: Message) -> None:
        """Send a part of the answer, or take it to be sent in its turn."""
        if message["type"] == "http.response.start":
            self._started_at = self._pacer.now()
            announced = _announced_length(message)
            # One whose head tells no length is passed on by the other node as it comes.
            self._holds_back = self._holds_back and announced > 0
            self._expected_bytes = announced or self._reserved_bytes
            await self._send_head(message)
            return
        await self._send_or_buffer(message)

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
            await self._send_or_buffer({"type": "http.response.body", "body": whole})

    async def _send_or_buffer(self, message: Message) -> None:
        data: bytes = message.get("body", b"")
        self._body_bytes += len(data)
        self._complete = not message.get("more_body", False)
        if self._complete:
            self._record_length()
        if self._body_bytes <= LONG_BYTES:
            self._pacer.note_sent(len(data))
            await self._send(message)
            self._sent_bytes += len(data)
            return
        await self._buffer(data)

    def _record_length(self) -> None:
        """Learn the length, unless the back end itself was slower than the link."""
        seconds = self._pacer.now() - self._started_at
        if seconds * self._pacer.share.bytes_per_second <= self._body_bytes:
            self._pacer.share.note_answer(self._ticket.route, self._body_bytes)

    async def _buffer(self, data: bytes) -> None:
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        self._node_buffer.byte_count += len(data)
        self._changed.set()
        if self._sending_task is None:
            self._sending_task = asyncio.ensure_future(self._send_buffered())
        while self._must_pause and not self._sending_task.done():
            self._drained.clear()
            await self._drained.wait()
        if self._handed_back:
            await self._sending_task

    @property
    def _must_pause(self) -> bool:
        """Whether the back end has to wait; one that has ended, only for the sum of all."""
        if self._buffered_bytes > RESPONSE_BUFFER_BYTES and not self._complete:
            return True
        return self._buffered_bytes > 0 and self._node_buffer.byte_count > NODE_BUFFER_BYTES

    async def _send_buffered(self) -> None:
        """Send what is there, in turns; no place is held in the line for what is to come."""
        try:
            while self._chunks or not self._complete:
                self._changed.clear()
                await self._send_in_turns(b"".join(self._chunks))
                if not self._chunks and not self._complete:
                    await self._changed.wait()
            await self._send({"type": "http.response.body", "body": b""})
        except LinkEndsError:
            self._handed_back = True
            raise
        finally:
            self._drained.set()

    async def _send_in_turns(self, data: bytes) -> None:
        self._chunks.clear()
        begun = self._sent_bytes > 0
        # With what has not come yet, or more would be taken than the link carries in time.
        whole = self._body_bytes if self._complete else max(self._expected_bytes, self._body_bytes)
        size = whole - self._sent_bytes
        retryable_bytes = max(0, START_BUFFER_BYTES - self._sent_bytes) if self._holds_back else 0
        # The back end has a longer one in part when the process ends: it would be cut after all.
        no_alternative = self._only_here and whole <= RESPONSE_BUFFER_BYTES
        with self._pacer.queue_body(
            self._rank,
            size,
            self._objective,
            begun,
            self._deadline,
            retryable_bytes,
            no_alternative,
        ) as turns:
            # Not sooner: a request that came meanwhile would be taken as if the link were free.
            self._release_reservation()
            self._turns = turns
            try:
                async for part in turns.parts(data):
                    message = {"type": "http.response.body", "body": part, "more_body": True}
                    await self._send(message)
                    self._sent_bytes += len(part)
                    self._release(len(part))
            finally:
                self._turns = None

    def _release(self, size: int) -> None:
        self._buffered_bytes -= size
        self._node_buffer.byte_count -= size
        self._drained.set()

    @property
    def is_sending(self) -> bool:
        """Whether some of the answer has not left."""
        return self._sending_task is not None

    async def finish(self) -> None:
        """Wait until all of the answer has left."""
        if self._sending_task is not None:
            await self._sending_task

    def close(self) -> None:
        """Send nothing, and reckon with nothing, any longer."""
        self._release_reservation()
        if self._sending_task is not None:
            self._sending_task.cancel()
            if self._handed_back:
                self._sending_task.exception()  # seen, also where the request has ended otherwise
        self._release(self._buffered_bytes)


def _announced_length(head: Message) -> int:
    """Return the length in bytes that a head announces for its body, 0 if it does not."""
    for name, value in head["headers"]:
        if name == b"content-length":
            return int(value)
    return 0
