"""A back end that calls the next service through a proxy of its own."""

from typing import Any

from tests.node.proxy.harness import (
    ProxyTestCase,
    RawBackend,
    answer_bytes,
    raw_call,
    request_bytes,
    request_id_of,
)


async def shed(reader: Any, writer: Any, head: str) -> bool:
    writer.write(answer_bytes(b"busy", b"x-outcome: not-run", status=b"503 Shed"))
    return True


class PassingOn(RawBackend):
    """Calls through its own node and answers with that node's status and ``x-`` headers."""

    def __init__(self, node: str) -> None:
        super().__init__(self._pass_on)
        self._node = node

    async def _pass_on(self, reader: Any, writer: Any, head: str) -> bool:
        below = await raw_call(self._node, request_bytes())
        headers = [
            f"{name}: {value}".encode()
            for name, value in below.headers.items()
            if name in ("x-outcome", "x-retries")
        ]
        status = b"%d Passed" % below.status
        own_id = b"x-request-id: " + request_id_of(head)
        writer.write(answer_bytes(b"below", own_id, *headers, status=status))
        return True


class DepthTest(ProxyTestCase):
    async def test_a_failure_is_retried_by_the_nearest_node_only(self) -> None:
        deepest = [RawBackend(shed) for _ in range(3)]
        lower = await self.start(*deepest)
        middle = [PassingOn(lower) for _ in range(3)]
        upper = await self.start(*middle)
        top = [PassingOn(upper) for _ in range(3)]
        answer = await raw_call(await self.start(*top), request_bytes())
        self.assertEqual(sum(item.calls for item in deepest), 3)  # retry_limit is 2
        self.assertEqual(sum(item.calls for item in middle), 1)
        self.assertEqual(sum(item.calls for item in top), 1)
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers["x-outcome"], "not-run")
        self.assertEqual(answer.headers["x-retries"], "spent")

    async def test_a_node_that_does_not_serve_leaves_the_retry_to_the_level_above(self) -> None:
        lower = await self.start(RawBackend(shed))
        self.proxy.set_serving(False)
        answer = await raw_call(lower, request_bytes())
        self.assertEqual(answer.status, 503)
        self.assertNotIn("x-retries", answer.headers)
