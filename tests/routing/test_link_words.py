"""Senders take a back end whose node's link is free, as far as gateways have told them."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.core.machines import MachineList
from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.backend import Backend, LoadReport
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.routing.link_words import (
    MAX_REPORTED_MS,
    MILLISECONDS_PER_SECOND,
    LinkReport,
    format_link_report,
    parse_link_report,
)
from pewtertack.routing.queueing import Ticket
from tests.routing.samples import route, service
from tests.routing.test_gateway_choice import gated

OWN = 0.15
"""Seconds that a long answer takes a link alone."""
RUN = 0.1
OBJECTIVE = 2.0


class WordTest(unittest.TestCase):
    @given(st.floats(0.0, 100.0), st.floats(0.0, 100.0))
    def test_what_is_told_is_understood(self, ahead: float, own: float) -> None:
        told = format_link_report(ahead, own)
        if told is None:
            self.assertLess(max(ahead, own), 1 / MILLISECONDS_PER_SECOND)
            return
        word = parse_link_report(told)
        assert word is not None
        longest = MAX_REPORTED_MS / MILLISECONDS_PER_SECOND
        self.assertAlmostEqual(
            word.queue_seconds, min(ahead, longest), delta=1 / MILLISECONDS_PER_SECOND
        )
        self.assertAlmostEqual(
            word.transfer_seconds, min(own, longest), delta=1 / MILLISECONDS_PER_SECOND
        )

    def test_an_idle_link_of_a_route_of_short_answers_is_told_nothing_of(self) -> None:
        self.assertIsNone(format_link_report(0.0, 0.0))

    def test_what_makes_no_sense_is_no_word(self) -> None:
        for text in ("", "/", "5", "5/", "/5", "-1/5", "1.5/5", "5/5/5", "x/5", "٣/5", "10001/0"):
            with self.subTest(text):
                self.assertIsNone(parse_link_report(text))

    @given(st.text(max_size=20))
    def test_no_text_is_too_strange(self, text: str) -> None:
        word = parse_link_report(text)
        if word is not None:
            self.assertLessEqual(
                max(word.queue_seconds, word.transfer_seconds),
                MAX_REPORTED_MS / MILLISECONDS_PER_SECOND,
            )


class FirstOfEquals(Random):
    """Draws what takes the first of those that are alike."""

    def random(self) -> float:
        return 0.0


class LinkChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.begin()

    def begin(self) -> None:
        """Know nothing of any back end."""
        self.made = Dispatcher(FirstOfEquals())
        self.made.use_zone("ikeja")

    def use(self, *names: str, far: tuple[str, ...] = ()) -> Dispatcher:
        near = [gated(name) for name in names]
        others = [gated(name, zone="yaba") for name in far]
        self.made.use_machines(MachineList(2, (*near, *others)), self.now)
        return self.made

    def submit(self, name: str = "export") -> Ticket:
        wanted = Ticket(route(name, target_latency=OBJECTIVE), service(), self.now + 6.0)
        self.made.submit(wanted, self.now)
        return wanted

    def chosen(self, name: str = "export") -> str:
        ticket = self.submit(name)
        self.made.finish(ticket, self.now, AttemptResult.CANCELLED)
        assert ticket.backend is not None
        return ticket.backend.name

    def tell(self, name: str, ahead: float, own: float = OWN) -> None:
        """Have the back end's gateway tell of its link, with the answer to a request there."""
        ticket = Ticket(route("export", target_latency=OBJECTIVE), service(), self.now + 6.0)
        ticket.started_at = self.now - RUN
        ticket.backend = next(item for item in self.backends if item.name == name)
        ticket.backend.note_start(self.now)
        self.made.service("logbook").in_flight += 1
        self.made.note_answer(ticket, self.now, LoadReport(1, 2), leaving=False)
        self.made.note_link_report(ticket, LinkReport(ahead, own), self.now, begun=True)
        self.made.finish(ticket, self.now, AttemptResult.ANSWERED)

    @property
    def backends(self) -> tuple[Backend, ...]:
        """The first is taken where nothing speaks for another."""
        self.made.service("logbook").configure(service())
        return self.made.service("logbook").backends

    def forget_links(self) -> None:
        for item in self.backends:
            item.link_free_at = 0.0

    def test_of_two_the_one_whose_link_is_free_is_taken(self) -> None:
        self.use("busy", "free")
        self.assertEqual(self.chosen(), "busy")
        self.tell("busy", 1.0)
        self.assertEqual(self.chosen(), "free")

    def test_what_is_short_does_not_look_at_links(self) -> None:
        self.use("busy", "free")
        self.tell("busy", 5.0)
        self.assertEqual(self.chosen("lookup"), "busy")

    def test_a_word_grows_old_as_fast_as_a_link_carries(self) -> None:
        self.use("busy", "free")
        self.tell("busy", 1.0)
        self.now = 1.0
        self.assertEqual([item.link_wait(self.now) for item in self.backends], [0.0, 0.0])
        self.assertEqual(self.chosen(), "busy")

    def test_a_gateway_that_dies_with_its_word_out_is_forgotten_like_any_other(self) -> None:
        self.use("busy", "free")
        self.tell("busy", MAX_REPORTED_MS / MILLISECONDS_PER_SECOND)
        self.use("free")
        self.assertEqual(self.chosen(), "free")
        self.use("busy", "free")
        self.forget_links()
        self.assertEqual(self.chosen(), "busy")

    def test_a_word_that_lies_holds_until_the_next(self) -> None:
        self.use("liar", "free")
        self.tell("liar", MAX_REPORTED_MS / MILLISECONDS_PER_SECOND)
        self.assertEqual(self.chosen(), "free")
        self.now = 0.1
        ticket = self.submit("lookup")
        ticket.backend = self.backends[0]
        self.made.note_link_report(ticket, LinkReport(0.0, OWN), self.now, begun=True)
        self.assertLess(ticket.backend.link_wait(self.now), OWN)

    def test_own_requests_count_until_the_next_word(self) -> None:
        self.use("one", "two")
        self.tell("one", 0.0)
        names = [self.submit().backend for _ in range(6)]
        self.assertEqual([sum(item is other for item in names) for other in set(names)], [3, 3])

    def test_another_zone_is_asked_where_the_own_links_would_make_it_late(self) -> None:
        for ahead, expected in ((1.0, "near"), (OBJECTIVE, "far")):
            with self.subTest(ahead):
                self.begin()
                self.use("near", far=("far",))
                self.tell("near", ahead)
                self.assertEqual(self.chosen(), expected)

    def test_where_all_links_are_full_the_own_zone_is_taken(self) -> None:
        self.use("near", far=("far",))
        self.tell("near", 2 * OBJECTIVE)
        far = self.backends[1]
        far.note_link_queue(self.now, 3 * OBJECTIVE)
        self.assertEqual(self.chosen(), "near")

    def test_a_route_whose_answers_turn_short_is_chosen_for_as_others_are(self) -> None:
        self.use("busy", "free")
        self.tell("busy", 5.0)
        self.tell("free", 0.1, own=0.0)
        self.assertEqual(self.chosen(), "busy")

    def test_a_refusal_tells_of_the_link_and_of_no_run(self) -> None:
        self.use("busy", "free")
        refused = self.submit()
        assert refused.backend is not None
        self.made.note_link_report(refused, LinkReport(1.0, OWN), self.now, begun=False)
        self.made.finish(refused, self.now, AttemptResult.REFUSED)
        self.assertEqual(refused.backend.link_wait(self.now), 1.0)
        self.assertEqual(self.made.service("logbook")._long_routes, {})


if __name__ == "__main__":
    unittest.main()
