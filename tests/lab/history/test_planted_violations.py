"""Each guarantee's check holds on a valid history and fails on a planted violation."""

import unittest
from dataclasses import dataclass
from typing import Any

from pewtertack.events import Event
from pewtertack.lab.history.checker import all_held, check_history
from pewtertack.lab.history.verdicts import CheckBounds, Guarantee, Judgement
from pewtertack.lab.records import (
    BackendLeaveCancelled,
    BackendLeaving,
    BackendLeavingInAnswers,
    BackendRateLimit,
    CallOutcome,
    CallResult,
    Cut,
    Edit,
    ExecutionEnd,
    ExecutionResult,
    ExecutionStart,
    Heal,
    HistoryLine,
    NodeEvent,
    NodeKill,
    NodePause,
    NodeResume,
    NodeStart,
    NodeStop,
    RevisionInForce,
    RouteInForce,
    SourceFault,
    ZoneEvacuated,
    ZoneEvacuationEnded,
)

BOUNDS = CheckBounds(convergence=5.0, recovery=20.0, wake_grace=1.0, leaving=5.0)
ROUTES = {"lookup": RouteInForce(service="logbook", secrets=("key",))}


def in_force(time: float, node: str, revision: int, **changes: object) -> RevisionInForce:
    values: dict[str, Any] = {
        "digest": f"d{revision}",
        "routes": ROUTES,
        "services": ("logbook",),
        "secrets": ("key",),
        **changes,
    }
    name = Event.REVISION_IN_FORCE
    return RevisionInForce(
        time=time,
        number=name.number,
        event=name.name,
        node=node,
        incarnation=1,
        revision=revision,
        **values,
    )


def event(time: float, node: str, name: Event) -> NodeEvent:
    return NodeEvent(time=time, number=name.number, event=name.name, node=node, incarnation=1)


def call_result(time: float, request: str, outcome: CallOutcome, **changes: object) -> CallResult:
    values: dict[str, Any] = {
        "node": "b",
        "route": "lookup",
        "status": 200,
        "checksum_ok": True,
        "own_answer": True,
        "repeatable": False,
        "latency": 1.0,
        **changes,
    }
    return CallResult(time=time, request_id=request, outcome=outcome, **values)


def crash(time: float, request: str) -> ExecutionEnd:
    """Return the record of a back end that crashed while executing a request."""
    return ExecutionEnd(time=time, request_id=request, backend="x", result=ExecutionResult.DIED)


def node_starts(*nodes: str) -> list[HistoryLine]:
    return [NodeStart(time=0.0, node=node, zone=f"zone-{node}") for node in nodes]


def valid_history() -> list[HistoryLine]:
    return [
        *node_starts("a", "b"),
        Edit(time=1.0, revision=1, digest="d1", valid=True),
        in_force(2.0, "a", 1),
        in_force(2.5, "b", 1),
        event(3.0, "a", Event.NODE_SERVING),
        event(3.0, "b", Event.NODE_SERVING),
        Edit(time=30.0, revision=2, digest="d2", valid=False),
        Edit(time=31.0, revision=3, digest="d3", valid=True),
        ZoneEvacuated(time=31.0, zone="zone-z", backends=("z",), revision=3),
        in_force(32.0, "a", 3),
        in_force(33.0, "b", 3),
        ExecutionStart(time=40.0, request_id="r1", backend="x"),
        call_result(41.0, "r1", CallOutcome.ANSWERED),
        call_result(42.0, "r2", CallOutcome.NOT_RUN, status=503),
        BackendLeaving(time=43.0, backend="x"),
        *(crash(44.0 + attempt, f"ending-1-{attempt}") for attempt in range(6)),
        ExecutionStart(time=59.8, request_id="r3", backend="y"),
        NodeStop(time=60.0, node="b"),
        call_result(60.5, "r3", CallOutcome.ANSWERED),
        event(61.0, "b", Event.NODE_STOPPED),
        *limited_back_end(),
        BackendLeavingInAnswers(time=45.0, backend="w"),
        *execution(45.1, "s1", "w", "a"),
    ]


