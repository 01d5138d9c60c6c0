"""The stand-in of the store brings about each of its faults, over real sockets."""

import asyncio
import time
import unittest

import anyio
import httpcore
import msgspec

from pewtertack.lab.metadata_store.application import (
    STATUS_GONE,
    STATUS_UNAVAILABLE,
    WATCH_PATH,
    MetadataStore,
    StoreFaults,
)
from pewtertack.lab.serving import Listener
from pewtertack.settings import Address

RANGE = "/kv-range?PathPrefix=op/"
WATCH = WATCH_PATH + "?PathPrefix=op/&after={}&WaitMs=10000"
DELAY = 0.3
LONGEST = 5.0
"""Seconds that any of these tests may wait for an answer."""


class Asked:
    """One answer, and after how many seconds it was there."""

    def __init__(self, answer: httpcore.Response, seconds: float) -> None:
        self.status = answer.status
        self.seconds = seconds
        self.content = answer.content

    @property
    def value(self) -> dict[str, object]:
        return msgspec.json.decode(self.content, type=dict[str, object])


class StoreFaultsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = MetadataStore()
        self.store.put("op/config", b"x" * 300)
        self.listener = Listener(self.store.application, Address("127.0.0.1", 0))
        self.pool = httpcore.AsyncConnectionPool()
        self.addAsyncCleanup(self.pool.aclose)
        self.serving, self.ended = anyio.Event(), anyio.Event()
        task = asyncio.create_task(self.serve())

        async def end() -> None:
            self.ended.set()
            await task

        self.addAsyncCleanup(end)
        await self.serving.wait()

    async def serve(self) -> None:
        async with anyio.create_task_group() as tasks:
            await self.listener.open(tasks)
            self.serving.set()
            await self.ended.wait()
            self.listener.close()

    async def ask(self, path: str) -> Asked:
        began = time.monotonic()
        with anyio.fail_after(LONGEST):
            answer = await self.pool.request("GET", f"http://{self.listener.address}{path}")
        return Asked(answer, time.monotonic() - began)

    async def watch_until_waiting(self, tasks: anyio.abc.TaskGroup, found: list[Asked]) -> None:
        """Begin a watch from the present on; return once it waits."""

        async def watch() -> None:
            found.append(await self.ask(WATCH.format(1)))

        calls = self.store.calls
        tasks.start_soon(watch)
        with anyio.fail_after(LONGEST):
            while self.store.calls == calls:
                await anyio.sleep(0.001)

    async def test_a_list_takes_the_delay(self) -> None:
        self.store.faults = StoreFaults(delay=DELAY)
        answer = await self.ask(RANGE)
        self.assertEqual(answer.value["at"], 1)
        self.assertGreaterEqual(answer.seconds, DELAY)

    async def test_a_list_tells_the_state_from_before_its_delay(self) -> None:
        self.store.faults = StoreFaults(delay=DELAY)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._put_later)
            self.assertEqual((await self.ask(RANGE)).value["at"], 1)

    async def _put_later(self) -> None:
        await anyio.sleep(DELAY / 2)
        self.store.put("op/config", b"y")

    async def test_a_waiting_watch_is_answered_the_delay_after_the_change(self) -> None:
        self.store.faults = StoreFaults(delay=DELAY)
        found: list[Asked] = []
        async with anyio.create_task_group() as tasks:
            await self.watch_until_waiting(tasks, found)
            await anyio.sleep(2 * DELAY)
            self.assertEqual(found, [])
            changed_at = time.monotonic()
            self.store.put("op/config", b"y")
        told_after = time.monotonic() - changed_at
        self.assertEqual(found[0].value["at"], 2)
        self.assertGreaterEqual(told_after, DELAY)
        self.assertLess(told_after, 2 * DELAY)

    async def test_a_change_during_a_slow_answer_is_told_by_the_next(self) -> None:
        self.store.faults = StoreFaults(delay=DELAY)
        found: list[Asked] = []
        async with anyio.create_task_group() as tasks:
            await self.watch_until_waiting(tasks, found)
            self.store.put("op/config", b"y")
            await anyio.sleep(DELAY / 2)
            self.store.put("op/config", b"z")
        self.assertEqual(found[0].value["at"], 2)
        self.assertEqual((await self.ask(WATCH.format(2))).value["at"], 3)

    async def test_a_refusal_takes_the_delay_too(self) -> None:
        self.store.faults = StoreFaults(delay=DELAY, status=STATUS_UNAVAILABLE)
        for path in (RANGE, WATCH.format(1), "/kv-key?PrivateKey=op/config"):
            answer = await self.ask(path)
            self.assertEqual(answer.status, STATUS_UNAVAILABLE)
            self.assertGreaterEqual(answer.seconds, DELAY)

    async def test_a_body_arrives_at_the_rate_and_is_whole(self) -> None:
        quick = await self.ask(RANGE)
        for rate in (2000.0, 400.0):
            self.store.faults = StoreFaults(body_rate=rate)
            slow = await self.ask(RANGE)
            self.assertEqual(slow.content, quick.content)
            expected = len(quick.content) / rate
            self.assertGreaterEqual(slow.seconds, 0.9 * expected)
            self.assertLess(slow.seconds, 2 * expected + 0.5)

    async def test_a_slow_rate_sends_byte_by_byte(self) -> None:
        self.store.faults = StoreFaults(body_rate=20.0)
        pieces: list[bytes] = []
        url = f"http://{self.listener.address}{RANGE}"
        with anyio.move_on_after(1.0):
            async with self.pool.stream("GET", url) as answer:
                async for piece in answer.aiter_stream():
                    pieces.append(piece)  # noqa: PERF401 (kept when the time is over)
        self.assertGreater(len(pieces), 3)
        self.assertEqual({len(piece) for piece in pieces}, {1})

    async def test_an_endless_body_goes_on_until_the_caller_leaves(self) -> None:
        self.store.faults = StoreFaults(endless=True)
        received = 0
        url = f"http://{self.listener.address}{RANGE}"
        with anyio.move_on_after(0.5) as scope:
            async with self.pool.stream("GET", url) as answer:
                async for piece in answer.aiter_stream():
                    received += len(piece)
        self.assertTrue(scope.cancelled_caught)
        self.assertGreater(received, 10_000)
        self.store.faults = StoreFaults()
        self.assertEqual((await self.ask(RANGE)).value["at"], 1)

    async def test_lost_answers_do_not_come(self) -> None:
        self.store.faults = StoreFaults(lost_answers=1)
        with anyio.move_on_after(0.3) as scope:
            await self.ask(RANGE)
        self.assertTrue(scope.cancelled_caught)
        self.assertEqual((await self.ask(RANGE)).value["at"], 1)

    async def test_so_many_watches_are_told_that_history_is_gone(self) -> None:
        self.store.faults = StoreFaults(gone_watches=2)
        self.store.put("op/config", b"y")
        statuses = [(await self.ask(WATCH.format(1))).status for _ in range(3)]
        self.assertEqual(statuses, [STATUS_GONE, STATUS_GONE, 200])

    async def test_hasty_watches_do_not_wait_and_tell_no_change(self) -> None:
        self.store.faults = StoreFaults(hasty_watches=True)
        self.store.put("op/config", b"y")
        for _ in range(3):
            answer = await self.ask(WATCH.format(1))
            self.assertEqual(answer.value, {"events": [], "at": 1})
            self.assertLess(answer.seconds, 1.0)

    async def test_a_cut_resets_waiting_watches_alone(self) -> None:
        await self.ask(RANGE)
        broken: list[Exception] = []

        async def watch() -> None:
            try:
                await self.ask(WATCH.format(1))
            except (httpcore.ReadError, httpcore.RemoteProtocolError) as error:
                broken.append(error)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            with anyio.fail_after(LONGEST):
                while self.store.calls < 2:
                    await anyio.sleep(0.001)
            self.assertEqual(self.listener.abort_unanswered(WATCH_PATH), 1)
        self.assertEqual(len(broken), 1)
        self.assertEqual(self.listener.abort_unanswered(WATCH_PATH), 0)
        self.assertEqual((await self.ask(RANGE)).value["at"], 1)
