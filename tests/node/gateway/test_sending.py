"""Long answers are held until their turn on the link; short ones are not."""

import asyncio
import time
import unittest
from typing import Any

from pewtertack.node.gateway.sending import HELD_BYTES, AnswerSender, HeldBytes
from pewtertack.node.pacing import LinkPacer
from pewtertack.routing.link import LONG_BYTES, LinkShare
from pewtertack.routing.places import AdmissionTicket

MEGABITS = 100.0
BULK = (2, 0)


class SenderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.sent: list[Any] = []
        self.held = HeldBytes()
        self.pacer = LinkPacer(time.monotonic, LinkShare(MEGABITS))

    def make(self, route: str = "export") -> AnswerSender:
        now = time.monotonic()
        ticket = AdmissionTicket(route, BULK, now + 1.0, now + 5.0)
        return AnswerSender(self.send, self.pacer, self.held, ticket)

    async def send(self, message: Any) -> None:
        self.sent.append(message)

    async def answer(self, sender: AnswerSender, *parts: bytes) -> None:
        await sender({"type": "http.response.start", "status": 200, "headers": []})
        for part in parts:
            await sender({"type": "http.response.body", "body": part, "more_body": True})
        await sender({"type": "http.response.body", "body": b""})

    def body(self) -> bytes:
        return b"".join(message.get("body", b"") for message in self.sent)

    async def test_a_short_answer_leaves_at_once(self) -> None:
        sender = self.make()
        await sender({"type": "http.response.start", "status": 200, "headers": []})
        await sender({"type": "http.response.body", "body": b"x" * LONG_BYTES})
        self.assertEqual(len(self.sent), 2)
        await sender.finish()
        self.assertEqual(len(self.sent), 2)

    async def test_a_long_answer_is_taken_at_once_and_leaves_in_its_turn(self) -> None:
        data = bytes(index % 251 for index in range(5 * LONG_BYTES))
        sender = self.make()
        await self.answer(sender, data[:LONG_BYTES], data[LONG_BYTES:])
        self.assertEqual(self.sent, [])
        self.assertEqual(self.held.count, len(data))
        await sender.finish()
        self.assertEqual(self.body(), data)
        self.assertEqual(self.sent[0]["type"], "http.response.start")
        self.assertFalse(self.sent[-1].get("more_body", False))
        self.assertEqual(self.held.count, 0)

    async def test_an_answer_of_unknown_length_may_turn_out_short(self) -> None:
        sender = self.make()
        await self.answer(sender, b"x" * 10)
        await sender.finish()
        self.assertEqual(self.body(), b"x" * 10)

    async def test_of_a_very_long_answer_little_is_held(self) -> None:
        sender = self.make()
        most = 0
        await sender({"type": "http.response.start", "status": 200, "headers": []})
        for _ in range(4):
            part = b"x" * (HELD_BYTES // 2)
            await sender({"type": "http.response.body", "body": part, "more_body": True})
            most = max(most, self.held.count)
        await sender({"type": "http.response.body", "body": b""})
        await sender.finish()
        self.assertLessEqual(most, HELD_BYTES)
        self.assertEqual(len(self.body()), 2 * HELD_BYTES)

    async def test_what_is_to_come_is_reckoned_with_until_it_is_sent_or_given_up(self) -> None:
        share = self.pacer.share
        share.note_answer("export", HELD_BYTES)
        alone = share.answer_time("export", BULK, time.monotonic())
        sent, given_up = self.make(), self.make()
        sent.promise()
        given_up.promise()
        self.assertAlmostEqual(share.answer_time("export", BULK, time.monotonic()), 3 * alone)
        given_up.forget()
        await self.answer(sent, b"x" * LONG_BYTES, b"x" * LONG_BYTES)
        await sent.finish()
        sent.forget()
        after = share.answer_time("export", BULK, time.monotonic() + 1.0)
        self.assertLess(after, 1.01 * alone)

    async def test_one_that_is_given_up_leaves_the_line(self) -> None:
        first, second = self.make(), self.make()
        data = b"x" * (HELD_BYTES // 2)
        for sender in (first, second):
            await self.answer(sender, data[: LONG_BYTES + 1], data[LONG_BYTES + 1 :])
        going = asyncio.create_task(first.finish())
        await asyncio.sleep(0)
        going.cancel()
        await asyncio.gather(going, return_exceptions=True)
        first.forget()
        self.sent.clear()
        await second.finish()
        self.assertEqual(self.body(), data)
        self.assertEqual(self.held.count, 0)


if __name__ == "__main__":
    unittest.main()
