"""A gateway distinguishes crashes of its back end from other broken exchanges."""

import asyncio
import unittest

from pewtertack.node.crash_watch import BrokenExchange, CrashDetector, refuses_connections

BROKEN = BrokenExchange("call-1", b"f" * 16)


class CrashDetectorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.reported: list[tuple[str, tuple[BrokenExchange, ...]]] = []
        self.detector = CrashDetector(
            lambda backend, broken: self.reported.append((backend, broken))
        )
        self.accepted = asyncio.Event()
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted.set()
        writer.close()

    async def asyncTearDown(self) -> None:
        self.server.close()

    async def break_exchanges(self, *names: str) -> list[bool]:
        verdicts = await asyncio.gather(
            *(
                self.detector.has_crashed("b", self.address, BrokenExchange(name, name.encode()))
                for name in names
            )
        )
        await asyncio.sleep(0.05)
        return verdicts

    async def test_a_back_end_that_listens_has_not_crashed(self) -> None:
        self.assertEqual(await self.break_exchanges("call-1", "call-2"), [False, False])
        self.assertEqual(self.reported, [])

    async def test_all_exchanges_broken_by_one_crash_are_reported_together(self) -> None:
        self.server.close()
        self.assertEqual(await self.break_exchanges("call-1", "call-2"), [True, True])
        ((backend, broken),) = self.reported
        self.assertEqual(backend, "b")
        self.assertEqual([item.request_id for item in broken], ["call-1", "call-2"])

    async def test_two_crashes_are_reported_separately(self) -> None:
        self.server.close()
        await self.break_exchanges("call-1")
        await self.break_exchanges("call-2")
        self.assertEqual(len(self.reported), 2)

    async def test_a_reset_that_arrives_before_the_listener_is_closed_counts_as_a_crash(
        self,
    ) -> None:
        check = asyncio.ensure_future(self.detector.has_crashed("b", self.address, BROKEN))
        self.assertFalse(await check)
        await self.accepted.wait()
        self.server.close()
        await asyncio.sleep(0.05)
        self.assertEqual(self.reported, [("b", (BROKEN,))])

    async def test_a_cancelled_request_does_not_affect_the_others(
        self,
    ) -> None:
        self.server.close()
        first = asyncio.ensure_future(self.detector.has_crashed("b", self.address, BROKEN))
        second = asyncio.ensure_future(self.detector.has_crashed("b", self.address, BROKEN))
        await asyncio.sleep(0)
        first.cancel()
        self.assertTrue(await second)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.reported), 1)

    async def test_an_invalid_address_is_no_evidence_of_a_crash(self) -> None:
        self.assertFalse(await refuses_connections("256.0.0.1:9"))
