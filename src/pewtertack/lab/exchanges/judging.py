"""Compares what back ends ran and what callers got with what was sent and answered."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence

from pewtertack.lab.exchanges.backend import MADE_FOR, REQUEST_ID, Run
from pewtertack.lab.exchanges.caller import HOST, Received
from pewtertack.lab.exchanges.plan import AnswerFault, Exchange
from pewtertack.lab.exchanges.wire import NO_BODY_STATUSES, WireMessage

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses of a node's own answer that promise that the request has not run."""
OWN_FAILURE = "x-outcome"
"""Header of each failure that a node answers with itself."""
OWN_NAMES = ("x-own-a", "x-own-b")
"""Headers of the generated requests that end at the node only if ``Connection`` names them."""


def find_violations(received: Sequence[Received], runs: Sequence[Run]) -> list[str]:
    """Return a description of each violated promise."""
    sent = {item.exchange.id: item for item in received}
    counts = Counter(run.message.value(REQUEST_ID) for run in runs)
    violations = [text for run in runs for text in _judge_run(run, sent)]
    for item in received:
        violations += _judge_answer(item, counts[item.exchange.id])
    return violations


def _judge_run(run: Run, sent: Mapping[str, Received]) -> Iterator[str]:
    message = run.message
    request_id = message.value(REQUEST_ID)
    if run.fault:
        yield f"{run.backend} received a malformed request: {run.fault}"
        return
    item = sent.get(request_id)
    if item is None:
        yield f"{run.backend} ran {request_id!r}, which no caller sent: {message.start_line}"
        return
    exchange = item.exchange
    if message.start_line != f"{exchange.method} {exchange.target} HTTP/1.1":
        yield f"{request_id}: the request line became {message.start_line}"
    if not _is_sent_body(message, exchange):
        yield f"{request_id}: ran with another body, {len(message.body)} bytes"
    if message.values("x-caller-service") != [item.service]:
        yield f"{request_id}: caller service {message.values('x-caller-service')}"
    if message.values("host") != [HOST]:
        yield f"{request_id}: host {message.values('host')}"
    if any("pewtertack" in name for name, _ in message.headers):
        yield f"{request_id}: headers between nodes reached the back end"
    yield from _judge_own_headers(message, exchange)


def _is_sent_body(message: WireMessage, exchange: Exchange) -> bool:
    """Tell whether the body is the one that was sent, or a beginning of it if it was cut."""
    if message.complete:
        return message.body == exchange.body
    return exchange.body.startswith(message.body)


def _judge_own_headers(message: WireMessage, exchange: Exchange) -> Iterator[str]:
    options = _options(exchange)
    for name in OWN_NAMES:
        expected = (
            [] if name in options else [value for key, value in exchange.fields if key == name]
        )
        if message.values(name) != expected:
            yield f"{exchange.id}: header {name} became {message.values(name)}"


def _options(exchange: Exchange) -> set[str]:
    listed = [value for name, value in exchange.fields if name == "Connection"]
    return {option.strip() for value in listed for option in value.split(",")}


def _judge_answer(item: Received, run_count: int) -> Iterator[str]:
    exchange, answer = item.exchange, item.answer
    if run_count > 1 and not exchange.repeatable:
        yield f"{exchange.id}: ran {run_count} times"
    if item.fault:
        yield f"{exchange.id}: malformed answer: {item.fault}"
    if answer is None:
        return
    if answer.value(REQUEST_ID) != exchange.id:
        yield f"{exchange.id}: the answer is for {answer.value(REQUEST_ID)!r}"
    if answer.value(MADE_FOR):
        yield from _judge_backend_answer(exchange, answer, run_count)
    else:
        yield from _judge_own_answer(exchange, answer, run_count)


def _judge_backend_answer(exchange: Exchange, answer: WireMessage, run_count: int) -> Iterator[str]:
    planned = exchange.answer
    if run_count == 0:
        yield f"{exchange.id}: answered by a back end that did not run it"
    if answer.value(MADE_FOR) != exchange.id:
        yield f"{exchange.id}: got the answer of {answer.value(MADE_FOR)}"
    if answer.status != planned.status:
        yield f"{exchange.id}: status {planned.status} became {answer.status}"
    if answer.value("x-late"):
        yield f"{exchange.id}: a trailer became a header"
    has_body = exchange.method != "HEAD" and answer.status not in NO_BODY_STATUSES
    body = planned.body if has_body else b""
    whole = answer.body == body if answer.complete else body.startswith(answer.body)
    if not whole:
        yield f"{exchange.id}: another body, {len(answer.body)} of {len(body)} bytes"
    if answer.complete and planned.fault is AnswerFault.CUT and has_body:
        yield f"{exchange.id}: a cut answer looks complete"


def _judge_own_answer(exchange: Exchange, answer: WireMessage, run_count: int) -> Iterator[str]:
    """Judge a failure that a node answered with itself."""
    if not answer.value(OWN_FAILURE):
        yield f"{exchange.id}: status {answer.status} of neither a back end nor a failure"
    if answer.status in NOT_RUN_STATUSES and run_count and not exchange.repeatable:
        yield f"{exchange.id}: answered with {answer.status} although it ran"
    if 300 <= answer.status < 500 and answer.status not in NOT_RUN_STATUSES:
        yield f"{exchange.id}: a proper request was rejected with {answer.status}"
