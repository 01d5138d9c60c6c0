"""Disabling single mechanisms of a node."""

import asyncio
import os
import subprocess
import sys
import unittest
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

from pewtertack.core import profile
from pewtertack.core.eras import list_number
from pewtertack.core.machines import MachineState
from pewtertack.core.replication.machine_lists import MachineListReplica
from pewtertack.core.returned_lists import MachineListOverrides
from pewtertack.core.revision import revision_id_of
from pewtertack.lab.disabled_mechanisms import (
    CORE_MECHANISMS,
    MECHANISMS,
    REQUEST_MECHANISMS,
    SHORT_RESPONSE_TIMEOUT_SECONDS,
    disable_mechanism,
)
from pewtertack.lab.errors import LabUsageError
from pewtertack.node.proxy import exchange
from pewtertack.node.proxy.application import ProxyApplication
from pewtertack.node.proxy.stop_time import ShutdownDeadline
from pewtertack.platform import store

SOURCE_DIRECTORY = Path(__file__).resolve().parents[2] / "src"


class DisabledMechanismsTest(unittest.TestCase):
    def test_every_core_mechanism_can_be_disabled(self) -> None:
        for name in CORE_MECHANISMS:
            with mock.patch.dict(profile.PROFILES):
                disable_mechanism(name)
                for timing in profile.PROFILES.values():
                    self.assertFalse(getattr(timing.mechanisms, name))

    def test_slow_sources_are_read_like_fast_ones(self) -> None:
        with (
            mock.patch.dict(profile.PROFILES),
            mock.patch.object(store, "RESPONSE_HEAD_TIMEOUT_SECONDS", 8.0),
        ):
            disable_mechanism("overlapping_reads")
            disable_mechanism("slow_answers")
            self.assertEqual({item.read_patience for item in profile.PROFILES.values()}, {0.0})
            self.assertEqual(store.RESPONSE_HEAD_TIMEOUT_SECONDS, SHORT_RESPONSE_TIMEOUT_SECONDS)

    def test_the_request_id_of_a_response_is_no_longer_read(self) -> None:
        with mock.patch.dict(vars(exchange)):
            disable_mechanism("answer_identity")
            read: Any = vars(exchange)["read_response_meta"]
            self.assertIsNone(read([(b"x-request-id", b"r1")]).request_id)

    def test_gateways_are_not_notified_of_a_shutdown(self) -> None:
        with (
            mock.patch.object(ShutdownDeadline, "begin", ShutdownDeadline.begin),
            mock.patch.object(ProxyApplication, "announce_stop", ProxyApplication.announce_stop),
        ):
            disable_mechanism("stop_announcements")
            proxy = ProxyApplication(lambda: 5.0, Random(7))
            with mock.patch("pewtertack.node.proxy.application.notify_gateways") as notify_gateways:
                proxy.start_leaving(2.0)
                asyncio.run(proxy.announce_stop())
            notify_gateways.assert_not_called()
            self.assertTrue(proxy.leaving)
            self.assertFalse(proxy._context.shutdown.started)

    def test_lists_of_a_new_era_are_used_without_a_hold_time(self) -> None:
        with mock.patch.object(MachineListOverrides, "__init__", MachineListOverrides.__init__):
            disable_mechanism("hold_after_return")
            replica = MachineListReplica(6.0, 0.0)
        for number in (list_number(0, 9), list_number(1, 5)):
            state = "leaving" if number == 9 else "live"
            entry = {"role": "backend", "zone": "a", "address": "1:1", "state": state}
            replica.offer(1.0, revision_id_of(number, {"b": entry}), {"b": entry})
        self.assertEqual(replica.machines.machines[0].state, MachineState.LIVE)

    def test_every_request_mechanism_can_be_disabled(self) -> None:
        for name in REQUEST_MECHANISMS:
            with self.subTest(name):
                code = (
                    "from pewtertack.lab.disabled_mechanisms import disable_mechanism;"
                    f" disable_mechanism({name!r})"
                )
                environment = os.environ | {"PYTHONPATH": str(SOURCE_DIRECTORY)}
                completed = subprocess.run(
                    [sys.executable, "-c", code], env=environment, capture_output=True, text=True
                )
                self.assertEqual(completed.returncode, 0, completed.stderr)

    def test_unknown_names_raise_usage_errors(self) -> None:
        self.assertEqual(len(MECHANISMS), len(set(MECHANISMS)))
        with self.assertRaises(LabUsageError):
            disable_mechanism("luck")
