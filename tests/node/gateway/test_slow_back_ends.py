"""A back end, or a link, that receives a long body slowly although its machine is up.

Guards against uploads that are broken off after 0.7 s, with 502 for their callers, because the back
end reads late or the other machine's link is full. A connection whose sent bytes are not
acknowledged for 0.4 s is closed, to notice a machine that is gone (``TCP_USER_TIMEOUT``). The
kernel applies the same limit while the receiver's buffer is full: the receiver then acknowledges
every probe but accepts no data. So the kernel's limit is lifted while a long body is being sent,
and ``node.http.acknowledgement`` counts only data and probes that nobody answers.

With the kernel's limit, bodies of 256 KiB to 8 MB arrive at a receiver on the same machine that
reads nothing for 0.3 s. With 1 s and 2 s, every body longer than the receiver's buffer fails after
0.67 to 0.70 s with ETIMEDOUT, which counts as a silent machine; one of 128 KiB fits into the buffer
and arrives.
"""

import asyncio
from typing import Any

from tests.node.gateway.test_gateway import GatewayTestCase, answer_normally
from tests.node.proxy.harness import raw_call, request_bytes

PAUSE_SECONDS = 3.0
CHUNK_DATA = b"x" * 65536


def chunked(chunk_count: int) -> bytes:
    """Return an upload of unknown length, which cannot be replayed."""
    head = request_bytes(
        "POST", "/", headers=("x-call: call-1", "x-left: 9000", "transfer-encoding: chunked")
    )
    chunk = b"%x\r\n" % len(CHUNK_DATA) + CHUNK_DATA + b"\r\n"
    return head + chunk * chunk_count + b"0\r\n\r\n"


async def read_late(reader: Any, writer: Any, head: str) -> bool:
    await asyncio.sleep(PAUSE_SECONDS)
    received = b""
    while not received.endswith(b"\r\n0\r\n\r\n"):
        received = received[-7:] + await reader.read(65536)
    return await answer_normally(reader, writer, head)


class SlowBackEndTest(GatewayTestCase):
    async def test_a_body_that_the_back_end_reads_late_arrives(self) -> None:
        address = await self.start_fleet(read_late, timeout=9.0)
        for chunk_count in (6, 64):
            answer = await raw_call(address, chunked(chunk_count))
            self.assertEqual((chunk_count, answer.status), (chunk_count, 200))
