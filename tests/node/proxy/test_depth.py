"""Back ends that call the next service through a proxy of their own."""

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


class CallingBackend(RawBackend):
    """Calls the next service through its node and responds with that status and outcome headers."""

    def __init__(self, node: str) -> None:
        super().__init__(self._call_next)
        self._node = node

    async def _call_next(self, reader: Any, writer: Any, head: str) -> bool:
        inner = await raw_call(self._node, request_bytes())
        headers = [
            f"{name}: {value}".encode()
            for name, value in inner.headers.items()
            if name in ("x-outcome", "x-retries")
        ]
        status = b"%d Passed" % inner.status
        request_id = b"x-request-id: " + request_id_of(head)
        writer.write(answer_bytes(b"below", request_id, *headers, status=status))
        return True


class DepthTest(ProxyTestCase):
    async def test_a_failure_is_retried_by_the_nearest_node_only(self) -> None:
        inner_backends = [RawBackend(shed) for _ in range(3)]
        inner_node = await self.start(*inner_backends)
        middle_backends = [CallingBackend(inner_node) for _ in range(3)]
        outer_node = await self.start(*middle_backends)
        outer_backends = [CallingBackend(outer_node) for _ in range(3)]
        answer = await raw_call(await self.start(*outer_backends), request_bytes())
        self.assertEqual(sum(item.calls for item in inner_backends), 3)  # retry_limit is 2
        self.assertEqual(sum(item.calls for item in middle_backends), 1)
        self.assertEqual(sum(item.calls for item in outer_backends), 1)
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers["x-outcome"], "not-run")
        self.assertEqual(answer.headers["x-retries"], "spent")

    async def test_a_node_that_does_not_serve_leaves_the_retry_to_its_caller(self) -> None:
        inner_node = await self.start(RawBackend(shed))
        self.proxy.set_serving(False)
        answer = await raw_call(inner_node, request_bytes())
        self.assertEqual(answer.status, 503)
        self.assertNotIn("x-retries", answer.headers)