def execution(time: float, request: str, backend: str, node: str) -> list[HistoryLine]:
    """Return the records of a call that is executed and answered within 0.1 s."""
    return [
        ExecutionStart(time=time, request_id=request, backend=backend),
        ExecutionEnd(time=time + 0.05, request_id=request, backend=backend),
        call_result(time + 0.06, request, CallOutcome.ANSWERED, node=node, latency=0.1),
    ]


def limited_back_end() -> list[HistoryLine]:
    """Return the records of a back end that names 1 a second and gets as much as is allowed."""
    lines: list[HistoryLine] = [BackendRateLimit(time=45.0, backend="v", rate=1.0)]
    lines += execution(45.1, "l0", "v", "a")
    for number in range(11):
        lines += execution(49.0 + 0.01 * number, f"l{number + 1}", "v", "a")
    return lines


@dataclass
class PlantedViolation:
    guarantee: Guarantee
    lines: list[HistoryLine]


PLANTED_VIOLATIONS = {
    "a replacement node serves an older revision": PlantedViolation(
        Guarantee.REVISIONS_MONOTONIC,
        [
            NodeKill(time=34.0, node="a"),
            NodeStart(time=34.1, node="a", zone="zone-a"),
            in_force(34.5, "a", 1),
            in_force(34.6, "a", 3),
        ],
    ),
    "a route lacks its service": PlantedViolation(
        Guarantee.ROUTES_COMPLETE, [in_force(34.0, "a", 3, services=())]
    ),
    "a route lacks its secret": PlantedViolation(
        Guarantee.ROUTES_COMPLETE, [in_force(34.0, "a", 3, secrets=())]
    ),
    "a revision is in force with another digest than its edit": PlantedViolation(
        Guarantee.REVISIONS_INTACT, [in_force(34.0, "a", 3, digest="other")]
    ),
    "one number is in force with two digests": PlantedViolation(
        Guarantee.REVISIONS_INTACT,
        [
            Edit(time=31.0, revision=3, digest="other", valid=True),
            in_force(34.0, "a", 3, digest="other"),
        ],
    ),
    "an invalid revision is in force": PlantedViolation(
        Guarantee.REJECTED_NEVER_IN_FORCE, [in_force(30.5, "a", 2), in_force(30.5, "b", 2)]
    ),
    "an accepted revision does not reach a node": PlantedViolation(
        Guarantee.IN_FORCE_EVERYWHERE,
        [Edit(time=34.0, revision=4, digest="d4", valid=True), in_force(35.0, "a", 4)],
    ),
    "a valid edit is never in force": PlantedViolation(
        Guarantee.IN_FORCE_EVERYWHERE, [Edit(time=34.0, revision=4, digest="d4", valid=True)]
    ),
    "a valid edit is not in force although a source fault and a cut have ended": PlantedViolation(
        Guarantee.IN_FORCE_EVERYWHERE,
        [
            SourceFault(time=33.5, service="source", fault="outage"),
            Cut(time=33.6, from_zone="zone-a", to_zone="zone-b"),
            Edit(time=34.0, revision=4, digest="d4", valid=True),
            SourceFault(time=35.0, service="source", fault="none"),
            Heal(time=36.0),
        ],
    ),
    "a new node serves without an accepted revision": PlantedViolation(
        Guarantee.NEVER_REVERTED,
        [
            NodeStart(time=45.0, node="c", zone="zone-c"),
            in_force(45.5, "c", 1),
            event(45.6, "c", Event.NODE_SERVING),
            in_force(46.0, "c", 3),
        ],
    ),
    "a resumed node serves the revision from before its pause": PlantedViolation(
        Guarantee.NEVER_REVERTED,
        [
            NodePause(time=33.5, node="b"),
            Edit(time=34.0, revision=4, digest="d4", valid=True),
            in_force(34.5, "a", 4),
            NodeResume(time=45.0, node="b"),
            in_force(48.0, "b", 4),
        ],
    ),
    "a new node starts serving and gets the accepted revision at the same time": PlantedViolation(
        Guarantee.NEVER_REVERTED,
        [
            Edit(time=34.0, revision=4, digest="d4", valid=True),
            in_force(34.5, "a", 4),
            in_force(34.6, "b", 4),
            NodeStart(time=45.0, node="c", zone="zone-c"),
            in_force(45.5, "c", 3),
            event(45.6, "c", Event.NODE_SERVING),
            in_force(45.6, "c", 4),
        ],
    ),
    "a response has a wrong checksum": PlantedViolation(
        Guarantee.RESPONSES_INTACT_AND_MATCHING,
        [call_result(41.0, "r4", CallOutcome.ANSWERED, checksum_ok=False)],
    ),
    "a response belongs to another request": PlantedViolation(
        Guarantee.RESPONSES_INTACT_AND_MATCHING,
        [call_result(41.0, "r4", CallOutcome.ANSWERED, own_answer=False)],
    ),
    "a request refused as not run was executed": PlantedViolation(
        Guarantee.NOT_RUN_IS_ACCURATE, [ExecutionStart(time=42.5, request_id="r2", backend="x")]
    ),
    "a request that must not be repeated is executed twice": PlantedViolation(
        Guarantee.AT_MOST_ONCE, [ExecutionStart(time=40.5, request_id="r1", backend="y")]
    ),
    "a leaving back end receives a new request": PlantedViolation(
        Guarantee.LEAVING_GETS_NO_WORK, [ExecutionStart(time=49.0, request_id="r5", backend="x")]
    ),
    "a graceful shutdown cuts an exchange": PlantedViolation(
        Guarantee.SHUTDOWN_CUTS_NOTHING, [call_result(60.6, "r6", CallOutcome.CUT, status=0)]
    ),
    "a request sent during a graceful shutdown gets no response": PlantedViolation(
        Guarantee.SHUTDOWN_ANSWERS_ALL,
        [call_result(62.0, "r6", CallOutcome.CUT, status=0, latency=0.5, whole_for=0.4)],
    ),
    "a request sent to a running node gets no response": PlantedViolation(
        Guarantee.RUNNING_NODE_ANSWERS_ALL,
        [call_result(50.0, "r6", CallOutcome.TIMED_OUT, status=0, whole_for=0.9)],
    ),
    "a response breaks off at the end of a graceful shutdown": PlantedViolation(
        Guarantee.SHUTDOWN_ANSWERS_ALL,
        [
            call_result(
                62.0,
                "r6",
                CallOutcome.CUT,
                status=0,
                latency=0.5,
                whole_for=0.4,
                broken_off_after=49_152,
            )
        ],
    ),
    "a response breaks off while its node is running": PlantedViolation(
        Guarantee.RUNNING_NODE_ANSWERS_ALL,
        [
            ExecutionStart(time=49.5, request_id="r6", backend="y"),
            call_result(
                50.0,
                "r6",
                CallOutcome.CUT,
                status=0,
                whole_for=0.9,
                broken_off_after=49_152,
            ),
        ],
    ),
    "a back end of an evacuated zone receives a request": PlantedViolation(
        Guarantee.EVACUATED_GETS_NO_REQUESTS,
        [ExecutionStart(time=50.0, request_id="r7", backend="z")],
    ),
    "a back end gets more than the limit that it names": PlantedViolation(
        Guarantee.RATE_LIMIT_KEPT, execution(49.5, "l20", "v", "a")
    ),
    "a node sends to a back end that has told it that it leaves": PlantedViolation(
        Guarantee.LEAVING_ANSWERS_OBEYED, execution(47.4, "s2", "w", "a")
    ),
    "a request crashes more back ends than its limit allows": PlantedViolation(
        Guarantee.CRASHING_REQUESTS_LIMITED,
        [crash(50.0 + attempt, f"ending-2-{attempt}") for attempt in range(7)],
    ),
}


