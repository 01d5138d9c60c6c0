"""Random requests, completions and closes: responses keep the order of the requests."""

import asyncio
import re
import unittest
from collections.abc import Iterator
from typing import Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from pewtertack.node.http.protocol import HttpServerProtocol
from pewtertack.node.http.server import HttpServer

Action = tuple[str, int]
"""``send`` (1: repeatable), ``answer`` (index among the started requests), ``leave`` or
``disconnect``."""

ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just("send"), st.integers(0, 1)),
        st.tuples(st.just("answer"), st.integers(0, 40)),
        st.tuples(st.sampled_from(["leave", "disconnect"]), st.just(0)),
    ),
    max_size=60,
)


class Application:
    """Answers each request on demand; records which requests run and which were started."""

    def __init__(self) -> None:
        self.leaving = False
        self.running: dict[int, asyncio.Event] = {}
        self.started: list[int] = []
        self.ended: set[int] = set()

    def may_run_beside(self, scope: Any) -> bool:
        return bool(scope["path"].startswith("/safe"))

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        number = int(scope["path"].rpartition("/")[2])
        self.started.append(number)
        permission = self.running[number] = asyncio.Event()
        await permission.wait()
        body = b"<%d>" % number
        length = [(b"content-length", b"%d" % len(body))]
        await send({"type": "http.response.start", "status": 200, "headers": length})
        await send({"type": "http.response.body", "body": body})


class Connection:
    """One connection, whose caller keeps the data it receives."""

    def __init__(self) -> None:
        self.application = Application()
        self.server = HttpServer(self.application, 60.0)
        self.protocol = HttpServerProtocol(self.server, asyncio.get_running_loop())
        self.received = b""
        self.closing = False
        self.sent: list[bool] = []
        self.asked_to_close = False
        """Whether the caller has received the response that closes the connection."""
        self.transport = mock.Mock(spec=asyncio.Transport)
        self.transport.write.side_effect = self.write
        self.transport.is_closing.side_effect = lambda: self.closing
        self.transport.get_extra_info.return_value = mock.Mock()
        self.protocol.connection_made(self.transport)

    def write(self, data: bytes) -> None:
        self.received += data

    @property
    def answered(self) -> list[int]:
        return [int(number) for number in re.findall(rb"<(\d+)>", self.received)]

    async def apply(self, action: Action) -> None:
        kind, value = action
        self.asked_to_close = b"connection: close" in self.received
        if kind == "send" and not self.closing and not self.asked_to_close:
            path = "safe" if value else "other"
            number = len(self.sent)
            self.sent.append(bool(value))
            raw = f"GET /{path}/{number} HTTP/1.1\r\nhost: a\r\n\r\n"
            self.protocol.data_received(raw.encode())
        elif kind == "answer":
            waiting = self.waiting()
            if waiting:
                number = waiting[value % len(waiting)]
                self.application.running[number].set()
                self.application.ended.add(number)
        elif kind == "leave":
            self.application.leaving = True
        elif kind == "disconnect" and not self.closing:
            self.closing = True
            self.protocol.connection_lost(None)
        for _ in range(6):
            await asyncio.sleep(0)

    def waiting(self) -> list[int]:
        started = self.application.started
        return [number for number in started if number not in self.application.ended]

    def check(self, case: unittest.TestCase) -> None:
        case.assertEqual(self.answered, sorted(self.answered), "responses out of order")
        case.assertEqual(self.answered, list(range(len(self.answered))), "a response is missing")
        case.assertEqual(self.application.started, sorted(set(self.application.started)))
        running = self.waiting()
        if not self.closing and any(not self.sent[number] for number in running):
            case.assertEqual(
                len(running), 1, "a request that is not repeatable runs concurrently with others"
            )


class PipelinePropertiesTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(ACTIONS)
    def test_responses_keep_the_order_of_requests(self, actions: list[Action]) -> None:
        asyncio.run(self.run_actions(actions))

    async def run_actions(self, actions: list[Action]) -> None:
        connection = Connection()
        for action in self.complete_actions(actions):
            await connection.apply(action)
            connection.check(self)
        if not connection.closing:
            self.assertEqual(len(connection.answered), len(connection.sent))
        for task in list(connection.server.tasks):
            task.cancel()
        await asyncio.gather(*connection.server.tasks, return_exceptions=True)
        connection.protocol._stop_deadline()

    def complete_actions(self, actions: list[Action]) -> Iterator[Action]:
        yield from actions
        for _ in actions:
            yield "answer", 0
