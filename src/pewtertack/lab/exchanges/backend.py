"""A back end that answers each exchange as planned and records what it has received."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import anyio
import msgspec
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from pewtertack.lab.exchanges.plan import Answer, AnswerFault, Exchange, Fields, Framing
from pewtertack.lab.exchanges.wire import (
    MalformedMessageError,
    WireMessage,
    encode_message,
    read_body,
    read_head,
)

REQUEST_ID = "x-request-id"
NOT_EXECUTED = "x-not-executed"
MADE_FOR = "x-made-for"
"""Header of a back end's own answer: the id of the exchange that it was made for."""
SURPLUS = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmore"
ENDLESS_LINES = b"x-line: a=b\r\n" * 1000
ENDLESS_BYTES = 16 * 1024 * 1024
"""A head without end is given up after this much."""


class Run(msgspec.Struct, frozen=True):
    """A request that the back end has run."""

    backend: str
    message: WireMessage
    fault: str = ""
    """Why the request could not be read, "" if it could."""


class _ClosingError(Exception):
    """The back end closes the connection, as planned or because it can't go on."""


class ExchangeBackend:
    """One back end; ``serve`` handles one connection of a gateway."""

    def __init__(self, name: str, exchanges: Mapping[str, Exchange]) -> None:
        self.name = name
        self.runs: list[Run] = []
        self._exchanges = exchanges
        self._attempts: Counter[str] = Counter()

    async def serve(self, connection: SocketStream) -> None:
        """Answer the requests of a connection until it ends."""
        stream = BufferedByteReceiveStream(connection)
        async with connection:
            try:
                late = b""
                while True:
                    late = await self._answer_next(stream, connection, late)
            except _ClosingError:
                pass  # ``async with`` closes it
            except (anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError):
                pass  # the node has closed it
            except MalformedMessageError as error:
                self.runs.append(Run(self.name, WireMessage("", ()), str(error)))

    async def _answer_next(
        self, stream: BufferedByteReceiveStream, connection: SocketStream, late: bytes
    ) -> bytes:
        """Answer one request; return the bytes to send in place of the next answer."""
        head = await read_head(stream)
        request_id = head.value(REQUEST_ID)
        exchange = self._exchanges.get(request_id)
        self._attempts[request_id] += 1
        if late:
            await connection.send(late)
        if exchange is None:
            self.runs.append(Run(self.name, await read_body(stream, head)))
            raise _ClosingError
        answer = exchange.answer
        if answer.fault is AnswerFault.EARLY:
            await connection.send(_encode_answer(exchange))
            self.runs.append(Run(self.name, await read_body(stream, head)))
            return b""
        message = await read_body(stream, head)
        if not message.complete:
            raise _ClosingError
        if self._attempts[request_id] <= answer.refusals:
            refusal = _encode_refusal(exchange)
            await connection.send(refusal)
            return refusal if answer.fault is AnswerFault.REFUSED_TWICE else b""
        self.runs.append(Run(self.name, message))
        return await _send_answer(connection, exchange, answer)


async def _send_answer(connection: SocketStream, exchange: Exchange, answer: Answer) -> bytes:
    """Send the answer with its fault; return the bytes to send in place of the next answer."""
    encoded = _encode_answer(exchange)
    if answer.fault is AnswerFault.ENDLESS:
        await _send_endless(connection, exchange)
    if answer.fault is AnswerFault.CUT:
        await connection.send(encoded[: len(encoded) // 2])
        raise _ClosingError
    await connection.send(encoded)
    if answer.fault is AnswerFault.SURPLUS:
        await connection.send(SURPLUS)
    return encoded if answer.fault is AnswerFault.REPEATED else b""


async def _send_endless(connection: SocketStream, exchange: Exchange) -> None:
    await connection.send(f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {exchange.id}\r\n".encode())
    for _ in range(ENDLESS_BYTES // len(ENDLESS_LINES)):
        await connection.send(ENDLESS_LINES)
    raise _ClosingError


def _encode_refusal(exchange: Exchange) -> bytes:
    headers: Fields = ((REQUEST_ID, exchange.id), (NOT_EXECUTED, "1"))
    return encode_message("HTTP/1.1 503 Full", headers, b"", Framing.LENGTH)


def _encode_answer(exchange: Exchange) -> bytes:
    answer = exchange.answer
    headers = ((REQUEST_ID, exchange.id), (MADE_FOR, exchange.id), *answer.fields)
    provisional = b"HTTP/1.1 103 Early Hints\r\nx-hint: 1\r\n\r\n" * answer.provisional_count
    body = b"" if exchange.method == "HEAD" else answer.body
    framing = Framing.LENGTH if exchange.method == "HEAD" else answer.framing
    start_line = f"HTTP/1.1 {answer.status} Status"
    return provisional + encode_message(start_line, headers, body, framing, answer.trailers)