class PlantedViolationTest(unittest.TestCase):
    def test_every_guarantee_holds_on_a_valid_history(self) -> None:
        verdicts = check_history(valid_history(), BOUNDS)
        self.assertEqual({verdict.promise for verdict in verdicts}, set(Guarantee))
        self.assertTrue(all_held(verdicts), verdicts)

    def test_each_planted_violation_violates_its_guarantee_and_no_other(self) -> None:
        for name, planted in PLANTED_VIOLATIONS.items():
            with self.subTest(name):
                verdicts = check_history([*valid_history(), *planted.lines], BOUNDS)
                violated = [v.promise for v in verdicts if v.judgement is Judgement.VIOLATED]
                self.assertEqual(violated, [planted.guarantee])

    def test_every_guarantee_has_a_planted_violation(self) -> None:
        self.assertEqual(
            {planted.guarantee for planted in PLANTED_VIOLATIONS.values()}, set(Guarantee)
        )

    def test_an_empty_history_tests_no_guarantee(self) -> None:
        verdicts = check_history([], BOUNDS)
        self.assertEqual({v.judgement for v in verdicts}, {Judgement.UNTESTED})


class EvacuationTest(unittest.TestCase):
    """Cases in which a request to a back end of an evacuated zone is no violation."""

    def judge(self, time: float, *lines: HistoryLine) -> Judgement:
        execution = ExecutionStart(time=time, request_id="r7", backend="z")
        verdicts = check_history([*valid_history(), execution, *lines], BOUNDS)
        return next(
            v.judgement for v in verdicts if v.promise is Guarantee.EVACUATED_GETS_NO_REQUESTS
        )

    def test_requests_before_every_node_has_the_evacuation_for_the_bound_are_allowed(self) -> None:
        self.assertEqual(self.judge(32.5), Judgement.HELD)
        self.assertEqual(self.judge(33.9), Judgement.HELD)
        self.assertEqual(self.judge(34.1), Judgement.VIOLATED)

    def test_requests_after_the_end_of_the_evacuation_are_allowed(self) -> None:
        end = ZoneEvacuationEnded(time=45.0, zone="zone-z", revision=4)
        self.assertEqual(self.judge(46.0, end), Judgement.HELD)
        self.assertEqual(self.judge(44.0, end), Judgement.VIOLATED)

    def test_requests_while_a_node_starts_or_is_paused_are_allowed(self) -> None:
        started_late = NodeStart(time=49.8, node="c", zone="zone-c")
        self.assertEqual(self.judge(50.0, started_late), Judgement.HELD)
        paused = (NodePause(time=49.0, node="b"), NodeResume(time=49.9, node="b"))
        self.assertEqual(self.judge(50.0, *paused), Judgement.HELD)


