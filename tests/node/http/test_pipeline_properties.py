"""Shuffled requests, completions and closes: each answer stands in its place."""

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
"""``ask`` (1: may be repeated), ``answer`` (which of the begun), ``leave`` or ``lose``."""

ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), st.integers(0, 1)),
        st.tuples(st.just("answer"), st.integers(0, 40)),
        st.tuples(st.sampled_from(["leave", "lose"]), st.just(0)),
    ),
    max_size=60,
)


class Application:
    """Answers each request when told to; keeps which run and which were ever begun."""

    def __init__(self) -> None:
        self.leaving = False
        self.running: dict[int, asyncio.Event] = {}
        self.begun: list[int] = []
        self.ended: set[int] = set()

    def may_run_beside(self, scope: Any) -> bool:
        return bool(scope["path"].startswith("/safe"))

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        number = int(scope["path"].rpartition("/")[2])
        self.begun.append(number)
        told = self.running[number] = asyncio.Event()
        await told.wait()
        body = b"<%d>" % number
        length = [(b"content-length", b"%d" % len(body))]
        await send({"type": "http.response.start", "status": 200, "headers": length})
        await send({"type": "http.response.body", "body": body})


class World:
    """One connection, whose caller keeps what it receives."""

    def __init__(self) -> None:
        self.application = Application()
        self.server = HttpServer(self.application, 60.0)
        self.protocol = HttpServerProtocol(self.server, asyncio.get_running_loop())
        self.received = b""
        self.closing = False
        self.asked: list[bool] = []
        self.told_to_close = False
        """Whether the caller has seen the answer that ends the connection."""
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

    async def do(self, action: Action) -> None:
        kind, value = action
        self.told_to_close = b"connection: close" in self.received
        if kind == "ask" and not self.closing and not self.told_to_close:
            path = "safe" if value else "other"
            number = len(self.asked)
            self.asked.append(bool(value))
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
        elif kind == "lose" and not self.closing:
            self.closing = True
            self.protocol.connection_lost(None)
        for _ in range(6):
            await asyncio.sleep(0)

    def waiting(self) -> list[int]:
        begun = self.application.begun
        return [number for number in begun if number not in self.application.ended]

    def check(self, case: unittest.TestCase) -> None:
        case.assertEqual(self.answered, sorted(self.answered), "answers out of order")
        case.assertEqual(self.answered, list(range(len(self.answered))), "an answer is missing")
        case.assertEqual(self.application.begun, sorted(set(self.application.begun)))
        running = self.waiting()
        if not self.closing and any(not self.asked[number] for number in running):
            case.assertEqual(len(running), 1, "one that may not be repeated runs beside others")


class PipelinePropertiesTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(ACTIONS)
    def test_each_answer_stands_in_its_place(self, actions: list[Action]) -> None:
        asyncio.run(self.play(actions))

    async def play(self, actions: list[Action]) -> None:
        world = World()
        for action in self.with_all_answers(actions):
            await world.do(action)
            world.check(self)
        if not world.closing:
            self.assertEqual(len(world.answered), len(world.asked))
        for task in list(world.server.tasks):
            task.cancel()
        await asyncio.gather(*world.server.tasks, return_exceptions=True)
        world.protocol._stop_deadline()

    def with_all_answers(self, actions: list[Action]) -> Iterator[Action]:
        yield from actions
        for _ in actions:
            yield "answer", 0
