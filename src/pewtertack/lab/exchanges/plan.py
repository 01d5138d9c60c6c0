"""Generates exchanges from a seed: what a caller sends and how the back end answers it."""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from random import Random

import msgspec

Fields = tuple[tuple[str, str], ...]

SAFE_PATH = "/safe/"
UNSAFE_PATH = "/unsafe/"
MAX_PIPELINED = 4
MAX_BODY_BYTES = 40_000
LONG_BODY_SHARE = 0.15
FAULT_SHARE = 0.5
"""Share of the exchanges whose back end does not simply answer."""
MAX_REFUSALS = 2
OPTIONS = (
    *("content-length", "transfer-encoding", "host", "keep-alive", "x-own-a", "x-own-b"),
    *("x-request-id", "x-deadline-ms", "x-caller-service", "te", "expect"),
)
"""Names that a ``Connection`` header may list."""
FORGED: Fields = (
    ("x-caller-service", "forged"),
    ("x-pewtertack-caller-service", "forged"),
    ("x-pewtertack-backend", "forged"),
    ("x-pewtertack-rank", "0.0"),
)
"""Headers that only nodes set."""
TRAILERS: Fields = (
    ("x-request-id", "forged"),
    ("x-deadline-ms", "1"),
    ("host", "forged.example"),
    ("connection", "x-own-a"),
    ("x-not-executed", "1"),
    ("x-late", "1"),
)
SMUGGLED = (
    b"GET /safe/smuggled HTTP/1.1\r\nhost: a.example\r\nx-request-id: smuggled\r\n"
    b"x-deadline-ms: 4000\r\nx-pewtertack-service: ledger\r\nx-pewtertack-route: safe\r\n\r\n"
)


class Framing(StrEnum):
    """How the end of a body is marked."""

    NONE = "none"
    LENGTH = "length"
    CHUNKS = "chunks"


class AnswerFault(StrEnum):
    """What a back end does besides answering."""

    NONE = "none"
    REFUSED = "refused"
    """Refuses the first attempts."""
    REFUSED_TWICE = "refused-twice"
    """Refuses them, and sends each refusal again in place of the next answer."""
    REPEATED = "repeated"
    """Sends the answer again in place of the next one."""
    SURPLUS = "surplus"
    """Sends bytes behind the answer."""
    CUT = "cut"
    """Closes the connection in the middle of the answer."""
    EARLY = "early"
    """Answers before it has read the body, and reads on."""
    ENDLESS = "endless"
    """Sends header lines until the connection is closed."""


class Answer(msgspec.Struct, frozen=True):
    """The answer of the back end."""

    status: int
    body: bytes
    framing: Framing
    fields: Fields = ()
    trailers: Fields = ()
    provisional_count: int = 0
    """Number of 1xx responses that precede it."""
    fault: AnswerFault = AnswerFault.NONE
    refusals: int = 0
    """Attempts that the back end refuses first."""


class Exchange(msgspec.Struct, frozen=True):
    """One request and the answer that its back end gives."""

    id: str
    method: str
    target: str
    fields: Fields
    body: bytes
    framing: Framing
    trailers: Fields
    answer: Answer

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.target.startswith(SAFE_PATH)


class Conversation(msgspec.Struct, frozen=True):
    """The exchanges that a caller pipelines on one connection."""

    exchanges: tuple[Exchange, ...]
    piece_bytes: int
    """Size of the pieces in which the caller sends them."""


def generate_conversations(seed: int, count: int) -> Iterator[Conversation]:
    """Yield conversations with ``count`` exchanges in total."""
    chooser = Random(seed)
    number = 0
    while number < count:
        length = min(count - number, chooser.choice((1, 1, 1, 2, MAX_PIPELINED)))
        exchanges = (
            _make_exchange(chooser, f"e{seed}-{number + index}") for index in range(length)
        )
        yield Conversation(tuple(exchanges), chooser.choice((1, 17, 300, 100_000, 100_000)))
        number += length


def _make_exchange(chooser: Random, exchange_id: str) -> Exchange:
    method = chooser.choice(("GET", "POST", "POST", "PUT", "HEAD", "DELETE"))
    path = chooser.choice((SAFE_PATH, UNSAFE_PATH))
    target = path + chooser.choice(("", "a/b", "a%20b?c=d&e", "%C3%A9?x=%2F", "a;b=c/../d"))
    has_body = method in ("POST", "PUT") or chooser.random() < 0.1
    body = _make_body(chooser) if has_body else b""
    framing = chooser.choice((Framing.LENGTH, Framing.CHUNKS)) if has_body else Framing.NONE
    fields = [("x-own-a", "1"), ("x-own-b", "2")]
    if chooser.random() < 0.4:
        options = chooser.sample(OPTIONS, chooser.randint(1, 3))
        fields.append(("Connection", ", ".join(options)))
    if chooser.random() < 0.3:
        fields.append(chooser.choice(FORGED))
    if has_body and chooser.random() < 0.1:
        fields.append(("Expect", "100-continue"))
    has_trailers = framing is Framing.CHUNKS and chooser.random() < 0.5
    trailers = tuple(chooser.sample(TRAILERS, 2)) if has_trailers else ()
    answer = _make_answer(chooser, exchange_id, has_body)
    return Exchange(exchange_id, method, target, tuple(fields), body, framing, trailers, answer)


def _make_body(chooser: Random) -> bytes:
    if chooser.random() < 0.4:
        return SMUGGLED * chooser.randint(1, 3)
    size = MAX_BODY_BYTES if chooser.random() < LONG_BODY_SHARE else 500
    return chooser.randbytes(chooser.randint(0, size))


def _make_answer(chooser: Random, exchange_id: str, has_body: bool) -> Answer:
    faults = [fault for fault in AnswerFault if has_body or fault is not AnswerFault.EARLY]
    fault = chooser.choice(faults) if chooser.random() < FAULT_SHARE else AnswerFault.NONE
    refused = fault in (AnswerFault.REFUSED, AnswerFault.REFUSED_TWICE)
    status = chooser.choice((200, 200, 200, 201, 404, 500))
    framing = chooser.choice((Framing.LENGTH, Framing.CHUNKS))
    body = exchange_id.encode() + chooser.randbytes(chooser.choice((0, 20, 3000, 90_000)))
    fields: list[tuple[str, str]] = []
    if chooser.random() < 0.2:
        fields.append(("Connection", chooser.choice(("content-length", "keep-alive, x-hop"))))
        fields.append(("x-hop", "1"))
    has_trailers = framing is Framing.CHUNKS and chooser.random() < 0.5
    return Answer(
        status,
        body,
        framing,
        tuple(fields),
        tuple(chooser.sample(TRAILERS, 2)) if has_trailers else (),
        chooser.choice((0, 0, 0, 1, 3)),
        fault,
        chooser.randint(1, MAX_REFUSALS) if refused else 0,
    )
