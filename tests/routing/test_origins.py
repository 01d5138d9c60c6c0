"""Origins of a route's requests: detection at a gateway and beliefs of senders."""

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


def new_detector(near: dict[str, int] | None = None) -> OriginDetector:
    detector = OriginDetector()
    detector.use_machines(near or NEAR, 2)
    return detector


def record(
    detector: OriginDetector,
    route: str,
    services: Iterable[str],
    start: float = 0.0,
    gap: float = 0.02,
) -> float:
    """Record requests from machines of the services; return the time after the last."""
    now = start
    for service in services:
        detector.note(route, service, now)
        now += gap
    return now


def callers(count: int, seed: int = 1) -> list[str]:
    """Return the services of callers' machines, drawn in proportion to their numbers."""
    return Random(seed).choices(list(NEAR), list(NEAR.values()), k=count)


def record_mixed(detector: OriginDetector, count: int, seed: int = 1) -> None:
    """Record callers' requests, alternating with calls of the ledger's back ends."""
    for index, service in enumerate(callers(count, seed)):
        detector.note("verify", service, index * 0.02)
        detector.note("fee", "ledger", index * 0.02)


class OriginDetectorTest(unittest.TestCase):
    def test_a_route_called_by_back_ends_of_one_service_is_detected(self) -> None:
        detector = new_detector()
        record_mixed(detector, 60)
        self.assertIs(detector.origin("fee"), Origin.BACK_ENDS)
        self.assertIs(detector.origin("verify"), Origin.CALLERS)
        self.assertEqual(detector.nested_routes(), ["fee"])

    def test_nothing_is_concluded_before_ten_expected_requests(self) -> None:
        detector = new_detector()
        record_mixed(detector, 39)
        self.assertIsNone(detector.origin("fee"))

    def test_one_request_of_another_service_delays_the_detection(self) -> None:
        detector = new_detector()
        record(detector, "verify", ["desk"])
        record(detector, "fee", ["ledger"] * 39 + ["desk"] + ["ledger"] * 30)
        self.assertIsNot(detector.origin("fee"), Origin.BACK_ENDS)

    def test_later_requests_of_callers_change_the_origin(self) -> None:
        detector = new_detector()
        record_mixed(detector, 300)
        for index, service in enumerate(callers(60, seed=2)):
            detector.note("fee", service, 6.0 + index * 0.02)
        self.assertIs(detector.origin("fee"), Origin.CALLERS)

    def test_nothing_is_expected_of_a_service_that_is_cut_off(self) -> None:
        detector = new_detector()
        end = record(detector, "verify", callers(400))
        record(detector, "verify", ["ledger"] * 3000, start=end + CONTACT_SECONDS)
        self.assertIsNot(detector.origin("verify"), Origin.BACK_ENDS)

    def test_nothing_is_expected_of_a_service_without_machines_near(self) -> None:
        detector = new_detector({"ledger": 5})
        record(detector, "fee", ["ledger"] * 500)
        self.assertIsNone(detector.origin("fee"))

    def test_an_empty_list_determines_no_origin(self) -> None:
        detector = OriginDetector()
        detector.use_machines({}, 0)
        record(detector, "fee", ["ledger"] * 100)
        self.assertIsNone(detector.origin("fee"))
        self.assertTrue(detector.is_nested("fee", believed=True))

    def test_senders_of_no_nearby_service_are_ignored(self) -> None:
        detector = new_detector()
        record_mixed(detector, 60)
        record(detector, "entrance", [""] * 200, 1.2)
        self.assertIsNone(detector.origin("entrance"))

    def test_a_service_removed_from_the_list_is_forgotten(self) -> None:
        detector = new_detector()
        record_mixed(detector, 60)
        detector.use_machines({"ledger": 12}, 1)
        detector.note("fee", "ledger", 2.0)
        self.assertIs(detector.origin("fee"), Origin.CALLERS)

    def test_recorded_routes_are_bounded_and_the_longest_idle_is_dropped(self) -> None:
        detector = new_detector()
        record_mixed(detector, 60)
        for index in range(MAX_ROUTES - 1):
            detector.note(f"r{index}", "desk", 2.0)
        self.assertIs(detector.origin("fee"), Origin.BACK_ENDS)
        detector.note("one-more", "desk", 2.0)
        detector.note("and-another", "desk", 2.0)
        self.assertIsNone(detector.origin("verify"))

    def test_a_change_of_origin_is_reported_once(self) -> None:
        detector = new_detector()
        record(detector, "verify", ["desk"])
        news = [detector.note("fee", "ledger", index * 0.01) for index in range(100)]
        self.assertEqual(news.count(True), 1)

    def test_detection_overrides_a_senders_belief_and_corrects_it(self) -> None:
        detector = new_detector()
        self.assertEqual(
            (detector.is_nested("fee", True), detector.is_nested("fee", False)), (True, False)
        )
        record_mixed(detector, 60)
        self.assertTrue(detector.is_nested("fee", False))
        self.assertFalse(detector.is_nested("verify", True))
        advertised = [
            detector.to_advertise(route, believed)
            for route in ("fee", "verify")
            for believed in (True, False)
        ]
        self.assertEqual(advertised, [Origin.BACK_ENDS, Origin.BACK_ENDS, Origin.CALLERS, None])

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 10**6), st.integers(1, 20), st.integers(1, 20))
    def test_callers_on_all_machines_are_never_detected_as_back_ends(
        self, seed: int, ledgers: int, desks: int
    ) -> None:
        detector = new_detector({"ledger": ledgers, "desk": desks})
        for index, service in enumerate(
            Random(seed).choices(["ledger", "desk"], [ledgers, desks], k=600)
        ):
            detector.note("verify", service, index * 0.02)
            self.assertIsNot(detector.origin("verify"), Origin.BACK_ENDS)

    @settings(max_examples=100, deadline=None)
    @given(st.lists(st.tuples(st.text(max_size=3), st.text(max_size=3), st.floats())))
    def test_arbitrary_arrivals_raise_nothing(self, arrivals: list[tuple[str, str, float]]) -> None:
        detector = OriginDetector()
        for index, (route, service, now) in enumerate(arrivals):
            detector.note(route, service, now)
            detector.use_machines({service: index, "desk": 1}, index)
            detector.to_advertise(route, believed=True)

    def test_a_gateway_that_treats_all_alike_has_no_detector(self) -> None:
        self.assertIsNone(origin_detector_for(Policies(calls_within=NestedCallPolicy.ALIKE)))
        self.assertIsNotNone(origin_detector_for(Policies(calls_within=NestedCallPolicy.FIRST)))


