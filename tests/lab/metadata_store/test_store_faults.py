"""Tests each fault of the store's stand-in over real sockets."""

import asyncio
import time
import unittest

import anyio
import httpcore
import msgspec

from pewtertack.lab.metadata_store.application import (
    STATUS_HISTORY_GONE,
    STATUS_UNAVAILABLE,
    WATCH_PATH,
    MetadataStore,
    StoreFaults,
)
from pewtertack.lab.serving import Listener
from pewtertack.settings import Address

RANGE = "/kv-range?PathPrefix=op/"
WATCH = WATCH_PATH + "?PathPrefix=op/&after={}&WaitMs=10000"
DELAY_SECONDS = 0.3
TIMEOUT_SECONDS = 5.0
"""Time limit of each request in these tests, in seconds."""


class TimedResponse:
    """A response and the time in seconds until it arrived."""

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

    async def get(self, path: str) -> TimedResponse:
        began = time.monotonic()
        with anyio.fail_after(TIMEOUT_SECONDS):
            answer = await self.pool.request("GET", f"http://{self.listener.address}{path}")
        return TimedResponse(answer, time.monotonic() - began)

    async def watch_until_waiting(
        self, tasks: anyio.abc.TaskGroup, responses: list[TimedResponse]
    ) -> None:
        """Start a watch from the current revision; return when it waits."""

        async def watch() -> None:
            responses.append(await self.get(WATCH.format(1)))

        calls = self.store.calls
        tasks.start_soon(watch)
        with anyio.fail_after(TIMEOUT_SECONDS):
            while self.store.calls == calls:
                await anyio.sleep(0.001)

    async def test_a_range_response_is_delayed(self) -> None:
        self.store.faults = StoreFaults(delay=DELAY_SECONDS)
        answer = await self.get(RANGE)
        self.assertEqual(answer.value["at"], 1)
        self.assertGreaterEqual(answer.seconds, DELAY_SECONDS)

    async def test_a_range_response_has_the_state_from_before_its_delay(self) -> None:
        self.store.faults = StoreFaults(delay=DELAY_SECONDS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._put_later)
            self.assertEqual((await self.get(RANGE)).value["at"], 1)

    async def _put_later(self) -> None:
        await anyio.sleep(DELAY_SECONDS / 2)
        self.store.put("op/config", b"y")

    async def test_the_response_of_a_waiting_watch_is_delayed_after_the_change(self) -> None:
        self.store.faults = StoreFaults(delay=DELAY_SECONDS)
        responses: list[TimedResponse] = []
        async with anyio.create_task_group() as tasks:
            await self.watch_until_waiting(tasks, responses)
            await anyio.sleep(2 * DELAY_SECONDS)
            self.assertEqual(responses, [])
            changed_at = time.monotonic()
            self.store.put("op/config", b"y")
        answered_after_seconds = time.monotonic() - changed_at
        self.assertEqual(responses[0].value["at"], 2)
        self.assertGreaterEqual(answered_after_seconds, DELAY_SECONDS)
        self.assertLess(answered_after_seconds, 2 * DELAY_SECONDS)

    async def test_a_change_during_a_slow_response_is_in_the_next(self) -> None:
        self.store.faults = StoreFaults(delay=DELAY_SECONDS)
        responses: list[TimedResponse] = []
        async with anyio.create_task_group() as tasks:
            await self.watch_until_waiting(tasks, responses)
            self.store.put("op/config", b"y")
            await anyio.sleep(DELAY_SECONDS / 2)
            self.store.put("op/config", b"z")
        self.assertEqual(responses[0].value["at"], 2)
        self.assertEqual((await self.get(WATCH.format(2))).value["at"], 3)

    async def test_a_refusal_is_delayed_too(self) -> None:
        self.store.faults = StoreFaults(delay=DELAY_SECONDS, status=STATUS_UNAVAILABLE)
        for path in (RANGE, WATCH.format(1), "/kv-key?PrivateKey=op/config"):
            answer = await self.get(path)
            self.assertEqual(answer.status, STATUS_UNAVAILABLE)
            self.assertGreaterEqual(answer.seconds, DELAY_SECONDS)

    async def test_a_body_arrives_at_its_rate_and_is_complete(self) -> None:
        quick = await self.get(RANGE)
        for rate in (2000.0, 400.0):
            self.store.faults = StoreFaults(body_rate=rate)
            slow = await self.get(RANGE)
            self.assertEqual(slow.content, quick.content)
            expected = len(quick.content) / rate
            self.assertGreaterEqual(slow.seconds, 0.9 * expected)
            self.assertLess(slow.seconds, 2 * expected + 0.5)

    async def test_a_low_rate_sends_single_bytes(self) -> None:
        self.store.faults = StoreFaults(body_rate=20.0)
        pieces: list[bytes] = []
        url = f"http://{self.listener.address}{RANGE}"
        with anyio.move_on_after(1.0):
            async with self.pool.stream("GET", url) as answer:
                async for piece in answer.aiter_stream():
                    pieces.append(piece)  # noqa: PERF401 (pieces received before the timeout are kept)
        self.assertGreater(len(pieces), 3)
        self.assertEqual({len(piece) for piece in pieces}, {1})

    async def test_an_endless_body_continues_until_the_caller_disconnects(self) -> None:
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
        self.assertEqual((await self.get(RANGE)).value["at"], 1)

    async def test_lost_responses_never_arrive(self) -> None:
        self.store.faults = StoreFaults(lost_answers=1)
        with anyio.move_on_after(0.3) as scope:
            await self.get(RANGE)
        self.assertTrue(scope.cancelled_caught)
        self.assertEqual((await self.get(RANGE)).value["at"], 1)

    async def test_the_given_number_of_watches_is_told_that_history_is_gone(self) -> None:
        self.store.faults = StoreFaults(gone_watches=2)
        self.store.put("op/config", b"y")
        statuses = [(await self.get(WATCH.format(1))).status for _ in range(3)]
        self.assertEqual(statuses, [STATUS_HISTORY_GONE, STATUS_HISTORY_GONE, 200])

    async def test_watches_that_do_not_wait_report_no_change(self) -> None:
        self.store.faults = StoreFaults(hasty_watches=True)
        self.store.put("op/config", b"y")
        for _ in range(3):
            answer = await self.get(WATCH.format(1))
            self.assertEqual(answer.value, {"events": [], "at": 1})
            self.assertLess(answer.seconds, 1.0)

    async def test_a_cut_resets_only_waiting_watches(self) -> None:
        await self.get(RANGE)
        errors: list[Exception] = []

        async def watch() -> None:
            try:
                await self.get(WATCH.format(1))
            except (httpcore.ReadError, httpcore.RemoteProtocolError) as error:
                errors.append(error)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            with anyio.fail_after(TIMEOUT_SECONDS):
                while self.store.calls < 2:
                    await anyio.sleep(0.001)
            self.assertEqual(self.listener.abort_unanswered(WATCH_PATH), 1)
        self.assertEqual(len(errors), 1)
        self.assertEqual(self.listener.abort_unanswered(WATCH_PATH), 0)
        self.assertEqual((await self.get(RANGE)).value["at"], 1)
