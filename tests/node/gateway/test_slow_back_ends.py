"""A back end, or a link, that takes a long body slowly, on a machine that lives.

The story: uploads are broken off after 0.7 s and their callers get 502, although their back ends
are at work and nothing is wrong with any machine. The back end takes what it is sent later, or
the other machine's link is full. Found by reading and brought about here, on no played day.

The cause: sent bytes that are not acknowledged for 0.4 s end a connection, so that a machine that
is gone is noticed (``TCP_USER_TIMEOUT``). The system ends it by the same bound while the receiver
has no room: it acknowledges every probe then, but takes nothing. A buffer that is full for 0.4 s,
and the probe behind, is enough. So the system's bound is lifted while a long body is under way,
and only what is sent and not answered counts (``node.http.acknowledgement``).

The evidence: with a receiver on this machine that reads nothing for 0.3 s bodies of 256 KiB to
8 MB arrive; with 1 s and 2 s all of them that are longer than its buffer end after 0.67 to 0.70 s
with ETIMEDOUT, which counts as a silent machine, and one of 128 KiB, which fits, arrives.
"""

import asyncio
from typing import Any

from tests.node.gateway.test_gateway import GatewayTestCase, answer_well
from tests.node.proxy.harness import raw_call, request_bytes

PAUSE_SECONDS = 3.0
PART = b"x" * 65536


def chunked(parts: int) -> bytes:
    """Return an upload of unknown length, which may not be repeated."""
    head = request_bytes(
        "POST", "/", headers=("x-call: call-1", "x-left: 9000", "transfer-encoding: chunked")
    )
    chunk = b"%x\r\n" % len(PART) + PART + b"\r\n"
    return head + chunk * parts + b"0\r\n\r\n"


async def answer_late(reader: Any, writer: Any, head: str) -> bool:
    await asyncio.sleep(PAUSE_SECONDS)
    received = b""
    while not received.endswith(b"\r\n0\r\n\r\n"):
        received = received[-7:] + await reader.read(65536)
    return await answer_well(reader, writer, head)


class SlowBackEndTest(GatewayTestCase):
    async def test_a_body_that_its_back_end_takes_late_arrives(self) -> None:
        address = await self.start_fleet(answer_late, timeout=9.0)
        for parts in (6, 64):
            answer = await raw_call(address, chunked(parts))
            self.assertEqual((parts, answer.status), (parts, 200))
