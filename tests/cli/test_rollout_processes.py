"""The rollout command against real nodes: incomplete, in force, rejected, unreachable node."""

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
INVALID_TREE: dict[str, Any] = {**TREE, "services": {}}


class RolloutProcessesTest(unittest.IsolatedAsyncioTestCase):
    @contextlib.asynccontextmanager
    async def fleet(self) -> AsyncIterator[tuple[NodeProcess, NodeProcess]]:
        """Run node a, which reads the source, and node b, which can reach only a."""
        async with reader_and_peer(TREE, {}) as (source, a, b):
            self.source = source.service
            listening = (a.lines[-1], await b.wait_event("NODE_READY"))
            self.admins = [line["admin"] for line in listening]
            yield a, b

    async def send_control(self, method: str, path: str, content: Any) -> None:
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
            process = await anyio.run_process(
                [*command, *arguments], check=False, env=environment, stderr=-1
            )
        return process.returncode, json.loads(process.stdout), process.stderr.decode()

    def reasons(self, result: Any) -> dict[str, str]:
        return {node["node"]: node["why"] for node in result["lacking"]}

    async def wait_for_reasons(self, expected: dict[str, str], *arguments: str) -> int:
        """Poll until the reasons are as expected; a node that has just joined does not read yet."""
        with anyio.fail_after(TIMEOUT_SECONDS):
            while True:
                code, result, _ = await self.rollout(*arguments)
                if self.reasons(result) == expected:
                    return code

    async def test_rollouts_that_complete_and_that_are_rejected(self) -> None:
        async with self.fleet() as (_, b):
            code, result, progress = await self.rollout("--wait", "30")
            self.assertEqual((code, result["revision"], result["outcome"]), (0, 1, "complete"))
            self.assertRegex(progress, r"revision 1 of 2 nodes: .*in force 2\n$")

            await self.send_control("POST", "/faults", {"availability": "closed"})
            failing = dict.fromkeys(("a", "b"), "source-failing")
            self.assertEqual(await self.wait_for_reasons(failing, "--version", "2"), 1)

            await self.send_control("POST", "/faults", {"availability": "up"})
            edited = copy.deepcopy(TREE)
            edited["routes"]["more"] = {"service": "logbook", "path_prefix": "/more"}
            await self.send_control("PUT", "/tree", edited)
            code, result, _ = await self.rollout("--version", "2", "--wait", "30")
            self.assertEqual((code, result["outcome"], result["lacking"]), (0, "complete", []))
            self.assertEqual([stage["nodes"] for stage in result["stages"]], [2, 2, 2, 2])
            self.assertEqual(result["ways"].pop("source"), 1)
            self.assertEqual(sum(result["ways"].values()), 1)

            await self.send_control("PUT", "/tree", INVALID_TREE)
            code, result, _ = await self.rollout("--version", "3", "--wait", "30")
            self.assertEqual((code, result["outcome"]), (3, "rejected"))
            self.assertEqual(self.reasons(result)["a"], "rejected")
            self.assertIn("routes.lookup", result["lacking"][0]["findings"][0]["path"])

            b.signal(signal.SIGKILL)
            await b.wait_exit()
            code, result, _ = await self.rollout("--version", "2")
            self.assertEqual((code, result["outcome"]), (4, "unreachable"))


if __name__ == "__main__":
    unittest.main()
