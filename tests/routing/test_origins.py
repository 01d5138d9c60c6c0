"""Who calls a route: what a gateway finds out, and what senders believe."""

import unittest
from collections.abc import Iterable
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from pewtertack.routing.origins import (
    BELIEF_SECONDS,
    CONTACT_SECONDS,
    MAX_ROUTES,
    AdvertisedOrigins,
    Origin,
    OriginDetector,
    origin_detector_for,
)
from pewtertack.routing.policies import NestedCallPolicy, Policies

NEAR = {"ledger": 12, "desk": 4}


def watch(near: dict[str, int] | None = None) -> OriginDetector:
    made = OriginDetector()
    made.use_machines(near or NEAR, 2)
    return made


def arrive(
    made: OriginDetector, route: str, services: Iterable[str], start: float = 0.0, gap: float = 0.02
) -> float:
    """Let requests of the route come from machines of the services; return when the last did."""
    now = start
    for service in services:
        made.note(route, service, now)
        now += gap
    return now


def callers(count: int, seed: int = 1) -> list[str]:
    """Return the services of machines on which callers sit, drawn by their numbers."""
    return Random(seed).choices(list(NEAR), list(NEAR.values()), k=count)


def mixed(made: OriginDetector, count: int, seed: int = 1) -> None:
    """Let callers' requests come, and calls of the ledger's back ends between them."""
    for index, service in enumerate(callers(count, seed)):
        made.note("verify", service, index * 0.02)
        made.note("fee", "ledger", index * 0.02)


class WatchTest(unittest.TestCase):
    def test_a_route_that_back_ends_of_one_service_call_is_found_out(self) -> None:
        made = watch()
        mixed(made, 60)
        self.assertIs(made.origin("fee"), Origin.BACK_ENDS)
        self.assertIs(made.origin("verify"), Origin.CALLERS)
        self.assertEqual(made.nested_routes(), ["fee"])

    def test_nothing_is_said_before_ten_requests_were_to_be_expected(self) -> None:
        made = watch()
        mixed(made, 39)
        self.assertIsNone(made.origin("fee"))

    def test_one_request_of_a_silent_service_speaks_against_it(self) -> None:
        made = watch()
        arrive(made, "verify", ["desk"])
        arrive(made, "fee", ["ledger"] * 39 + ["desk"] + ["ledger"] * 30)
        self.assertIsNot(made.origin("fee"), Origin.BACK_ENDS)

    def test_callers_that_come_after_all_change_the_verdict(self) -> None:
        made = watch()
        mixed(made, 300)
        for index, service in enumerate(callers(60, seed=2)):
            made.note("fee", service, 6.0 + index * 0.02)
        self.assertIs(made.origin("fee"), Origin.CALLERS)

    def test_nothing_is_expected_of_a_service_that_is_cut_off(self) -> None:
        made = watch()
        end = arrive(made, "verify", callers(400))
        arrive(made, "verify", ["ledger"] * 3000, start=end + CONTACT_SECONDS)
        self.assertIsNot(made.origin("verify"), Origin.BACK_ENDS)

    def test_nothing_is_expected_of_a_service_without_machines_near(self) -> None:
        made = watch({"ledger": 5})
        arrive(made, "fee", ["ledger"] * 500)
        self.assertIsNone(made.origin("fee"))

    def test_an_empty_list_says_nothing_of_any_route(self) -> None:
        made = OriginDetector()
        made.use_machines({}, 0)
        arrive(made, "fee", ["ledger"] * 100)
        self.assertIsNone(made.origin("fee"))
        self.assertTrue(made.is_nested("fee", believed=True))

    def test_senders_without_a_service_near_say_nothing_of_those_near(self) -> None:
        made = watch()
        mixed(made, 60)
        arrive(made, "entrance", [""] * 200, 1.2)
        self.assertIsNone(made.origin("entrance"))

    def test_a_service_that_has_left_the_list_is_forgotten(self) -> None:
        made = watch()
        mixed(made, 60)
        made.use_machines({"ledger": 12}, 1)
        made.note("fee", "ledger", 2.0)
        self.assertIs(made.origin("fee"), Origin.CALLERS)

    def test_the_routes_kept_are_bounded_and_the_one_idle_longest_goes(self) -> None:
        made = watch()
        mixed(made, 60)
        for index in range(MAX_ROUTES - 1):
            made.note(f"r{index}", "desk", 2.0)
        self.assertIs(made.origin("fee"), Origin.BACK_ENDS)
        made.note("one-more", "desk", 2.0)
        made.note("and-another", "desk", 2.0)
        self.assertIsNone(made.origin("verify"))

    def test_a_change_is_news_once(self) -> None:
        made = watch()
        arrive(made, "verify", ["desk"])
        news = [made.note("fee", "ledger", index * 0.01) for index in range(100)]
        self.assertEqual(news.count(True), 1)

    def test_the_watch_outweighs_what_a_sender_believes_and_tells_it_so(self) -> None:
        made = watch()
        self.assertEqual((made.is_nested("fee", True), made.is_nested("fee", False)), (True, False))
        mixed(made, 60)
        self.assertTrue(made.is_nested("fee", False))
        self.assertFalse(made.is_nested("verify", True))
        told = [
            made.to_advertise(route, told) for route in ("fee", "verify") for told in (True, False)
        ]
        self.assertEqual(told, [Origin.BACK_ENDS, Origin.BACK_ENDS, Origin.CALLERS, None])

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 10**6), st.integers(1, 20), st.integers(1, 20))
    def test_callers_on_all_machines_are_never_taken_for_back_ends(
        self, seed: int, ledgers: int, desks: int
    ) -> None:
        made = watch({"ledger": ledgers, "desk": desks})
        for index, service in enumerate(
            Random(seed).choices(["ledger", "desk"], [ledgers, desks], k=600)
        ):
            made.note("verify", service, index * 0.02)
            self.assertIsNot(made.origin("verify"), Origin.BACK_ENDS)

    @settings(max_examples=100, deadline=None)
    @given(st.lists(st.tuples(st.text(max_size=3), st.text(max_size=3), st.floats())))
    def test_nothing_that_comes_raises(self, arrivals: list[tuple[str, str, float]]) -> None:
        made = OriginDetector()
        for index, (route, service, now) in enumerate(arrivals):
            made.note(route, service, now)
            made.use_machines({service: index, "desk": 1}, index)
            made.to_advertise(route, believed=True)

    def test_a_gateway_that_treats_all_alike_watches_nothing(self) -> None:
        self.assertIsNone(origin_detector_for(Policies(calls_within=NestedCallPolicy.ALIKE)))
        self.assertIsNotNone(origin_detector_for(Policies(calls_within=NestedCallPolicy.FIRST)))


