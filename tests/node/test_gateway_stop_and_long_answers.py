"""A gateway's node that stops while long answers stand in the line of its own link.

What callers saw: a download was cut in the middle, after more than 64 KiB, at the end of the
stop of the node beside the back end; another gateway could have given it in time. Order of
events: answers for several callers stand in the line; the node is told to stop; one answer
after the other goes on leaving, the last one begins shortly before the end and is broken off
there. Cause: the line knew of no end. A caller's node passes an answer on once it has 64 KiB
of it, so that what began too late could not be had elsewhere any more.
Evidence: the gateway's log has the back end's end within 0.1 s, the caller's node logs the cut
at the end of the gateway's stop.
"""

import signal
import unittest

import anyio

from tests.node.processes import TIMEOUT_SECONDS
from tests.node.stopping_fleet import fleet_on_narrow_links
from tests.node.test_stop_and_long_answers import LIMITS, MEGABITS, SLOTS, TREE, DownloadTestCase

SIZE = 220_000
"""The link takes 2.2 s: the second in line has begun when the gateway's stop ends, not left."""
DOWNLOADS = 8


class GatewayStopTest(DownloadTestCase):
    """Callers are at c; the nodes b, which stops, and d are each beside a back end."""

    async def test_what_the_link_can_not_carry_before_the_stop_is_had_from_another_gateway(
        self,
    ) -> None:
        self.size = SIZE
        backends = {name: await self.serve(self.backend) for name in ("b", "d")}
        fleet = fleet_on_narrow_links(TREE, backends, SLOTS, MEGABITS, LIMITS, "c")
        async with fleet as (b, _, c), self.calls_ended():
            names = [f"own-{number}" for number in range(DOWNLOADS)]
            await self.begin_until_running(c, *names)
            await anyio.sleep(0.3)
            b.signal(signal.SIGTERM)
            with anyio.fail_after(TIMEOUT_SECONDS):
                answers = [await task for task in self.tasks]
            ended = [(answer.status, len(answer.body)) for answer in answers]
            self.assertEqual(ended, [(200, SIZE)] * DOWNLOADS)
            self.assertEqual(await b.wait_exit(), 0)
            self.assertGreater(len(self.ran), DOWNLOADS)  # it was put to the test

    async def test_what_may_not_be_had_elsewhere_is_given_to_the_system_before_the_end(
        self,
    ) -> None:
        """Found by reading, brought about here: answers of requests that may not be repeated were
        cut, of which the gateway held the whole: it let them go at its link's pace until its
        process ended, while the system goes on sending what a process that ends has given it.
        """
        await self.assert_whole_from_one_gateway(repeatable=False)

    async def test_what_another_gateway_could_not_give_either_is_given_to_the_system(self) -> None:
        """What callers saw: 502 for downloads of which the stopping gateway held the whole, the
        only one of their service: five of eight, while none failed of those that may not be
        repeated. Cause: the gateway gave back what its link would not carry before the stop as
        soon as the caller's node had passed nothing on, also where that had no other to ask.
        """
        await self.assert_whole_from_one_gateway(repeatable=True)

    async def assert_whole_from_one_gateway(self, repeatable: bool) -> None:
        """Stop the only gateway while answers stand in its line; all must come whole."""
        route = TREE["routes"]["export"] | {"repeatable": repeatable}
        tree = TREE | {"routes": {"export": route}}
        backends = {"b": await self.serve(self.backend)}
        fleet = fleet_on_narrow_links(tree, backends, SLOTS, MEGABITS, LIMITS, "c")
        async with fleet as (b, c), self.calls_ended():
            await self.begin_until_running(c, *(f"own-{number}" for number in range(DOWNLOADS)))
            b.signal(signal.SIGTERM)
            with anyio.fail_after(TIMEOUT_SECONDS):
                answers = [await task for task in self.tasks]
            ended = [(answer.status, len(answer.body)) for answer in answers]
            self.assertEqual(ended, [(200, self.size)] * DOWNLOADS)
            self.assertEqual(await b.wait_exit(), 0)


if __name__ == "__main__":
    unittest.main()
