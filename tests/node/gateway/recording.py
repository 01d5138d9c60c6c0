"""A back end that records whole requests, at the end of one hop or of two."""

import asyncio
from typing import Any, NamedTuple

from tests.node.gateway.test_gateway import GatewayTestCase, header
from tests.node.proxy.harness import Answer, RawBackend, answer_bytes, raw_call, request_bytes

IDENTITY = ("x-call: call-1", "x-left: 4000")
PATHS = ("two nodes", "one node")


class ReceivedRequest(NamedTuple):
    """A request as a back end received it."""

    line: str
    request_id: str
    caller_service: str
    body: bytes


async def read_chunked(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readline()).strip(), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        pass
    return body


class RecordingBackend:
    """Reads whole requests, framed by length or by chunks, and answers each with ``answer``."""

    def __init__(self, answer: bytes = answer_bytes(b"ok")) -> None:
        self.requests: list[ReceivedRequest] = []
        self.answer = answer

    async def __call__(self, reader: Any, writer: Any, head: str) -> bool:
        if "\r\ntransfer-encoding: chunked\r\n" in head:
            body = await read_chunked(reader)
        else:
            framed = "\r\ncontent-length: " in head
            body = await reader.readexactly(int(header(head, "content-length")) if framed else 0)
        request_id, service = header(head, "x-call"), header(head, "x-from")
        line = head.split("\r\n")[0]
        self.requests.append(ReceivedRequest(line, request_id, service, body))
        status_line, rest = self.answer.split(b"\r\n", 1)
        writer.write(b"\r\n".join([status_line, b"x-call: " + request_id.encode(), rest]))
        return True


def by_length(path: str, body: bytes, *headers: str) -> bytes:
    length = f"content-length: {len(body)}"
    return request_bytes("POST", path, headers=(*IDENTITY, *headers, length)) + body


def by_chunks(path: str, body: bytes, *headers: str, trailers: tuple[str, ...] = ()) -> bytes:
    head = request_bytes("POST", path, headers=(*IDENTITY, *headers, "transfer-encoding: chunked"))
    end = "\r\n".join(["0", *trailers, "", ""]).encode()
    return head + b"%x\r\n%b\r\n" % (len(body), body) + end


class RecordedRequestsTestCase(GatewayTestCase):
    async def add_backend(self, name: str, script: Any, slots: int) -> None:
        await self.add_gateway(name, await RawBackend(script).start(self), slots)

    async def start_path(self, path: str, backend: RecordingBackend) -> str:
        """Return the address of a proxy that reaches the back end over two nodes or over one."""
        if path == "two nodes":
            return await self.start_fleet(backend)
        return await self.start(RawBackend(backend), edge=self.edge, caller_service="desk")

    async def settle(self) -> None:
        """Give a smuggled request the time to reach the back end."""
        await asyncio.sleep(0.1)

    async def assert_unchanged(self, path: str, raw: bytes, body: bytes) -> Answer:
        """Send a request and check that the back end received it, and nothing else."""
        backend = RecordingBackend()
        answer = await raw_call(await self.start_path(path, backend), raw)
        await self.settle()
        expected = ReceivedRequest("post /log http/1.1", "call-1", "desk", body)
        self.assertEqual(backend.requests, [expected])
        self.assertEqual((answer.status, answer.body), (200, b"ok"))
        return answer
