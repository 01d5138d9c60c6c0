"""A gateway tells the end of its back end from other broken exchanges."""

import asyncio
import unittest

from pewtertack.node.crash_watch import BrokenExchange, CrashDetector, refuses_connections

BROKEN = BrokenExchange("call-1", b"f" * 16)


class CrashWatchTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.told: list[tuple[str, tuple[BrokenExchange, ...]]] = []
        self.watch = CrashDetector(lambda backend, broken: self.told.append((backend, broken)))
        self.asked = asyncio.Event()
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.asked.set()
        writer.close()

    async def asyncTearDown(self) -> None:
        self.server.close()

    async def break_off(self, *names: str) -> list[bool]:
        verdicts = await asyncio.gather(
            *(
                self.watch.has_crashed("b", self.address, BrokenExchange(name, name.encode()))
                for name in names
            )
        )
        await asyncio.sleep(0.05)
        return verdicts

    async def test_a_back_end_that_listens_has_not_ended(self) -> None:
        self.assertEqual(await self.break_off("call-1", "call-2"), [False, False])
        self.assertEqual(self.told, [])

    async def test_all_that_broke_with_one_end_is_told_of_at_once(self) -> None:
        self.server.close()
        self.assertEqual(await self.break_off("call-1", "call-2"), [True, True])
        ((backend, broken),) = self.told
        self.assertEqual(backend, "b")
        self.assertEqual([item.request_id for item in broken], ["call-1", "call-2"])

    async def test_two_ends_are_told_apart(self) -> None:
        self.server.close()
        await self.break_off("call-1")
        await self.break_off("call-2")
        self.assertEqual(len(self.told), 2)

    async def test_a_reset_that_comes_ahead_of_the_closed_listener_is_an_end_all_the_same(
        self,
    ) -> None:
        looking = asyncio.ensure_future(self.watch.has_crashed("b", self.address, BROKEN))
        self.assertFalse(await looking)
        await self.asked.wait()
        self.server.close()
        await asyncio.sleep(0.05)
        self.assertEqual(self.told, [("b", (BROKEN,))])

    async def test_a_request_that_is_given_up_meanwhile_leaves_the_others_their_answer(
        self,
    ) -> None:
        self.server.close()
        first = asyncio.ensure_future(self.watch.has_crashed("b", self.address, BROKEN))
        second = asyncio.ensure_future(self.watch.has_crashed("b", self.address, BROKEN))
        await asyncio.sleep(0)
        first.cancel()
        self.assertTrue(await second)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.told), 1)

    async def test_an_address_that_makes_no_sense_tells_nothing(self) -> None:
        self.assertFalse(await refuses_connections("256.0.0.1:9"))
