"""A back end that sends a refusal a second time, where the answer to the next request is due."""

from typing import Any

import msgspec

from tests.node.gateway.recording import PATHS, RecordedRequestsTestCase, RecordingBackend
from tests.node.gateway.test_gateway import EDGE, POST, header
from tests.node.proxy.harness import answer_bytes, raw_call

REFUSALS = (b"503 Full", b"429 Full", b"400 No")
MISDIRECTED = b"421 Misdirected Request"
ANONYMOUS_EDGE = msgspec.structs.replace(EDGE, identified_answers=False)
"""Header names of back ends whose answers need not have an id."""


class LateRefusalBackend(RecordingBackend):
    """Refuses the first requests, and repeats each refusal in place of the next answer.

    Args:
        status: status code and reason of the refusals.
        refused_count: the number of requests that are refused.
        identified: whether the refusals have the id of their request.
    """

    def __init__(self, status: bytes, refused_count: int, identified: bool = True) -> None:
        super().__init__()
        self.refused_count = refused_count
        self.calls = 0
        self._identified = identified
        self._refusal = answer_bytes(b"", b"x-skipped: 1", status=status)
        self._late_copies: dict[Any, bytes] = {}

    async def __call__(self, reader: Any, writer: Any, head: str) -> bool:
        writer.write(self._late_copies.pop(writer, b""))
        self.calls += 1
        if self.calls > self.refused_count:
            return await super().__call__(reader, writer, head)
        await reader.readexactly(int(header(head, "content-length")))
        status_line, rest = self._refusal.split(b"\r\n", 1)
        id_lines = [b"x-call: " + header(head, "x-call").encode()] if self._identified else []
        refusal = b"\r\n".join([status_line, *id_lines, rest])
        writer.write(refusal)
        self._late_copies[writer] = refusal
        return True


class UnidentifiedRefusalBackend(RecordingBackend):
    """Sends a refusal without an id before each answer but a connection's first."""

    def __init__(self, status: bytes) -> None:
        super().__init__()
        self._refusal = answer_bytes(b"", b"x-skipped: 1", status=status)
        self._used_connections: set[Any] = set()

    async def __call__(self, reader: Any, writer: Any, head: str) -> bool:
        if writer in self._used_connections:
            writer.write(self._refusal)
        self._used_connections.add(writer)
        return await super().__call__(reader, writer, head)


class LateRefusalTest(RecordedRequestsTestCase):
    async def test_a_late_copy_of_a_refusal_is_not_the_answer_to_a_retry(self) -> None:
        for path in PATHS:
            for status in REFUSALS:
                for refused_count in (1, 2):
                    with self.subTest(path=path, status=status, refused=refused_count):
                        backend = LateRefusalBackend(status, refused_count)
                        answer = await raw_call(await self.start_path(path, backend), POST)
                        self.assertEqual(len(backend.requests), 1)
                        self.assertEqual((answer.status, answer.body), (200, b"ok"))

    async def test_a_late_copy_of_a_misdirected_response_does_not_refuse_what_runs(self) -> None:
        for path in PATHS:
            with self.subTest(path=path):
                backend = LateRefusalBackend(MISDIRECTED, 1)
                answer = await raw_call(await self.start_path(path, backend), POST)
                has_run = [item.request_id for item in backend.requests] == ["call-1"]
                self.assertEqual(answer.status, 200 if has_run else 503)

    async def test_a_refusal_without_an_id_refuses_nothing_on_a_used_connection(self) -> None:
        """Guards against a promise that a request has not run, made by another one's refusal."""
        for path in PATHS:
            for status in (*REFUSALS, MISDIRECTED):
                with self.subTest(path=path, status=status):
                    backend = UnidentifiedRefusalBackend(status)
                    address = await self.start_path(path, backend)
                    first = await raw_call(address, POST)
                    second = await raw_call(address, POST.replace(b"call-1", b"call-2"))
                    executed = [item.request_id for item in backend.requests]
                    self.assertEqual(executed, ["call-1", "call-2"])
                    self.assertEqual((first.status, second.status), (200, 502))


class UnidentifiedLateRefusalTest(RecordedRequestsTestCase):
    edge = ANONYMOUS_EDGE

    async def test_a_late_copy_of_a_refusal_without_an_id_refuses_nothing_that_runs(self) -> None:
        """Guards against "not run" for a request that runs, where back ends send no ids."""
        for path in PATHS:
            for status in (*REFUSALS, MISDIRECTED):
                for refused_count in (1, 2, 3):
                    with self.subTest(path=path, status=status, refused=refused_count):
                        backend = LateRefusalBackend(status, refused_count, identified=False)
                        await self.check_calls(await self.start_path(path, backend), backend)

    async def check_calls(self, address: str, backend: RecordingBackend) -> None:
        """Make three calls and check that those that run are the ones that are answered."""
        calls = ("call-1", "call-2", "call-3")
        posts = {call: POST.replace(b"call-1", call.encode()) for call in calls}
        answers = {call: await raw_call(address, post) for call, post in posts.items()}
        executed = [item.request_id for item in backend.requests]
        self.assertEqual(executed, [call for call in calls if answers[call].status == 200])
