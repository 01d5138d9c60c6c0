"""Decoding of history lines to typed records, and rejection of invalid lines."""

import unittest

from pewtertack.lab.records import (
    CallOutcome,
    CallResult,
    HistoryFormatError,
    NodeEvent,
    RevisionInForce,
    decode_line,
    encode_record,
    read_history,
)

EVENT = '{"time": 2.5, "number": 101, "event": "NODE_READY", "node": "n", "incarnation": 7, "x": 1}'
IN_FORCE = (
    '{"time": 3, "number": 203, "event": "REVISION_IN_FORCE", "node": "n", "incarnation": 7,'
    ' "revision": 4, "digest": "ab", "routes": {"r": {"service": "s", "secrets": ["k"]}},'
    ' "services": ["s"], "secrets": ["k"]}'
)


class RecordsTest(unittest.TestCase):
    def test_a_record_survives_encoding_and_decoding(self) -> None:
        result = CallResult(
            time=1.0,
            request_id="r1",
            node="n",
            route="lookup",
            status=200,
            outcome=CallOutcome.ANSWERED,
            checksum_ok=True,
            own_answer=True,
            repeatable=False,
            latency=0.01,
        )
        self.assertEqual(decode_line(encode_record(result)), result)

    def test_node_events_decode_to_the_type_of_their_name(self) -> None:
        event, in_force = read_history([EVENT, "\n", IN_FORCE])
        self.assertIs(type(event), NodeEvent)
        assert isinstance(in_force, RevisionInForce)
        self.assertEqual(in_force.routes["r"].secrets, ("k",))

    def test_lines_that_are_no_records_are_rejected(self) -> None:
        for line in ("no json", '{"lab": "none"}', '{"time": 1}', IN_FORCE.replace("digest", "d")):
            with self.subTest(line), self.assertRaises(HistoryFormatError):
                decode_line(line)