class AdvertisedOriginsTest(unittest.TestCase):
    def test_an_advertised_origin_is_believed_until_it_expires(self) -> None:
        beliefs = AdvertisedOrigins()
        self.assertFalse(beliefs.is_nested("fee", 0.0))
        beliefs.note_advertised("fee", Origin.BACK_ENDS, 0.0)
        self.assertEqual(beliefs.nested_routes(1.0), ["fee"])
        self.assertTrue(beliefs.is_nested("fee", BELIEF_SECONDS))
        self.assertFalse(beliefs.is_nested("fee", BELIEF_SECONDS + 1))

    def test_one_contradicting_gateway_does_not_change_a_belief(self) -> None:
        beliefs = AdvertisedOrigins()
        for step in range(50):
            origin = Origin.CALLERS if step % 5 == 4 else Origin.BACK_ENDS
            beliefs.note_advertised("fee", origin, float(step))
            self.assertTrue(beliefs.is_nested("fee", float(step)))

    def test_a_contradicting_majority_changes_a_belief(self) -> None:
        beliefs = AdvertisedOrigins()
        beliefs.note_advertised("fee", Origin.BACK_ENDS, 0.0)
        for step in range(5):
            beliefs.note_advertised("fee", Origin.CALLERS, float(step))
        self.assertFalse(beliefs.is_nested("fee", 5.0))

    def test_routes_no_longer_in_force_are_forgotten(self) -> None:
        beliefs = AdvertisedOrigins()
        beliefs.note_advertised("fee", Origin.BACK_ENDS, 0.0)
        beliefs.keep_only({"verify"})
        self.assertEqual(beliefs.nested_routes(0.0), [])


if __name__ == "__main__":
    unittest.main()
