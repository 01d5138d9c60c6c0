"""Logs that are cut or spoilt: each line counts for itself, and errors are typed."""

import json
import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.tracing.errors import TraceError
from pewtertack.tracing.reading import ReadCounts, read_logs


def log_line(number: int, event: str = "NODE_SERVING", **fields: object) -> bytes:
    line = {"time": 1.0, "number": number, "event": event, "node": "a", "incarnation": 7, **fields}
    return json.dumps(line, separators=(",", ":")).encode() + b"\n"


SOUND = [log_line(number, request=f"r{number}") for number in range(6)]
LEFT_OUT = log_line(9, "LOG_LINES_LEFT_OUT", routine=4, other=1)


def read(content: bytes) -> tuple[int, ReadCounts]:
    """Return the number of events in a log of this content, and the counts."""
    counts = ReadCounts()
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "node.log"
        path.write_bytes(content)
        return len(read_logs([path], counts)), counts


class DamagedLogTest(unittest.TestCase):
    def test_a_report_of_dropped_lines_without_its_numbers_costs_no_other_line(self) -> None:
        """Its missing numbers ended the command."""
        for damaged in (
            log_line(9, "LOG_LINES_LEFT_OUT"),
            log_line(9, "LOG_LINES_LEFT_OUT", routine="many", other=None),
        ):
            events, counts = read(b"".join([*SOUND[:3], damaged, *SOUND[3:], LEFT_OUT]))
            self.assertEqual((events, counts.dropped, counts.malformed), (8, 5, 1))

    @given(st.integers(0, len(b"".join(SOUND))))
    def test_a_cut_log_keeps_its_whole_lines(self, size: int) -> None:
        content = b"".join(SOUND)[:size]
        whole = content.count(b"\n")
        try:
            events, _ = read(content)
        except TraceError:
            self.assertEqual(whole, 0)
            return
        self.assertIn(events, (whole, whole + 1))  # the last may lack its line end only

    @given(st.integers(0, 5), st.binary(max_size=60).filter(lambda junk: b"\n" not in junk))
    def test_a_spoilt_line_costs_no_other(self, at: int, junk: bytes) -> None:
        events, counts = read(b"".join([*SOUND[:at], junk + b"\n", *SOUND[at:]]))
        self.assertIn(events, (len(SOUND), len(SOUND) + 1))
        self.assertLessEqual(counts.malformed, 1)

    @given(st.integers(0, len(LEFT_OUT) - 2), st.binary(min_size=1, max_size=3))
    def test_any_damage_to_a_report_of_dropped_lines_is_survived(
        self, at: int, junk: bytes
    ) -> None:
        damaged = LEFT_OUT[:at] + junk.replace(b"\n", b" ") + LEFT_OUT[at + len(junk) :]
        events, _ = read(b"".join([*SOUND, damaged.rstrip(b"\n") + b"\n"]))
        self.assertGreaterEqual(events, len(SOUND))
