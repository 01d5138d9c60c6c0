"""Recording a history and waiting for events in it."""

import tempfile
import unittest
from pathlib import Path

import anyio

from pewtertack.lab.errors import FleetTimeoutError
from pewtertack.lab.fleet.history import HistoryRecorder
from pewtertack.lab.records import NodeKill, NodeStart, read_history

SERVING = b'{"time": 2, "number": 102, "event": "NODE_SERVING", "node": "n1", "incarnation": 1}'


class HistoryRecorderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(directory) / "history.jsonl"
        self.recorder = self.enterContext(HistoryRecorder(self.path))

    def is_serving(self, _: object) -> bool:
        node = self.recorder.view.nodes.get("n1")
        return node is not None and node.is_serving

    async def test_wait_ends_with_the_awaited_line(self) -> None:
        async with anyio.create_task_group() as waits:
            waits.start_soon(self.recorder.wait_until, self.is_serving, 60.0, "n1 serves")
            self.recorder.record(NodeStart(time=1.0, node="n1", zone="yaba"))
            self.recorder.record_line("n1", SERVING)
        self.recorder.record(NodeKill(time=3.0, node="n1"))
        self.assertFalse(self.is_serving(None))
        with self.assertRaises(FleetTimeoutError):
            await self.recorder.wait_until(self.is_serving, 0.01, "n1 serves")

    def test_lines_are_written_and_stray_lines_kept_separately(self) -> None:
        self.recorder.record_line("n1", SERVING)
        self.recorder.record_line("source", b'{"ready":{"listen":"127.0.0.1:1"}}')
        self.recorder.record_line("n1", b"Traceback")
        self.assertEqual(len(list(read_history(self.path.read_bytes().splitlines()))), 1)
        self.assertEqual(self.recorder.stray_lines, ["n1: Traceback"])
