"""Long answers are held until their turn on the link; short ones are not."""

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

MEGABITS = 100.0
BULK = (2, 0)
LONG_BODY = 200_000


async def ignore(message: Any) -> None:
    """Take what is sent."""


class SenderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.sent: list[Any] = []
        self.held = BufferedBytes()
        self.pacer = LinkPacer(time.monotonic, LinkScheduler(MEGABITS))

    def make(self, route: str = "export") -> ResponseSender:
        now = time.monotonic()
        ticket = AdmissionTicket(route, BULK, now + 1.0, now + 5.0)
        return ResponseSender(self.send, self.pacer, self.held, ticket)

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

    async def test_a_short_answer_leaves_at_once(self) -> None:
        sender = self.make()
        await self.begin(sender, LONG_BYTES)
        await sender({"type": "http.response.body", "body": b"x" * LONG_BYTES})
        self.assertEqual(len(self.sent), 2)
        await sender.finish()
        self.assertEqual(len(self.sent), 2)

    async def test_a_long_answer_is_taken_at_once_and_leaves_in_its_turn(self) -> None:
        data = bytes(index % 251 for index in range(5 * LONG_BYTES))
        sender = self.make()
        await self.answer(sender, data[:LONG_BYTES], data[LONG_BYTES:])
        self.assertLess(len(self.body()), len(data))
        self.assertEqual(self.held.byte_count, len(data) - len(self.body()))
        await sender.finish()
        self.assertEqual(self.body(), data)
        self.assertFalse(self.sent[-1].get("more_body", False))
        self.assertEqual(self.held.byte_count, 0)

    async def test_an_answer_counts_from_its_promise_to_its_place_in_line_without_a_gap(
        self,
    ) -> None:
        """What callers saw: 502 for a download that came while a node stopped, in place of 503.

        Order of events: answers for it had come, and in the same turn of the loop one more request
        was admitted, as if nobody took the link; it could not leave before the node's end and was
        given back. Cause: what had been promised was taken back when the answer came, and it got
        its place in line a turn later. Evidence: the gateway's log tells a request that came just
        after two others "left 1684 ms", as the first, and not -316.
        """
        size = 50 * LONG_BYTES
        share = self.pacer.scheduler
        share.note_answer_size("export", size)
        sender = self.make()
        sender.reserve()
        own = share.transfer_time("export")
        self.assertAlmostEqual(share.queue_time(BULK, time.monotonic()), own, delta=0.001)
        await self.begin(sender, size)
        for _ in range(size // LONG_BYTES):
            part = {"type": "http.response.body", "body": b"x" * LONG_BYTES, "more_body": True}
            await sender(part)
            ahead = share.queue_time(BULK, time.monotonic())
            self.assertGreater(ahead, own * 0.9 - LONG_BYTES / share.bytes_per_second)
            if len(self.sent) > 4:
                break
        sender.close()
        await asyncio.sleep(0.01)
        self.assertEqual(share.queue_time(BULK, time.monotonic() + 1.0), 0.0)

    async def test_a_long_answer_that_comes_whole_with_its_head_takes_its_turn(self) -> None:
        data = bytes(index % 251 for index in range(3 * LONG_BYTES))
        sender = self.make()
        head = {"type": "http.response.start", "status": 200, "headers": [], WHOLE_BODY: data}
        await sender(head)
        self.assertNotIn(WHOLE_BODY, self.sent[0])
        self.assertEqual(self.held.byte_count, len(data) - len(self.body()))
        await sender.finish()
        self.assertEqual(self.body(), data)
        self.assertGreater(self.pacer.delivery_time("export", BULK), 0.0)

    async def test_a_short_answer_that_comes_whole_with_its_head_leaves_with_it(self) -> None:
        sender = self.make()
        data = b"x" * LONG_BYTES
        await sender(
            {"type": "http.response.start", "status": 200, "headers": [], WHOLE_BODY: data}
        )
        await sender.finish()
        self.assertEqual([message.get(WHOLE_BODY) for message in self.sent], [data])

    async def test_what_comes_bit_by_bit_is_passed_on_bit_by_bit(self) -> None:
        sender = self.make()
        await sender({"type": "http.response.start", "status": 200, "headers": []})
        came = 0
        for size in (10, 2 * LONG_BYTES, 20, 30):
            part = {"type": "http.response.body", "body": b"x" * size, "more_body": True}
            await sender(part)
            came += size
            await asyncio.sleep(0.02)
            self.assertEqual(len(self.body()), came)
        await sender({"type": "http.response.body", "body": b""})
        await sender.finish()
        self.assertEqual(len(self.body()), came)
        self.assertEqual(sum(not item.get("more_body", False) for item in self.sent[1:]), 1)
        self.assertEqual(self.pacer.delivery_time("export", BULK), 0.0)

    async def test_a_late_answer_that_comes_in_pieces_goes_on_before_one_that_has_not_begun(
        self,
    ) -> None:
        now = time.monotonic()
        late = AdmissionTicket("export", BULK, now - 1.0, now + 5.0)
        order: list[str] = []

        async def send(message: Any) -> None:
            if message.get("body"):
                order.append(chr(message["body"][0]))

        def piece(letter: bytes, size: int) -> dict[str, Any]:
            return {"type": "http.response.body", "body": letter * size, "more_body": True}

        begun = ResponseSender(send, self.pacer, self.held, late)
        timely = AdmissionTicket("other", BULK, now + 50.0, now + 60.0)
        fresh = ResponseSender(send, self.pacer, self.held, timely)
        await self.begin(begun, 20 * LONG_BYTES)
        await begun(piece(b"l", LONG_BYTES // 2))
        await begun(piece(b"l", 4 * LONG_BYTES))
        await asyncio.sleep(0)
        await self.begin(fresh, 20 * LONG_BYTES)
        await fresh(piece(b"f", 8 * LONG_BYTES))
        await begun(piece(b"l", 8 * LONG_BYTES))
        for sender in (begun, fresh):
            await sender({"type": "http.response.body", "body": b""})
        await begun.finish()
        await fresh.finish()
        self.assertEqual(order.index("f"), order.count("l"))

    async def test_answers_for_a_node_that_stops_keep_their_own_ends_where_those_are_earlier(
        self,
    ) -> None:
        """Found by reading, brought about here: all for one node were due at its end, so that one
        whose caller had 0.3 s left went behind all that had entered the line before it.
        """
        now = time.monotonic()
        order: list[str] = []

        async def send(message: Any) -> None:
            if message.get("body"):
                order.append(chr(message["body"][0]))

        self.pacer.note_sent(10 * LONG_BODY)  # the link is taken: neither begins
        senders = []
        for letter, left in ((b"p", 20.0), (b"u", 0.3)):
            ticket = AdmissionTicket("export", BULK, now + left / 2, now + left)
            sender = ResponseSender(send, self.pacer, self.held, ticket)
            await self.begin(sender, LONG_BODY)
            await sender(
                {"type": "http.response.body", "body": letter * LONG_BODY, "more_body": True}
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

    async def test_a_late_answer_leaves_before_its_deadline_though_others_keep_coming(
        self,
    ) -> None:
        """Callers of downloads got nothing until their deadline, though the run had ended soon.

        Where a link is asked for all it can carry, its line is always so long that an answer
        which proves longer than reckoned makes those behind it late. Each newer one that could
        still be in time went before the late ones, and newer ones came without end: the late
        waited with no part sent until their callers' time was over, some seconds later.

        Cause: the line's order put what was late behind all that was not, for good. Evidence:
        of the answers that a back end had given and no caller got, none had sent a part; their
        lines were full all that time, with answers that had come later; and with the time by
        which a late one is due as the only change, all of them arrived.
        """
        self.pacer = LinkPacer(time.monotonic, LinkScheduler(20.0))
        now = time.monotonic()
        late = AdmissionTicket("export", BULK, now - 0.1, now + 1.0)
        sender = ResponseSender(self.send, self.pacer, self.held, late)

        async def keep_coming() -> None:
            while True:
                now = time.monotonic()
                timely = AdmissionTicket("export", BULK, now + 0.3, now + 1.4)
                newer = ResponseSender(ignore, self.pacer, self.held, timely)
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

    async def test_the_line_reckons_with_all_of_an_answer_of_which_a_piece_has_come(
        self,
    ) -> None:
        """Requests were taken that the link could not answer in time, and their answers came late.

        An answer of some hundred kilobytes comes from its back end in pieces. Its place in the
        line told the length of the piece that had come first, while what it was reckoned with
        before was taken back: until the piece had left, nobody knew of the rest, and a gateway
        took more requests than its link could answer by their objectives. Evidence: what gateways
        reckoned beside the time that each answer took, and fewer late ones with this alone changed.
        """
        share = self.pacer.scheduler
        share.note_sent(RESPONSE_BUFFER_BYTES, time.monotonic())
        sender = self.make()
        size = 10 * LONG_BYTES
        await self.begin(sender, size)
        for _ in range(3):
            piece = {"type": "http.response.body", "body": b"x" * 2 * LONG_BYTES}
            await sender(piece | {"more_body": True})
            await asyncio.sleep(0)
            seconds = share.queue_time(BULK, time.monotonic() + 60.0)
            self.assertAlmostEqual(seconds * share.bytes_per_second, size, delta=1)
        sender.close()

    async def test_an_answer_of_unknown_length_is_reckoned_with_as_usual_until_it_is_whole(
        self,
    ) -> None:
        share = self.pacer.scheduler
        share.note_answer_size("export", 10 * LONG_BYTES)
        share.note_sent(RESPONSE_BUFFER_BYTES, time.monotonic())
        sender = self.make()
        sender.reserve()
        await sender({"type": "http.response.start", "status": 200, "headers": []})
        piece = {"type": "http.response.body", "body": b"x" * 2 * LONG_BYTES}
        await sender(piece | {"more_body": True})
        await asyncio.sleep(0)
        seconds = share.queue_time(BULK, time.monotonic() + 60.0)
        self.assertAlmostEqual(seconds * share.bytes_per_second, 10 * LONG_BYTES, delta=1)
        await sender({"type": "http.response.body", "body": b""})
        await sender.finish()
        self.assertEqual(len(self.body()), 2 * LONG_BYTES)
        self.assertEqual(share.queue_time(BULK, time.monotonic() + 60.0), 0.0)

    async def test_a_back_end_slower_than_the_link_holds_nobody_up(self) -> None:
        slow, quick = self.make(), self.make("other")
        await self.begin(slow, 4 * LONG_BYTES)
        part = {"type": "http.response.body", "body": b"s" * 2 * LONG_BYTES, "more_body": True}
        await slow(part)
        await asyncio.sleep(0.02)
        await self.answer(quick, b"q" * 2 * LONG_BYTES)
        async with asyncio.timeout(1.0):
            await quick.finish()
        self.assertEqual(self.body().count(b"q"), 2 * LONG_BYTES)
        slow.close()
        self.assertEqual(self.held.byte_count, 0)

    async def test_of_a_very_long_answer_little_is_held(self) -> None:
        sender = self.make()
        most = 0
        part = b"x" * (RESPONSE_BUFFER_BYTES // 2)
        await self.begin(sender, 4 * len(part))
        for _ in range(4):
            await sender({"type": "http.response.body", "body": part, "more_body": True})
            most = max(most, self.held.byte_count)
        await sender({"type": "http.response.body", "body": b""})
        await sender.finish()
        self.assertLessEqual(most, RESPONSE_BUFFER_BYTES + len(part))
        self.assertEqual(len(self.body()), 4 * len(part))

    async def test_what_is_to_come_is_reckoned_with_until_it_is_sent_or_given_up(self) -> None:
        share = self.pacer.scheduler
        share.note_answer_size("export", RESPONSE_BUFFER_BYTES)
        alone = share.delivery_time("export", BULK, time.monotonic())
        sent, given_up = self.make(), self.make()
        sent.reserve()
        given_up.reserve()
        self.assertAlmostEqual(share.delivery_time("export", BULK, time.monotonic()), 3 * alone)
        given_up.close()
        await self.answer(sent, b"x" * LONG_BYTES, b"x" * LONG_BYTES)
        await sent.finish()
        sent.close()
        after = share.delivery_time("export", BULK, time.monotonic() + 1.0)
        self.assertLess(after, 1.01 * alone)

    async def test_whatever_becomes_of_answers_nothing_of_them_is_reckoned_with_for_good(
        self,
    ) -> None:
        for seed in range(30):
            chance = random.Random(seed)
            self.pacer.scheduler.note_answer_size("export", 5 * LONG_BYTES)
            await asyncio.gather(*(self.some_end(chance) for _ in range(8)))
            share = self.pacer.scheduler
            self.assertEqual((share._queue, self.held.byte_count), ([], 0), f"seed {seed}")
            self.assertLess(sum(share._reserved_bytes.values()), 0.001, f"seed {seed}")

    async def some_end(self, chance: random.Random) -> None:
        """Take an answer to some end: refused, broken off, given up while it is sent, whole."""
        sender = self.make()
        sender.reserve()
        pieces = chance.randrange(5)
        announced = [(b"content-length", b"%d" % (4 * LONG_BYTES))] if chance.random() < 0.5 else []
        try:
            async with asyncio.timeout(chance.uniform(0.0, 0.02)):
                await asyncio.sleep(chance.uniform(0.0, 0.005))
                head = {"type": "http.response.start", "status": 200, "headers": announced}
                await sender(head)
                for _ in range(pieces):
                    piece = {"type": "http.response.body", "body": b"x" * LONG_BYTES}
                    await sender(piece | {"more_body": True})
                    await asyncio.sleep(chance.uniform(0.0, 0.002))
                if chance.random() < 0.5:
                    await sender({"type": "http.response.body", "body": b""})
                    await sender.finish()
        except TimeoutError:
            pass
        finally:
            sender.close()
        await asyncio.sleep(0)

    async def test_one_that_is_given_up_leaves_the_line(self) -> None:
        first, second = self.make(), self.make()
        size = RESPONSE_BUFFER_BYTES // 2
        for sender, letter in ((first, b"f"), (second, b"s")):
            await self.answer(sender, letter * (LONG_BYTES + 1), letter * (size - LONG_BYTES - 1))
        going = asyncio.create_task(first.finish())
        await asyncio.sleep(0)
        going.cancel()
        await asyncio.gather(going, return_exceptions=True)
        first.close()
        sent = self.body().count(b"f")
        self.assertLess(sent, size)
        await second.finish()
        self.assertEqual(self.body().count(b"f"), sent)
        self.assertEqual(self.body().replace(b"f", b""), b"s" * size)
        self.assertEqual(self.held.byte_count, 0)


class PathTest(GatewayTestCase):
    """A back end with one slot answers long or short, over a link of 4 Mbit/s."""

    async def start(self) -> str:
        async def script(reader: Any, writer: Any, head: str) -> bool:
            size = LONG_BODY if head.startswith("get /long") else 2
            writer.write(answer_bytes(b"x" * size, b"x-call: " + header(head, "x-call").encode()))
            return True

        address = await self.start_fleet(script, slots=1)
        gateway = self.gateways[0]
        pacer = LinkPacer(time.monotonic, LinkScheduler(4.0))
        gateway._context = msgspec.structs.replace(gateway._context, pacer=pacer)
        return address

    async def test_a_long_answer_holds_neither_the_slot_nor_what_is_short(self) -> None:
        address = await self.start()
        began = time.monotonic()
        long = asyncio.create_task(raw_call(address, get("/long")))
        await asyncio.sleep(0.05)
        short = await raw_call(address, get("/short"))
        self.assertEqual((short.status, short.body), (200, b"xx"))
        self.assertFalse(long.done())
        answer = await long
        self.assertEqual(answer.body, b"x" * LONG_BODY)
        self.assertGreater(time.monotonic() - began, 0.3)

    async def test_one_that_would_leave_too_late_is_refused_before_it_runs(self) -> None:
        address = await self.start()
        share = self.gateways[0]._context.pacer.scheduler  # type: ignore[union-attr]
        share.note_answer_size("lookup", 50_000_000)
        answer = await raw_call(address, get("/long"))
        self.assert_refused(answer, 503, "not-run")
        self.assertEqual(self.heads, [])

    async def test_a_gateway_that_stops_takes_no_answer_that_the_link_delays_beyond_it(
        self,
    ) -> None:
        address = await self.start()
        self.assertEqual((await raw_call(address, get("/long"))).status, 200)
        self.gateways[0].start_leaving(3.0)
        self.assertEqual((await raw_call(address, get("/short"))).status, 200)
        share = self.gateways[0]._context.pacer.scheduler  # type: ignore[union-attr]
        share.note_sent(600_000, time.monotonic())
        self.assert_refused(await raw_call(address, get("/short")), 503, "not-run")


def get(path: str) -> bytes:
    return request_bytes("GET", path, headers=("x-call: call-1", "x-left: 4000"))


if __name__ == "__main__":
    unittest.main()
