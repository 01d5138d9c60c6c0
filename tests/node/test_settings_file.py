"""A settings file that changes under a running node."""

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
        self.told: list[Settings] = []
        self.subject.subscribe(self.told.append)

    def lines(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.output.getvalue().splitlines()]

    def rewrite(self, more: str) -> None:
        self.path.write_text(self.text + more)

    def test_what_a_running_node_can_take_over_is_taken_over(self) -> None:
        self.rewrite('\n        limits = {drain_timeout = "4s"}\n')
        self.subject.reload()
        assert self.subject.current.limits.drain_timeout is not None
        self.assertEqual(self.subject.current.limits.drain_timeout.seconds, 4.0)
        self.assertEqual(self.told, [self.subject.current])
        self.assertEqual(self.lines()[-1]["applied"], ["limits"])

    def test_what_needs_a_restart_is_named_and_not_taken_over(self) -> None:
        self.rewrite('\n        profile = {name = "frugal"}\n')
        self.subject.reload()
        self.assertEqual(self.subject.current.profile.name.value, "fast")
        self.assertEqual(self.lines()[-1]["needs_restart"], ["profile"])
        self.assertEqual(self.told, [])

    def test_a_file_cut_short_changes_nothing_and_is_told_with_its_type(self) -> None:
        before = self.subject.current
        self.path.write_text(self.text[: len(self.text) // 2])
        self.subject.reload()
        self.assertIs(self.subject.current, before)
        self.assertEqual(self.lines()[-1]["event"], "SETTINGS_REFUSED")

    async def test_a_silent_change_is_noticed(self) -> None:
        async with anyio.create_task_group() as tasks:
            interval = settings_file.CHECK_SECONDS
            settings_file.CHECK_SECONDS = 0.01
            tasks.start_soon(self.subject.run)
            self.rewrite('\n        limits = {drain_timeout = "4s"}\n')
            with anyio.fail_after(10.0):
                while not self.told:
                    await anyio.sleep(0.01)
            settings_file.CHECK_SECONDS = interval
            tasks.cancel_scope.cancel()


class SignalTest(unittest.IsolatedAsyncioTestCase):
    async def test_sighup_ends_no_process(self) -> None:
        async with NodeProcess(
            settings_text("a", "yaba", UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS)
        ) as node:
            await node.wait_event("NODE_READY")
            os.kill(node._process.pid, signal.SIGHUP)
            await node.wait_event("SETTINGS_RELOADED")
            self.assertIsNone(node._process.returncode)
