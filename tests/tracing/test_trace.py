"""Traces from logs of several nodes: order, state changes, missing and corrupt input."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from typer.testing import CliRunner

from pewtertack.cli.main import app
from pewtertack.tracing.errors import (
    LogUnreadableError,
    LogWithoutLinesError,
    RequestUnknownError,
)
from pewtertack.tracing.reading import ReadCounts, read_logs
from pewtertack.tracing.timeline import build_timeline


def line(node: str, uptime: float, event: str, time: float = 0.0, **fields: Any) -> dict[str, Any]:
    common = {"time": time or 1000 + uptime, "number": 1, "event": event, "node": node}
    return {**common, "incarnation": 1, "uptime": uptime, **fields}


PROXY = [
    line("a", 8.0, "BACKEND_SEEN", backend="b1"),
    line("a", 10.0, "REQUEST_ROUTED", request="r1", backend="b1", attempt=1),
    line("a", 10.2, "REQUEST_RETRIED", request="r1", backend="b1", reason="not-run"),
    line("a", 10.2, "REQUEST_ROUTED", request="r1", backend="b2", attempt=2),
    line("a", 10.6, "REQUEST_ANSWERED", request="r1", backend="b2", status=200),
]
FIRST_GATEWAY = [line("b", 50.0, "GATEWAY_REFUSED", time=3000.0, request="r1", backend="b1")]
SECOND_GATEWAY = [
    line("c", 70.0, "GATEWAY_ADMITTED", time=17.0, request="r1", backend="b2"),
    line("c", 70.3, "GATEWAY_ANSWERED", time=17.3, request="r1", backend="b2"),
]


class TraceTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def write(self, name: str, lines: list[dict[str, Any]], prefix: str = "") -> Path:
        path = self.directory / name
        path.write_text("".join(f"{prefix}{json.dumps(item)}\n" for item in lines))
        return path

    def write_all(self) -> list[Path]:
        return [
            self.write("c.log", SECOND_GATEWAY),
            self.write("a.log", PROXY, prefix="  12.0 sidecar-a-1 "),
            self.write("b.log", FIRST_GATEWAY),
        ]

    def test_crashes_are_found_under_all_ids_of_the_request(self) -> None:
        same, other = "ab" * 16, "cd" * 16
        detail = f"3 back ends ended while they ran request {same}"
        refused = line(
            "a", 20.0, "REQUEST_REFUSED", request="r9", type="request-ends-back-ends", detail=detail
        )
        ends = [
            line("c", 9.0, "BACKEND_CRASHED", time=1003.0, backend="b3", requests=[["r4", same]]),
            line("b", 9.0, "BACKEND_CRASHED", time=1002.0, backend="b2", requests=[["r5", other]]),
            line(
                "b",
                8.0,
                "BACKEND_CRASHED",
                time=1001.0,
                backend="b2",
                requests=[["r2", same], ["r3", ""], "cut"],
            ),
        ]
        lines = read_logs([self.write("a.log", [refused, *ends])], ReadCounts())
        crashed_backends = [item.fields["backend"] for item in build_timeline(lines, "r9").crashes]
        self.assertEqual(crashed_backends, ["b2", "b3"])
        printed = CliRunner().invoke(app, ["trace", "r9", str(self.directory / "a.log")])
        self.assertIn("b3 executed r4", printed.output)

    def test_lines_are_ordered_by_causality_if_clocks_disagree(self) -> None:
        timeline = build_timeline(read_logs(self.write_all(), ReadCounts()), "r1")
        events = [
            (timed_line.line.node, timed_line.line.event) for timed_line in timeline.timed_lines
        ]
        self.assertEqual(
            events,
            [
                ("a", "REQUEST_ROUTED"),
                ("b", "GATEWAY_REFUSED"),
                ("a", "REQUEST_RETRIED"),
                ("a", "REQUEST_ROUTED"),
                ("c", "GATEWAY_ADMITTED"),
                ("c", "GATEWAY_ANSWERED"),
                ("a", "REQUEST_ANSWERED"),
            ],
        )
        self.assertAlmostEqual(timeline.uncertainty["c"], 0.05)
        self.assertEqual(
            [timed_line.line.event for timed_line in timeline.state_changes], ["BACKEND_SEEN"]
        )

    def test_nested_calls_are_listed_below_their_request(self) -> None:
        inner = [
            line("c", 70.1, "REQUEST_ROUTED", request="r1.x", backend="b7"),
            line("c", 70.15, "REQUEST_ROUTED", request="r1.x.y", backend="b8"),
            line("c", 70.2, "REQUEST_ANSWERED", request="r1.x", backend="b7", status=200),
        ]
        paths = [*self.write_all(), self.write("d.log", inner)]
        timeline = build_timeline(read_logs(paths, ReadCounts()), "r1")
        self.assertEqual([call.request for call in timeline.nested], ["r1.x"])
        self.assertEqual([call.request for call in timeline.nested[0].nested], ["r1.x.y"])

    def test_unknown_request_id_raises_typed_error(self) -> None:
        lines = read_logs(self.write_all(), ReadCounts())
        with self.assertRaises(RequestUnknownError):
            build_timeline(lines, "r9")

    def test_missing_file_and_file_without_events_raise_typed_errors(self) -> None:
        with self.assertRaises(LogUnreadableError):
            read_logs([self.directory / "none.log"], ReadCounts())
        other = self.directory / "other.txt"
        other.write_text("hello\n")
        with self.assertRaises(LogWithoutLinesError):
            read_logs([other], ReadCounts())

    def test_truncated_line_is_counted_and_others_are_read(self) -> None:
        path = self.write("a.log", PROXY)
        path.write_text(path.read_text() + '{"time": 1, "event": "REQU'.replace(": ", ":"))
        counts = ReadCounts()
        self.assertEqual(len(read_logs([path], counts)), len(PROXY))
        self.assertEqual(counts.malformed, 1)

    def test_command_prints_text_and_json(self) -> None:
        paths = [str(path) for path in self.write_all()]
        text = CliRunner().invoke(app, ["trace", "r1", *paths])
        self.assertEqual(text.exit_code, 0)
        self.assertIn("GATEWAY_REFUSED", text.stdout)
        data = json.loads(CliRunner().invoke(app, ["trace", "r1", *paths, "--json"]).stdout)
        self.assertEqual(data["lines"][0]["event"], "REQUEST_ROUTED")
        self.assertEqual(data["lines_left_out"], 0)