class BeliefsTest(unittest.TestCase):
    def test_what_was_told_is_believed_until_nobody_repeats_it(self) -> None:
        beliefs = AdvertisedOrigins()
        self.assertFalse(beliefs.is_nested("fee", 0.0))
        beliefs.note_advertised("fee", Origin.BACK_ENDS, 0.0)
        self.assertEqual(beliefs.nested_routes(1.0), ["fee"])
        self.assertTrue(beliefs.is_nested("fee", BELIEF_SECONDS))
        self.assertFalse(beliefs.is_nested("fee", BELIEF_SECONDS + 1))

    def test_one_gateway_that_says_otherwise_does_not_outweigh_the_others(self) -> None:
        beliefs = AdvertisedOrigins()
        for step in range(50):
            origin = Origin.CALLERS if step % 5 == 4 else Origin.BACK_ENDS
            beliefs.note_advertised("fee", origin, float(step))
            self.assertTrue(beliefs.is_nested("fee", float(step)))

    def test_when_most_say_otherwise_it_is_believed(self) -> None:
        beliefs = AdvertisedOrigins()
        beliefs.note_advertised("fee", Origin.BACK_ENDS, 0.0)
        for step in range(5):
            beliefs.note_advertised("fee", Origin.CALLERS, float(step))
        self.assertFalse(beliefs.is_nested("fee", 5.0))

    def test_routes_that_are_in_force_no_longer_are_forgotten(self) -> None:
        beliefs = AdvertisedOrigins()
        beliefs.note_advertised("fee", Origin.BACK_ENDS, 0.0)
        beliefs.keep_only({"verify"})
        self.assertEqual(beliefs.nested_routes(0.0), [])


if __name__ == "__main__":
    unittest.main()
