"""A gateway's node that stops while long answers wait for their turns on its own link.

What callers saw: nothing yet; found by reading, brought about here. Answers that other nodes'
callers had been promised were cut, or answered as unknown, at the end of the gateway's node.
Order of events: back ends had answered; the whole answers were in the gateway's memory; it let
them go at its link's pace until its process ended. Cause: the line knows neither that its own
node stops nor that the system goes on sending what a process that ends has given it.
"""

import asyncio
import signal

from tests.node.processes import PATIENCE
from tests.node.test_stop_and_long_answers import DOWNLOAD, LongAnswersTest as Fleet

OTHERS = 8
"""Of which the link carries less than half until its node ends."""


class GatewayStopTest(Fleet):
    async def test_whole_answers_in_line_are_given_to_the_system_before_the_end(self) -> None:
        async with self.fleet() as (_, b, c):
            names = [f"other-{number}" for number in range(OTHERS)]
            await self.begin_until_running(c, *names)
            b.signal(signal.SIGTERM)
            answers = [await asyncio.wait_for(task, PATIENCE) for task in self.tasks]
            self.assertEqual(await b.wait_exit(), 0)
        ended = [(answer.status, len(answer.body)) for answer in answers]
        self.assertEqual(ended, [(200, DOWNLOAD)] * OTHERS)


del Fleet

if __name__ == "__main__":
    import unittest

    unittest.main()
