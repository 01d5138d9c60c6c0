"""A node logs at its start that its source accepts configurations which it may refuse."""

import io
import json
import unittest
from typing import Any

from pewtertack.core.configuration.structure import GUARANTEED_DOCUMENT_BYTES
from pewtertack.log import EventLog
from pewtertack.node.assembly import warn_of_long_documents
from pewtertack.settings.loading import build_settings

SERVICE = {"url": "http://127.0.0.1:1"}
TABLES: dict[str, Any] = {
    "node": {"name": "a", "zone": "z", "region": "r"},
    "listen": {"admin": "127.0.0.1:0", "peer": "127.0.0.1:0"},
    "peers": {"key": "0123456789abcdef0123456789abcdef"},
    "machines": SERVICE,
}


class LongDocumentsTest(unittest.TestCase):
    def lines(self, **source: str) -> list[dict[str, Any]]:
        settings = build_settings({**TABLES, "source": {**SERVICE, **source}}, "test", {})
        output = io.StringIO()
        warn_of_long_documents(settings, EventLog("a", 1, output))
        return [json.loads(line) for line in output.getvalue().splitlines()]

    def test_nothing_is_logged_if_all_documents_are_accepted(self) -> None:
        self.assertEqual(self.lines(), [])
        self.assertEqual(self.lines(document_size=f"{GUARANTEED_DOCUMENT_BYTES}B"), [])

    def test_a_source_that_accepts_longer_documents_is_logged(self) -> None:
        (line,) = self.lines(document_size=f"{GUARANTEED_DOCUMENT_BYTES + 1}B")
        self.assertEqual(line["event"], "SOURCE_BOUND_WIDER")
        self.assertEqual((line["accepted"], line["sure"]), (1048577, 1048576))


if __name__ == "__main__":
    unittest.main()
