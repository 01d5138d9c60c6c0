"""Reads of the platform: responses, failures by type, limits."""

import json
from typing import Any

from pewtertack.core.effects import ReadDocument
from pewtertack.core.inputs import DocumentRead, DocumentReadFailed, DocumentUnchanged
from pewtertack.errors import ReadFailure
from pewtertack.node.platform import PlatformLimits, PlatformReader
from pewtertack.settings import Url
from pewtertack.wire.messages import DocumentKind
from tests.node.proxy.harness import ProxyTestCase

CONFIGURATION = DocumentKind.CONFIGURATION


class PlatformReaderTest(ProxyTestCase):
    async def read(
        self,
        status: int,
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
        kind: DocumentKind = CONFIGURATION,
    ) -> DocumentRead | DocumentUnchanged | DocumentReadFailed:
        async def application(scope: Any, receive: Any, send: Any) -> None:
            self.request = (scope["path"], scope["query_string"], dict(scope["headers"]))
            start = {"type": "http.response.start", "status": status, "headers": headers}
            await send(start)
            await send({"type": "http.response.body", "body": body})

        url = Url.parse(f"http://{await self.serve(application)}")
        reader = PlatformReader(url, url, "127.0.0.1", PlatformLimits(10.0, 1000))
        self.addAsyncCleanup(reader.close)
        return await reader.read(ReadDocument(kind, 6, 1.5))

    async def test_a_tree_and_a_machine_list(self) -> None:
        response = await self.read(200, b'{"number": 7, "tree": {"a": 1}}')
        self.assertEqual(response, DocumentRead(CONFIGURATION, 7, {"a": 1}))
        path, query, headers = self.request
        self.assertEqual((path, query), ("/v1/tree", b"after=6&wait=1.5"))
        self.assertEqual(headers[b"if-none-match"], b'"6"')
        kind = DocumentKind.MACHINE_LIST
        response = await self.read(200, b'{"number": 8, "machines": {"m": {}}}', kind=kind)
        self.assertEqual(response, DocumentRead(kind, 8, {"m": {}}))
        self.assertEqual(self.request[0], "/v1/machines")

    async def test_not_modified(self) -> None:
        self.assertEqual(await self.read(304), DocumentUnchanged(CONFIGURATION))

    async def test_a_busy_source_reports_when_to_retry(self) -> None:
        for value, expected in ((b"2", 2.0), (b"nan", None), (b"Wed", None), (b"1e9", 300.0)):
            response = await self.read(503, headers=((b"retry-after", value),))
            refused = ReadFailure.REFUSED
            failed = DocumentReadFailed(CONFIGURATION, "platform-busy", expected, failure=refused)
            self.assertEqual(response, failed)

    async def test_each_failure_is_reported_with_its_type(self) -> None:
        deep = b'{"number": 1, "tree": ' + b'{"a":' * 300 + b"1" + b"}" * 301
        cases = {
            "platform-status": ((500, b""), (404, b"")),
            "platform-body": (
                (200, b"{"),
                (200, b"[]"),
                (200, b'{"number": 0, "tree": {}}'),
                (200, b'{"number": "1", "tree": {}}'),
                (200, b'{"number": 1, "tree": [1]}'),
                (200, json.dumps({"number": 1}).encode()),
            ),
            "platform-body-too-large": ((200, bytes(1001)), (200, deep)),
        }
        for code, responses in cases.items():
            for status, body in responses:
                with self.subTest(code, body=body[:30]):
                    response = await self.read(status, body)
                    assert isinstance(response, DocumentReadFailed)
                    self.assertTrue(response.reason.startswith(f"{code}:"), response.reason)
                    refused = code == "platform-status"
                    failure = ReadFailure.REFUSED if refused else ReadFailure.UNUSABLE
                    self.assertIs(response.failure, failure)

    async def test_a_service_that_is_down_or_silent_or_hangs_up(self) -> None:
        async def silent(scope: Any, receive: Any, send: Any) -> None:
            await receive()

        async def broken(scope: Any, receive: Any, send: Any) -> None:
            raise ConnectionError

        down = "127.0.0.1:1"
        for address in (down, await self.serve(silent), await self.serve(broken)):
            url = Url.parse(f"http://{address}")
            reader = PlatformReader(url, url, "127.0.0.1", PlatformLimits(0.2, 1000))
            response = await reader.read(ReadDocument(CONFIGURATION, 0, 0.0))
            await reader.close()
            assert isinstance(response, DocumentReadFailed)
            self.assertRegex(response.reason, "^platform-(unreachable|status)")