class DeadlineTest(unittest.TestCase):
    """Processes that need not have a revision in force: paused, cut off and short-lived ones."""

    def judge(self, guarantee: Guarantee, lines: list[HistoryLine]) -> Judgement:
        verdicts = check_history([*valid_history(), *lines], BOUNDS)
        return next(v.judgement for v in verdicts if v.promise is guarantee)

    def test_a_paused_process_needs_no_revision_until_it_is_resumed(self) -> None:
        lines: list[HistoryLine] = [
            NodePause(time=33.5, node="b"),
            Edit(time=34.0, revision=4, digest="d4", valid=True),
            in_force(34.5, "a", 4),
            NodeResume(time=58.0, node="b"),
            event(58.1, "b", Event.NODE_WOKE),
        ]
        self.assertIs(self.judge(Guarantee.IN_FORCE_EVERYWHERE, lines), Judgement.HELD)
        self.assertIs(self.judge(Guarantee.NEVER_REVERTED, lines), Judgement.HELD)

    def test_a_cut_off_zone_needs_no_revision_until_the_cut_ends(self) -> None:
        lines: list[HistoryLine] = [
            Cut(time=33.5, from_zone="zone-a", to_zone="zone-b"),
            Edit(time=34.0, revision=4, digest="d4", valid=True),
            in_force(34.5, "a", 4),
            Heal(time=58.0),
        ]
        self.assertIs(self.judge(Guarantee.IN_FORCE_EVERYWHERE, lines), Judgement.HELD)

    def test_a_process_paused_during_its_shutdown_needs_no_revision(self) -> None:
        lines: list[HistoryLine] = [
            NodePause(time=61.2, node="b"),
            NodeResume(time=61.3, node="b"),
            Heal(time=99.0),
        ]
        self.assertIs(self.judge(Guarantee.IN_FORCE_EVERYWHERE, lines), Judgement.HELD)

    def test_a_node_started_without_a_majority_needs_no_revision_until_there_is_one(self) -> None:
        lines: list[HistoryLine] = [
            NodePause(time=33.5, node="a"),
            NodePause(time=33.5, node="b"),
            NodeStart(time=34.0, node="c", zone="zone-c"),
            NodeResume(time=58.0, node="a"),
            NodeResume(time=58.0, node="b"),
        ]
        self.assertIs(self.judge(Guarantee.IN_FORCE_EVERYWHERE, lines), Judgement.HELD)
        lines.append(Heal(time=63.1))
        self.assertIs(self.judge(Guarantee.IN_FORCE_EVERYWHERE, lines), Judgement.VIOLATED)

    def test_a_killed_process_needs_no_revision(self) -> None:
        lines: list[HistoryLine] = [
            NodeStart(time=34.0, node="c", zone="zone-c"),
            NodeKill(time=38.0, node="c"),
        ]
        self.assertIs(self.judge(Guarantee.IN_FORCE_EVERYWHERE, lines), Judgement.HELD)


