"""A settings file that changes while the node runs."""

import io
import json
import os
import signal
import tempfile
import unittest
from pathlib import Path
from typing import Any

import anyio

from pewtertack.log import EventLog
from pewtertack.node import settings_file
from pewtertack.node.settings_file import SettingsFile
from pewtertack.settings import Settings, load_settings
from tests.node.processes import UNREACHABLE_ADDRESS, NodeProcess, settings_text


class SettingsFileTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "node.toml"
        self.text = settings_text("a", "yaba", UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS)
        self.path.write_text(self.text)
        self.output = io.StringIO()
        log = EventLog("a", 1, self.output)
        self.subject = SettingsFile(self.path, {}, load_settings(self.path), log)
        self.notified: list[Settings] = []
        self.subject.subscribe(self.notified.append)

    def lines(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.output.getvalue().splitlines()]

    def rewrite(self, addition: str) -> None:
        self.path.write_text(self.text + addition)

    def test_changes_that_a_running_node_supports_are_applied(self) -> None:
        self.rewrite('\n        limits = {drain_timeout = "4s"}\n')
        self.subject.reload()
        assert self.subject.current.limits.drain_timeout is not None
        self.assertEqual(self.subject.current.limits.drain_timeout.seconds, 4.0)
        self.assertEqual(self.notified, [self.subject.current])
        self.assertEqual(self.lines()[-1]["applied"], ["limits"])

    def test_changes_that_need_a_restart_are_reported_and_not_applied(self) -> None:
        self.rewrite('\n        profile = {name = "frugal"}\n')
        self.subject.reload()
        self.assertEqual(self.subject.current.profile.name.value, "fast")
        self.assertEqual(self.lines()[-1]["needs_restart"], ["profile"])
        self.assertEqual(self.notified, [])

    def test_a_truncated_file_changes_nothing_and_is_logged(self) -> None:
        before = self.subject.current
        self.path.write_text(self.text[: len(self.text) // 2])
        self.subject.reload()
        self.assertIs(self.subject.current, before)
        self.assertEqual(self.lines()[-1]["event"], "SETTINGS_REFUSED")

    async def test_a_change_without_a_signal_is_detected(self) -> None:
        async with anyio.create_task_group() as tasks:
            interval = settings_file.CHECK_SECONDS
            settings_file.CHECK_SECONDS = 0.01
            tasks.start_soon(self.subject.run)
            self.rewrite('\n        limits = {drain_timeout = "4s"}\n')
            with anyio.fail_after(10.0):
                while not self.notified:
                    await anyio.sleep(0.01)
            settings_file.CHECK_SECONDS = interval
            tasks.cancel_scope.cancel()


class SignalTest(unittest.IsolatedAsyncioTestCase):
    async def test_sighup_reloads_the_settings(self) -> None:
        async with NodeProcess(
            settings_text("a", "yaba", UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS)
        ) as node:
            await node.wait_event("NODE_READY")
            os.kill(node._process.pid, signal.SIGHUP)
            await node.wait_event("SETTINGS_RELOADED")
            self.assertIsNone(node._process.returncode)
