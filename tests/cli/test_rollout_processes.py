"""The command against real nodes: late, in force, rejected, a node that is gone."""

import contextlib
import copy
import json
import os
import signal
import sys
import unittest
from collections.abc import AsyncIterator
from typing import Any

import anyio
import httpcore

from tests.node.peer_pair import reader_and_peer
from tests.node.processes import SOURCE_DIRECTORY, TIMEOUT_SECONDS, NodeProcess

TREE: dict[str, Any] = {
    "services": {"logbook": {}},
    "routes": {"lookup": {"service": "logbook", "path_prefix": "/"}},
}
WRONG: dict[str, Any] = {**TREE, "services": {}}


class RolloutProcessesTest(unittest.IsolatedAsyncioTestCase):
    @contextlib.asynccontextmanager
    async def fleet(self) -> AsyncIterator[tuple[NodeProcess, NodeProcess]]:
        """Node a reads the source; node b can reach nobody but a."""
        async with reader_and_peer(TREE, {}) as (source, a, b):
            self.source = source.service
            listening = (a.lines[-1], await b.wait_event("NODE_READY"))
            self.admins = [line["admin"] for line in listening]
            yield a, b

    async def ask(self, method: str, path: str, content: Any) -> None:
        url = f"http://{self.source.control.address}{path}"
        async with httpcore.AsyncConnectionPool() as pool:
            answer = await pool.request(method, url, content=json.dumps(content).encode())
        self.assertEqual(answer.status, 200)

    async def rollout(self, *arguments: str) -> tuple[int, Any, str]:
        """Return exit code, report and progress."""
        admins = [f"http://{admin}" for admin in self.admins]
        command = [
            sys.executable,
            "-m",
            "pewtertack",
            "rollout",
            "--json",
            "--timeout",
            "30",
            "--admin",
            *admins,
        ]
        environment = os.environ | {"PYTHONPATH": str(SOURCE_DIRECTORY)}
        with anyio.fail_after(TIMEOUT_SECONDS):
            ended = await anyio.run_process(
                [*command, *arguments], check=False, env=environment, stderr=-1
            )
        return ended.returncode, json.loads(ended.stdout), ended.stderr.decode()

    def reasons(self, found: Any) -> dict[str, str]:
        return {lack["node"]: lack["why"] for lack in found["lacking"]}

    async def code_with_reasons(self, expected: dict[str, str], *arguments: str) -> int:
        """Ask until the nodes lack it for these reasons: one that has just joined reads nothing."""
        with anyio.fail_after(TIMEOUT_SECONDS):
            while True:
                code, found, _ = await self.rollout(*arguments)
                if self.reasons(found) == expected:
                    return code

    async def test_a_rollout_from_late_to_everywhere_and_one_that_is_refused(self) -> None:
        async with self.fleet() as (_, b):
            code, found, progress = await self.rollout("--wait", "30")
            self.assertEqual((code, found["revision"], found["outcome"]), (0, 1, "complete"))
            self.assertRegex(progress, r"revision 1 of 2 nodes: .*in force 2\n$")

            await self.ask("POST", "/faults", {"availability": "closed"})
            failing = dict.fromkeys(("a", "b"), "source-failing")
            self.assertEqual(await self.code_with_reasons(failing, "--version", "2"), 1)

            await self.ask("POST", "/faults", {"availability": "up"})
            edited = copy.deepcopy(TREE)
            edited["routes"]["more"] = {"service": "logbook", "path_prefix": "/more"}
            await self.ask("PUT", "/tree", edited)
            code, found, _ = await self.rollout("--version", "2", "--wait", "30")
            self.assertEqual((code, found["outcome"], found["lacking"]), (0, "complete", []))
            self.assertEqual([stage["nodes"] for stage in found["stages"]], [2, 2, 2, 2])
            self.assertEqual(found["ways"].pop("source"), 1)
            self.assertEqual(sum(found["ways"].values()), 1)

            await self.ask("PUT", "/tree", WRONG)
            code, found, _ = await self.rollout("--version", "3", "--wait", "30")
            self.assertEqual((code, found["outcome"]), (3, "rejected"))
            self.assertEqual(self.reasons(found)["a"], "rejected")
            self.assertIn("routes.lookup", found["lacking"][0]["findings"][0]["path"])

            b.signal(signal.SIGKILL)
            await b.wait_exit()
            code, found, _ = await self.rollout("--version", "2")
            self.assertEqual((code, found["outcome"]), (4, "unreachable"))


if __name__ == "__main__":
    unittest.main()
