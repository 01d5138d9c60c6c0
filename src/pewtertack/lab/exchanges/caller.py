"""A caller that pipelines the requests of a conversation and records their answers."""

from __future__ import annotations

import anyio
import msgspec
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from pewtertack.lab.exchanges.plan import Conversation, Exchange
from pewtertack.lab.exchanges.wire import (
    NO_BODY_STATUSES,
    MalformedMessageError,
    WireMessage,
    encode_message,
    read_body,
    read_head,
)
from pewtertack.settings import Address

HOST = "a.example"
DEADLINE_MS = 4000
TIMEOUT_SECONDS = 10.0
FIRST_FINAL_STATUS = 200


class Received(msgspec.Struct, frozen=True):
    """What a caller got for one exchange; no answer if its connection ended before."""

    exchange: Exchange
    service: str
    """The service of the caller's node."""
    answer: WireMessage | None = None
    fault: str = ""
    """Why the answer could not be read, "" if it could."""


async def hold_conversation(
    conversation: Conversation, node: Address, service: str
) -> list[Received]:
    """Send the requests of a conversation to a node and return what came back for each."""
    received: list[Received] = []
    connection = await anyio.connect_tcp(node.host, node.port)
    async with connection:
        with anyio.move_on_after(TIMEOUT_SECONDS):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_send_requests, connection, conversation)
                await _read_answers(connection, conversation, service, received)
                tasks.cancel_scope.cancel()
    unanswered = conversation.exchanges[len(received) :]
    return received + [Received(exchange, service) for exchange in unanswered]


async def _send_requests(connection: SocketStream, conversation: Conversation) -> None:
    data = b"".join(_encode_request(exchange) for exchange in conversation.exchanges)
    size = max(conversation.piece_bytes, len(data) // 300)
    try:
        for start in range(0, len(data), size):
            await connection.send(data[start : start + size])
            await anyio.sleep(0)
    except anyio.BrokenResourceError:
        pass  # the node has closed the connection; the answers tell why


def _encode_request(exchange: Exchange) -> bytes:
    headers = (
        ("Host", HOST),
        ("x-request-id", exchange.id),
        ("x-deadline-ms", str(DEADLINE_MS)),
        *exchange.fields,
    )
    start_line = f"{exchange.method} {exchange.target} HTTP/1.1"
    return encode_message(start_line, headers, exchange.body, exchange.framing, exchange.trailers)


async def _read_answers(
    connection: SocketStream, conversation: Conversation, service: str, received: list[Received]
) -> None:
    stream = BufferedByteReceiveStream(connection)
    try:
        for exchange in conversation.exchanges:
            answer = await _read_answer(stream, exchange)
            received.append(Received(exchange, service, answer))
            if not answer.complete:
                return
    except MalformedMessageError as error:
        received.append(Received(exchange, service, None, str(error)))
    except (anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError):
        pass  # the rest has no answer


async def _read_answer(stream: BufferedByteReceiveStream, exchange: Exchange) -> WireMessage:
    head = await read_head(stream)
    while head.status < FIRST_FINAL_STATUS:
        head = await read_head(stream)
    has_body = exchange.method != "HEAD" and head.status not in NO_BODY_STATUSES
    return await read_body(stream, head, has_body)
