"""Long responses are buffered until their turn on the link; short ones are sent at once."""

import asyncio
import random
import time
import unittest
from typing import Any

import msgspec

from pewtertack.node.gateway.sending import RESPONSE_BUFFER_BYTES, BufferedBytes, ResponseSender
from pewtertack.node.http.cycle import WHOLE_BODY
from pewtertack.node.pacing import LinkPacer
from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.link import LONG_BYTES, LinkScheduler
from tests.node.gateway.test_gateway import GatewayTestCase, header
from tests.node.proxy.harness import answer_bytes, raw_call, request_bytes

LINK_MBPS = 100.0
BULK = (2, 0)
LONG_BODY_BYTES = 200_000


async def ignore(message: Any) -> None:
    """Discard what is sent."""


class SenderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.sent: list[Any] = []
        self.node_buffer = BufferedBytes()
        self.pacer = LinkPacer(time.monotonic, LinkScheduler(LINK_MBPS))

    def make_sender(self, route: str = "export") -> ResponseSender:
        now = time.monotonic()
        ticket = AdmissionTicket(route, BULK, now + 1.0, now + 5.0)
        return ResponseSender(self.send, self.pacer, self.node_buffer, ticket)

    async def send(self, message: Any) -> None:
        self.sent.append(message)

    async def begin(self, sender: ResponseSender, length: int) -> None:
        headers = [(b"content-length", b"%d" % length)]
        await sender({"type": "http.response.start", "status": 200, "headers": headers})

    async def answer(self, sender: ResponseSender, *parts: bytes) -> None:
        await self.begin(sender, sum(len(part) for part in parts))
        for part in parts:
            await sender({"type": "http.response.body", "body": part, "more_body": True})
        await sender({"type": "http.response.body", "body": b""})

    def body(self) -> bytes:
        return b"".join(message.get("body", b"") for message in self.sent)

    async def test_a_short_response_is_sent_at_once(self) -> None:
        sender = self.make_sender()
        await self.begin(sender, LONG_BYTES)
        await sender({"type": "http.response.body", "body": b"x" * LONG_BYTES})
        self.assertEqual(len(self.sent), 2)
        await sender.finish()
        self.assertEqual(len(self.sent), 2)

    async def test_a_long_response_is_buffered_at_once_and_sent_in_its_turn(self) -> None:
        data = bytes(index % 251 for index in range(5 * LONG_BYTES))
        sender = self.make_sender()
        await self.answer(sender, data[:LONG_BYTES], data[LONG_BYTES:])
        self.assertLess(len(self.body()), len(data))
        self.assertEqual(self.node_buffer.byte_count, len(data) - len(self.body()))
        await sender.finish()
        self.assertEqual(self.body(), data)
        self.assertFalse(self.sent[-1].get("more_body", False))
        self.assertEqual(self.node_buffer.byte_count, 0)

    async def test_a_response_is_counted_without_a_gap_from_its_reservation_to_its_queue_entry(
        self,
    ) -> None:
        """Guards against a 502 instead of a 503 for a download during a node's shutdown.

        When a response arrived, its reservation was released, and its queue entry was made one
        iteration of the event loop later. For a request admitted in between, the link seemed idle:
        it seemed to have 1684 ms left where it had -316 ms, and was handed back at the node's stop.
        """
        size = 50 * LONG_BYTES
        scheduler = self.pacer.scheduler
        scheduler.note_answer_size("export", size)
        sender = self.make_sender()
        sender.reserve()
        transfer = scheduler.transfer_time("export")
        self.assertAlmostEqual(scheduler.queue_time(BULK, time.monotonic()), transfer, delta=0.001)
        await self.begin(sender, size)
        for _ in range(size // LONG_BYTES):
            part = {"type": "http.response.body", "body": b"x" * LONG_BYTES, "more_body": True}
            await sender(part)
            ahead = scheduler.queue_time(BULK, time.monotonic())
            self.assertGreater(ahead, transfer * 0.9 - LONG_BYTES / scheduler.bytes_per_second)
            if len(self.sent) > 4:
                break
        sender.close()
        await asyncio.sleep(0.01)
        self.assertEqual(scheduler.queue_time(BULK, time.monotonic() + 1.0), 0.0)

    async def test_a_long_response_in_one_message_with_its_head_is_paced(self) -> None:
        data = bytes(index % 251 for index in range(3 * LONG_BYTES))
        sender = self.make_sender()
        await sender(
            {"type": "http.response.start", "status": 200, "headers": [], WHOLE_BODY: data}
        )
        self.assertNotIn(WHOLE_BODY, self.sent[0])
        self.assertEqual(self.node_buffer.byte_count, len(data) - len(self.body()))
        await sender.finish()
        self.assertEqual(self.body(), data)
        self.assertGreater(self.pacer.delivery_time("export", BULK), 0.0)

    async def test_a_short_response_in_one_message_with_its_head_is_sent_with_it(self) -> None:
        sender = self.make_sender()
        data = b"x" * LONG_BYTES
        await sender(
            {"type": "http.response.start", "status": 200, "headers": [], WHOLE_BODY: data}
        )
        await sender.finish()
        self.assertEqual([message.get(WHOLE_BODY) for message in self.sent], [data])

    async def test_pieces_are_sent_as_they_arrive(self) -> None:
        sender = self.make_sender()
        await sender({"type": "http.response.start", "status": 200, "headers": []})
        received_bytes = 0
        for size in (10, 2 * LONG_BYTES, 20, 30):
            part = {"type": "http.response.body", "body": b"x" * size, "more_body": True}
            await sender(part)
            received_bytes += size
            await asyncio.sleep(0.02)
            self.assertEqual(len(self.body()), received_bytes)
        await sender({"type": "http.response.body", "body": b""})
        await sender.finish()
        self.assertEqual(len(self.body()), received_bytes)
        self.assertEqual(sum(not item.get("more_body", False) for item in self.sent[1:]), 1)
        self.assertEqual(self.pacer.delivery_time("export", BULK), 0.0)

    async def test_an_overdue_response_in_pieces_is_continued_before_a_new_one_is_started(
        self,
    ) -> None:
        now = time.monotonic()
        overdue_ticket = AdmissionTicket("export", BULK, now - 1.0, now + 5.0)
        order: list[str] = []

        async def send(message: Any) -> None:
            if message.get("body"):
                order.append(chr(message["body"][0]))

        def piece(letter: bytes, size: int) -> dict[str, Any]:
            return {"type": "http.response.body", "body": letter * size, "more_body": True}

        started_sender = ResponseSender(send, self.pacer, self.node_buffer, overdue_ticket)
        timely_ticket = AdmissionTicket("other", BULK, now + 50.0, now + 60.0)
        new_sender = ResponseSender(send, self.pacer, self.node_buffer, timely_ticket)
        await self.begin(started_sender, 20 * LONG_BYTES)
        await started_sender(piece(b"l", LONG_BYTES // 2))
        await started_sender(piece(b"l", 4 * LONG_BYTES))
        await asyncio.sleep(0)
        await self.begin(new_sender, 20 * LONG_BYTES)
        await new_sender(piece(b"f", 8 * LONG_BYTES))
        await started_sender(piece(b"l", 8 * LONG_BYTES))
        for sender in (started_sender, new_sender):
            await sender({"type": "http.response.body", "body": b""})
        await started_sender.finish()
        await new_sender.finish()
        self.assertEqual(order.index("f"), order.count("l"))

    async def test_responses_for_a_stopping_node_keep_their_own_earlier_deadlines(
        self,
    ) -> None:
        """Guards against a late response to a caller whose deadline is before its node's stop.

        All responses for a stopping node were due at its stop, so that one whose caller had 0.3 s
        left was queued behind all that had entered the queue before it.
        """
        now = time.monotonic()
        order: list[str] = []

        async def send(message: Any) -> None:
            if message.get("body"):
                order.append(chr(message["body"][0]))

        self.pacer.note_sent(10 * LONG_BODY_BYTES)  # the link is occupied, so neither starts
        senders = []
        for letter, left in ((b"p", 20.0), (b"u", 0.3)):
            ticket = AdmissionTicket("export", BULK, now + left / 2, now + left)
            sender = ResponseSender(send, self.pacer, self.node_buffer, ticket)
            await self.begin(sender, LONG_BODY_BYTES)
            await sender(
                {"type": "http.response.body", "body": letter * LONG_BODY_BYTES, "more_body": True}
            )
            senders.append(sender)
        for sender in senders:
            await sender({"type": "http.response.body", "body": b""})
        await asyncio.sleep(0)
        for sender in senders:
            sender.finish_by(now + 5.0)
        for sender in senders:
            await sender.finish()
        self.assertEqual(order[0], "u")

    async def test_an_overdue_response_is_sent_before_its_deadline_despite_new_ones(
        self,
    ) -> None:
        """Guards against overdue responses that are not sent at all before their deadlines.

        On a saturated link, a response that is longer than expected makes those behind it miss
        their objectives. The queue put overdue responses behind all that could still be in time,
        and new ones of those arrived without end: no part of the overdue ones was sent until their
        callers' deadlines passed some seconds later, although their executions had ended early.
        So overdue responses have a due time as well.
        """
        self.pacer = LinkPacer(time.monotonic, LinkScheduler(20.0))
        now = time.monotonic()
        overdue_ticket = AdmissionTicket("export", BULK, now - 0.1, now + 1.0)
        sender = ResponseSender(self.send, self.pacer, self.node_buffer, overdue_ticket)

        async def keep_coming() -> None:
            while True:
                now = time.monotonic()
                timely_ticket = AdmissionTicket("export", BULK, now + 0.3, now + 1.4)
                newer = ResponseSender(ignore, self.pacer, self.node_buffer, timely_ticket)
                await self.answer(newer, b"n" * 4 * LONG_BYTES)
                await newer.finish()

        others = [asyncio.ensure_future(keep_coming()) for _ in range(3)]
        await asyncio.sleep(0)
        await self.answer(sender, b"x" * 4 * LONG_BYTES)
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + 1.0):
                await sender.finish()
        finally:
            for other in others:
                other.cancel()
            await asyncio.gather(*others, return_exceptions=True)

    async def test_the_queue_counts_the_whole_response_once_a_piece_has_arrived(
        self,
    ) -> None:
        """Guards against admitting more requests than the link can answer by their objectives.

        A response of some hundred kilobytes arrives from its back end in pieces. Its queue entry
        counted only the first piece, while its reservation was released, so that the rest was not
        counted until that piece had been sent.
        """
        scheduler = self.pacer.scheduler
        scheduler.note_sent(RESPONSE_BUFFER_BYTES, time.monotonic())
        sender = self.make_sender()
        size = 10 * LONG_BYTES
        await self.begin(sender, size)
        for _ in range(3):
            piece = {"type": "http.response.body", "body": b"x" * 2 * LONG_BYTES}
            await sender(piece | {"more_body": True})
            await asyncio.sleep(0)
            seconds = scheduler.queue_time(BULK, time.monotonic() + 60.0)
            self.assertAlmostEqual(seconds * scheduler.bytes_per_second, size, delta=1)
        sender.close()

    async def test_a_response_of_unknown_length_counts_with_the_usual_length_until_complete(
        self,
    ) -> None:
        scheduler = self.pacer.scheduler
        scheduler.note_answer_size("export", 10 * LONG_BYTES)
        scheduler.note_sent(RESPONSE_BUFFER_BYTES, time.monotonic())
        sender = self.make_sender()
        sender.reserve()
        await sender({"type": "http.response.start", "status": 200, "headers": []})
        piece = {"type": "http.response.body", "body": b"x" * 2 * LONG_BYTES}
        await sender(piece | {"more_body": True})
        await asyncio.sleep(0)
        seconds = scheduler.queue_time(BULK, time.monotonic() + 60.0)
        self.assertAlmostEqual(seconds * scheduler.bytes_per_second, 10 * LONG_BYTES, delta=1)
        await sender({"type": "http.response.body", "body": b""})
        await sender.finish()
        self.assertEqual(len(self.body()), 2 * LONG_BYTES)
        self.assertEqual(scheduler.queue_time(BULK, time.monotonic() + 60.0), 0.0)

    async def test_a_back_end_slower_than_the_link_delays_no_other_response(self) -> None:
        slow, fast = self.make_sender(), self.make_sender("other")
        await self.begin(slow, 4 * LONG_BYTES)
        part = {"type": "http.response.body", "body": b"s" * 2 * LONG_BYTES, "more_body": True}
        await slow(part)
        await asyncio.sleep(0.02)
        await self.answer(fast, b"q" * 2 * LONG_BYTES)
        async with asyncio.timeout(1.0):
            await fast.finish()
        self.assertEqual(self.body().count(b"q"), 2 * LONG_BYTES)
        slow.close()
        self.assertEqual(self.node_buffer.byte_count, 0)

    async def test_the_buffer_of_a_very_long_response_is_limited(self) -> None:
        sender = self.make_sender()
        max_buffered = 0
        part = b"x" * (RESPONSE_BUFFER_BYTES // 2)
        await self.begin(sender, 4 * len(part))
        for _ in range(4):
            await sender({"type": "http.response.body", "body": part, "more_body": True})
            max_buffered = max(max_buffered, self.node_buffer.byte_count)
        await sender({"type": "http.response.body", "body": b""})
        await sender.finish()
        self.assertLessEqual(max_buffered, RESPONSE_BUFFER_BYTES + len(part))
        self.assertEqual(len(self.body()), 4 * len(part))

    async def test_a_reservation_counts_until_the_response_is_sent_or_abandoned(self) -> None:
        scheduler = self.pacer.scheduler
        scheduler.note_answer_size("export", RESPONSE_BUFFER_BYTES)
        base_time = scheduler.delivery_time("export", BULK, time.monotonic())
        sent, abandoned = self.make_sender(), self.make_sender()
        sent.reserve()
        abandoned.reserve()
        self.assertAlmostEqual(
            scheduler.delivery_time("export", BULK, time.monotonic()), 3 * base_time
        )
        abandoned.close()
        await self.answer(sent, b"x" * LONG_BYTES, b"x" * LONG_BYTES)
        await sent.finish()
        sent.close()
        after = scheduler.delivery_time("export", BULK, time.monotonic() + 1.0)
        self.assertLess(after, 1.01 * base_time)

    async def test_nothing_stays_counted_however_responses_end(
        self,
    ) -> None:
        for seed in range(30):
            rng = random.Random(seed)
            self.pacer.scheduler.note_answer_size("export", 5 * LONG_BYTES)
            await asyncio.gather(*(self.end_at_random(rng) for _ in range(8)))
            scheduler = self.pacer.scheduler
            self.assertEqual(
                (scheduler._queue, self.node_buffer.byte_count), ([], 0), f"seed {seed}"
            )
            self.assertLess(sum(scheduler._reserved_bytes.values()), 0.001, f"seed {seed}")

    async def end_at_random(self, rng: random.Random) -> None:
        """End a response at random: refused, broken off, abandoned during sending, or complete."""
        sender = self.make_sender()
        sender.reserve()
        pieces = rng.randrange(5)
        announced = [(b"content-length", b"%d" % (4 * LONG_BYTES))] if rng.random() < 0.5 else []
        try:
            async with asyncio.timeout(rng.uniform(0.0, 0.02)):
                await asyncio.sleep(rng.uniform(0.0, 0.005))
                head = {"type": "http.response.start", "status": 200, "headers": announced}
                await sender(head)
                for _ in range(pieces):
                    piece = {"type": "http.response.body", "body": b"x" * LONG_BYTES}
                    await sender(piece | {"more_body": True})
                    await asyncio.sleep(rng.uniform(0.0, 0.002))
                if rng.random() < 0.5:
                    await sender({"type": "http.response.body", "body": b""})
                    await sender.finish()
        except TimeoutError:
            pass
        finally:
            sender.close()
        await asyncio.sleep(0)

    async def test_an_abandoned_response_leaves_the_queue(self) -> None:
        first, second = self.make_sender(), self.make_sender()
        size = RESPONSE_BUFFER_BYTES // 2
        for sender, letter in ((first, b"f"), (second, b"s")):
            await self.answer(sender, letter * (LONG_BYTES + 1), letter * (size - LONG_BYTES - 1))
        finishing = asyncio.create_task(first.finish())
        await asyncio.sleep(0)
        finishing.cancel()
        await asyncio.gather(finishing, return_exceptions=True)
        first.close()
        sent = self.body().count(b"f")
        self.assertLess(sent, size)
        await second.finish()
        self.assertEqual(self.body().count(b"f"), sent)
        self.assertEqual(self.body().replace(b"f", b""), b"s" * size)
        self.assertEqual(self.node_buffer.byte_count, 0)


class PathTest(GatewayTestCase):
    """A back end with one slot sends long and short responses over a link of 4 Mbit/s."""

    async def start_path(self) -> str:
        async def script(reader: Any, writer: Any, head: str) -> bool:
            size = LONG_BODY_BYTES if head.startswith("get /long") else 2
            writer.write(answer_bytes(b"x" * size, b"x-call: " + header(head, "x-call").encode()))
            return True

        address = await self.start_fleet(script, slots=1)
        gateway = self.gateways[0]
        pacer = LinkPacer(time.monotonic, LinkScheduler(4.0))
        gateway._context = msgspec.structs.replace(gateway._context, pacer=pacer)
        return address

    async def test_a_long_response_delays_neither_the_slot_nor_short_responses(self) -> None:
        address = await self.start_path()
        started_at = time.monotonic()
        long = asyncio.create_task(raw_call(address, get("/long")))
        await asyncio.sleep(0.05)
        short = await raw_call(address, get("/short"))
        self.assertEqual((short.status, short.body), (200, b"xx"))
        self.assertFalse(long.done())
        answer = await long
        self.assertEqual(answer.body, b"x" * LONG_BODY_BYTES)
        self.assertGreater(time.monotonic() - started_at, 0.3)

    async def test_a_response_that_would_be_sent_too_late_is_refused_before_it_runs(self) -> None:
        address = await self.start_path()
        scheduler = self.gateways[0]._context.pacer.scheduler  # type: ignore[union-attr]
        scheduler.note_answer_size("lookup", 50_000_000)
        answer = await raw_call(address, get("/long"))
        self.assert_refused(answer, 503, "not-run")
        self.assertEqual(self.heads, [])

    async def test_a_stopping_gateway_refuses_what_the_link_would_delay_beyond_its_stop(
        self,
    ) -> None:
        address = await self.start_path()
        self.assertEqual((await raw_call(address, get("/long"))).status, 200)
        self.gateways[0].start_leaving(3.0)
        self.assertEqual((await raw_call(address, get("/short"))).status, 200)
        scheduler = self.gateways[0]._context.pacer.scheduler  # type: ignore[union-attr]
        scheduler.note_sent(600_000, time.monotonic())
        self.assert_refused(await raw_call(address, get("/short")), 503, "not-run")


def get(path: str) -> bytes:
    return request_bytes("GET", path, headers=("x-call: call-1", "x-left: 4000"))


if __name__ == "__main__":
    unittest.main()