if __name__ == "__main__":
    unittest.main()


class ReportTest(unittest.TestCase):
    """Cases in which a node that was told may send all the same."""

    def judge(self, guarantee: Guarantee, *lines: HistoryLine) -> Judgement:
        verdicts = check_history([*valid_history(), *lines], BOUNDS)
        return next(v.judgement for v in verdicts if v.promise is guarantee)

    def test_requests_of_nodes_that_were_not_told_half_a_second_before_do_not_count(self) -> None:
        told_late = execution(49.2, "m1", "v", "c") + execution(49.3, "m2", "v", "c")
        self.assertIs(self.judge(Guarantee.RATE_LIMIT_KEPT, *told_late), Judgement.HELD)
        later = execution(49.9, "m3", "v", "c")
        verdict = self.judge(Guarantee.RATE_LIMIT_KEPT, *told_late, *later)
        self.assertIs(verdict, Judgement.VIOLATED)

    def test_a_restart_or_a_pause_excuses_until_the_node_is_told_again(self) -> None:
        for guarantee, request in (
            (Guarantee.RATE_LIMIT_KEPT, execution(49.5, "l20", "v", "a")),
            (Guarantee.LEAVING_ANSWERS_OBEYED, execution(49.5, "s2", "w", "a")),
        ):
            start = NodeStart(time=49.3, node="a", zone="zone-a")
            self.assertIs(self.judge(guarantee, start, *request), Judgement.HELD)
            pause: list[HistoryLine] = [
                NodePause(time=49.2, node="a"),
                NodeResume(time=49.3, node="a"),
            ]
            self.assertIs(self.judge(guarantee, *pause, *request), Judgement.HELD)
            before = NodeStart(time=44.0, node="a", zone="zone-a")
            self.assertIs(self.judge(guarantee, before, *request), Judgement.VIOLATED)

    def test_requests_sent_within_the_bound_after_the_answer_are_allowed(self) -> None:
        request = execution(47.0, "s2", "w", "a")
        verdict = self.judge(Guarantee.LEAVING_ANSWERS_OBEYED, *request)
        self.assertIs(verdict, Judgement.HELD)

    def test_a_limit_that_no_node_was_told_binds_nobody(self) -> None:
        untold = BackendRateLimit(time=45.0, backend="u", rate=1.0)
        requests = [
            ExecutionStart(time=49.0 + 0.01 * number, request_id=f"u{number}", backend="u")
            for number in range(20)
        ]
        verdict = self.judge(Guarantee.RATE_LIMIT_KEPT, untold, *requests)
        self.assertIs(verdict, Judgement.HELD)

    def test_nothing_binds_after_the_end(self) -> None:
        no_limit = BackendRateLimit(time=49.4, backend="v", rate=None)
        request = execution(49.5, "l20", "v", "a")
        verdict = self.judge(Guarantee.RATE_LIMIT_KEPT, no_limit, *request)
        self.assertIs(verdict, Judgement.HELD)
        back = BackendLeaveCancelled(time=49.4, backend="w")
        request = execution(49.5, "s2", "w", "a")
        verdict = self.judge(Guarantee.LEAVING_ANSWERS_OBEYED, back, *request)
        self.assertIs(verdict, Judgement.HELD)
