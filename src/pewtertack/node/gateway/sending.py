"""Sends the back end's responses to the other node; long ones take turns on the link.

A long response is received from the back end while it waits for its turn on the link, so that
neither the back end nor its slot has to wait for the link.
"""

from __future__ import annotations

import asyncio

from pewtertack.node.http.cycle import WHOLE_BODY, Message
from pewtertack.node.pacing import LinkEndsError, LinkPacer, QueuedBody
from pewtertack.node.proxy.exchange import START_BUFFER_BYTES
from pewtertack.node.proxy.failure_responses import Send
from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.link import LONG_BYTES
from pewtertack.routing.long_body import RECEIVER_STOPPING

RESPONSE_BUFFER_BYTES = 256 * 1024
"""Limit on the buffered bytes of one response; reading more from the back end waits."""
NODE_BUFFER_BYTES = 4 * 1024 * 1024
"""Limit on the buffered bytes of all responses of a node together."""


class BufferedBytes:
    """The number of response bytes that a node has buffered."""

    __slots__ = ("byte_count",)

    def __init__(self) -> None:
        self.byte_count = 0


class ResponseSender:
    """Sends one response (ASGI ``send``); ``finish`` waits until all of it has been sent.

    Args:
        send: ASGI ``send`` of the connection to the other node.
        pacer: paces the machine's link.
        node_buffer: the response bytes that the node has buffered.
        ticket: the request's ticket, with its rank, route, objective and deadline.
        buffers_start: whether the other node buffers the start of a long response.
        no_alternative: whether the other node could not get the response from another gateway.
    """

    __slots__ = (
        "_body_bytes",
        "_buffered_bytes",
        "_buffers_start",
        "_changed",
        "_chunks",
        "_complete",
        "_deadline",
        "_expected_bytes",
        "_handed_back",
        "_no_alternative",
        "_node_buffer",
        "_objective",
        "_pacer",
        "_queued_body",
        "_rank",
        "_reserved_bytes",
        "_send",
        "_sending_task",
        "_sent_bytes",
        "_space_freed",
        "_started_at",
        "_ticket",
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
        self._buffers_start = buffers_start
        self._no_alternative = no_alternative
        self._handed_back = False
        """Whether the rest will not be sent because a node shuts down too early for it."""
        self._queued_body: QueuedBody | None = None
        """The entry in the link queue, while there is one."""
        self._reserved_bytes = 0
        """Link capacity reserved for a response that has not been queued yet."""
        self._started_at = 0.0
        self._body_bytes = 0
        """Body bytes received from the back end."""
        self._expected_bytes = 0
        """Expected length of the body: as announced, else usual for the route; 0 if unknown."""
        self._sent_bytes = 0
        """Body bytes sent. A response that has begun is sent before one that has not: otherwise a
        late one would be cut when its receiver's deadline passes."""
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._complete = False
        """Whether the back end has completed the response."""
        self._changed = asyncio.Event()
        """Set when there is more to send or the response is complete."""
        self._space_freed = asyncio.Event()
        self._sending_task: asyncio.Future[None] | None = None

    def reserve(self) -> None:
        """Reserve link capacity for the response of a request that is about to be admitted."""
        self._reserved_bytes = self._pacer.scheduler.reserve(self._ticket.route, self._rank)

    def _release_reservation(self) -> None:
        self._pacer.scheduler.release(self._rank, self._reserved_bytes)
        self._reserved_bytes = 0

    def finish_by(self, moment: float) -> None:
        """Give the response the highest precedence: its receiver shuts down at ``moment``.

        At its former position it could wait until the receiver's shutdown and be cut then.
        """
        had_reservation = self._reserved_bytes > 0
        self._release_reservation()
        self._rank = RECEIVER_STOPPING
        self._objective = min(self._objective, moment)
        self._deadline = min(self._deadline, moment)
        if had_reservation:
            self.reserve()
        if self._queued_body is not None:
            self._queued_body.expedite(self._rank, self._objective, self._deadline)

    async def __call__(self, message: Message) -> None:
        """Send an ASGI message of the response, or buffer its data until its turn."""
        if message["type"] == "http.response.start":
            self._started_at = self._pacer.now()
            announced = _announced_length(message)
            # The other node does not buffer a response without an announced length.
            self._buffers_start = self._buffers_start and announced > 0
            self._expected_bytes = announced or self._reserved_bytes
            await self._send_head(message)
            return
        await self._send_or_buffer(message)

    async def _send_head(self, head: Message) -> None:
        """Send the head; a complete body in the same message is paced like any other body."""
        body: bytes | None = head.get(WHOLE_BODY)
        if body is None:
            await self._send(head)
        elif len(body) <= LONG_BYTES:
            self._pacer.note_sent(len(body))
            self._pacer.scheduler.note_answer_size(self._ticket.route, len(body))
            await self._send(head)
        else:
            del head[WHOLE_BODY]
            await self._send(head)
            await self._send_or_buffer({"type": "http.response.body", "body": body})

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
        """Record the length for the route, unless the back end was slower than the link."""
        seconds = self._pacer.now() - self._started_at
        if seconds * self._pacer.scheduler.bytes_per_second <= self._body_bytes:
            self._pacer.scheduler.note_answer_size(self._ticket.route, self._body_bytes)

    async def _buffer(self, data: bytes) -> None:
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        self._node_buffer.byte_count += len(data)
        self._changed.set()
        if self._sending_task is None:
            self._sending_task = asyncio.ensure_future(self._send_buffered())
        while self._must_pause and not self._sending_task.done():
            self._space_freed.clear()
            await self._space_freed.wait()
        if self._handed_back:
            await self._sending_task

    @property
    def _must_pause(self) -> bool:
        """Whether reading from the back end must pause.

        A complete response only waits for the node-wide limit.
        """
        if self._buffered_bytes > RESPONSE_BUFFER_BYTES and not self._complete:
            return True
        return self._buffered_bytes > 0 and self._node_buffer.byte_count > NODE_BUFFER_BYTES

    async def _send_buffered(self) -> None:
        """Send the buffered chunks in turns; leave the link queue while the buffer is empty."""
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
            self._space_freed.set()

    async def _send_in_turns(self, data: bytes) -> None:
        self._chunks.clear()
        started = self._sent_bytes > 0
        # Counts the bytes still to be received: without them, more requests would be admitted
        # than the link can serve in time.
        total = self._body_bytes if self._complete else max(self._expected_bytes, self._body_bytes)
        size = total - self._sent_bytes
        uncommitted_bytes = (
            max(0, START_BUFFER_BYTES - self._sent_bytes) if self._buffers_start else 0
        )
        # Part of a longer response is still at the back end when this process ends, so the
        # response would be cut anyway.
        no_alternative = self._no_alternative and total <= RESPONSE_BUFFER_BYTES
        with self._pacer.queue_body(
            self._rank,
            size,
            self._objective,
            started,
            self._deadline,
            uncommitted_bytes,
            no_alternative,
        ) as queued_body:
            # Not earlier: a request that arrived in between would see an idle link.
            self._release_reservation()
            self._queued_body = queued_body
            try:
                async for part in queued_body.parts(data):
                    message = {"type": "http.response.body", "body": part, "more_body": True}
                    await self._send(message)
                    self._sent_bytes += len(part)
                    self._release(len(part))
            finally:
                self._queued_body = None

    def _release(self, size: int) -> None:
        self._buffered_bytes -= size
        self._node_buffer.byte_count -= size
        self._space_freed.set()

    @property
    def is_sending(self) -> bool:
        """Whether the response has been buffered for paced sending."""
        return self._sending_task is not None

    async def finish(self) -> None:
        """Wait until all of the response has been sent."""
        if self._sending_task is not None:
            await self._sending_task

    def close(self) -> None:
        """Stop sending, and release the reservation and the buffered bytes."""
        self._release_reservation()
        if self._sending_task is not None:
            self._sending_task.cancel()
            if self._handed_back:
                self._sending_task.exception()  # mark as retrieved if nobody awaited it
        self._release(self._buffered_bytes)


def _announced_length(head: Message) -> int:
    """Return the body length in bytes that a response head announces, 0 without one."""
    for name, value in head["headers"]:
        if name == b"content-length":
            return int(value)
    return 0
