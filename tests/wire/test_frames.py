"""Frames: round trip, typed errors, recovery after invalid input, replay protection."""

import unittest
from typing import get_args
from unittest import mock

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from pewtertack.core.delta import DeleteValue, Delta, SetValue
from pewtertack.core.machines import MachineRole
from pewtertack.core.revision import RevisionId
from pewtertack.errors import ProtocolError
from pewtertack.wire import errors
from pewtertack.wire.frames import (
    DATAGRAM_BYTES_MAX,
    STREAM_BYTES_MAX,
    TAG_BYTES,
    Envelope,
    FrameReader,
    encode_frame,
    tag_of,
)
from pewtertack.wire.messages import (
    Acknowledge,
    Announce,
    BackendsLeaving,
    Busy,
    CrashedRequest,
    CrashReports,
    DeltaAnswer,
    DepartedBackend,
    DocumentKind,
    EndedBackend,
    EndedEvacuation,
    EvacuationsEnded,
    HeldReport,
    IndirectAcknowledge,
    JoinAnswer,
    JoinRequest,
    KeptBackend,
    LeavingBackend,
    ListOverrides,
    MemberStatus,
    MemberUpdate,
    Message,
    PackedAnswer,
    Ping,
    PingRequest,
    Pull,
    ReaderHeartbeat,
    SnapshotAnswer,
    SourceAges,
    VersionState,
)
from pewtertack.wire.replay import WINDOW_COUNTERS, ReplayGuard

KEY = bytes(range(32))
REVISION = RevisionId(7, b"\x00\xff" * 8)
STATE = VersionState.of(REVISION, RevisionId(6, b"\x02" * 16), 7, True)
MEMBER = MemberUpdate("a-1", "127.0.0.1:7001", "yaba", "lagos", 1_790_000_000_000, MemberStatus(2))
DELTA = Delta(
    REVISION, REVISION, (SetValue(("a", "b"), {"c": [1, 1.5, None]}), DeleteValue(("x",)))
)
EVERY_MESSAGE: tuple[Message, ...] = (
    Ping(1, STATE, (MEMBER,)),
    Acknowledge(1, STATE),
    PingRequest(1, "b"),
    IndirectAcknowledge(1, "b"),
    Announce(STATE, DELTA),
    Pull(DocumentKind.CONFIGURATION, REVISION, REVISION),
    DeltaAnswer(DocumentKind.CONFIGURATION, (DELTA,)),
    SnapshotAnswer(DocumentKind.MACHINE_LIST, REVISION, {"a": {"b": 2**70}}),
    Busy(DocumentKind.CONFIGURATION, 200),
    HeldReport(REVISION),
    PackedAnswer(DocumentKind.CONFIGURATION, b"compressed"),
    JoinRequest(MEMBER),
    JoinAnswer(STATE, MEMBER, (MEMBER, MEMBER)),
    BackendsLeaving((LeavingBackend("b-1", "127.0.0.1:9100"),)),
    BackendsLeaving((LeavingBackend("b-1", "127.0.0.1:9100", 1_700_000_000_000),)),
    ListOverrides(
        2**40 + 7,
        5_900,
        (LeavingBackend("b-1", "127.0.0.1:9100", 7),),
        (DepartedBackend("b-2", "127.0.0.1:9101", "archive", 7, 9),),
        (KeptBackend("b-3", MachineRole.BACKEND, "yaba", "127.0.0.1:9102", "archive"),),
    ),
    EvacuationsEnded(1, 1_200, (EndedEvacuation("yaba", 2**30),)),
    CrashReports((CrashedRequest(b"f" * 16, (EndedBackend(7, 120),), None),)),
    ReaderHeartbeat(
        STATE, b"d" * 16, SourceAges(120, None), (DeltaAnswer(DocumentKind.MACHINE_LIST, (DELTA,)),)
    ),
)


def envelope(counter: int, message: Message = EVERY_MESSAGE[0]) -> Envelope:
    return Envelope("a-1", "127.0.0.1:7001", 1_790_000_000_000, counter, message)


def signed(value: object) -> bytes:
    body = cbor2.dumps(value)
    return tag_of(body, KEY) + body


class FrameTest(unittest.TestCase):
    def test_every_message_type_round_trips(self) -> None:
        self.assertEqual({type(message) for message in EVERY_MESSAGE}, set(get_args(Message)))
        reader = FrameReader(KEY)
        for counter, message in enumerate(EVERY_MESSAGE):
            with self.subTest(type(message).__name__):
                sent = envelope(counter, message)
                self.assertEqual(reader.read(encode_frame(sent, KEY)), sent)

    def test_each_refusal_has_its_error_type(self) -> None:
        good = encode_frame(envelope(1), KEY)
        body = cbor2.loads(good[TAG_BYTES:])
        cases: dict[type[ProtocolError], tuple[bytes, ...]] = {
            errors.OversizedFrameError: (good + bytes(DATAGRAM_BYTES_MAX),),
            errors.TruncatedFrameError: (b"", good[:TAG_BYTES]),
            errors.StrangerFrameError: (good[:-1], bytes(64), encode_frame(envelope(1), b"k" * 16)),
            errors.WrongVersionError: (signed([2, *body[1:]]),),
            errors.UnknownMessageError: (
                signed([*body[:-1], [99, 1]]),
                signed([*body[:-1], ["x"]]),
            ),
            errors.MalformedFrameError: (
                signed({}),
                signed(body[:-1]),
                signed([*body[:-1], [1]]),
                signed([1, b"name", *body[2:]]),
                signed([*body[:-1], [1, 1, [], []]]),
                signed([*body[:-1], [14, body[-1][2], b"d" * 16, [-1, 0], []]]),
                signed(cbor2.CBORTag(0, "2026-01-01T00:00:00Z")),
                tag_of(b"\x9f", KEY) + b"\x9f",
                tag_of(b"\x81" * 900, KEY) + b"\x81" * 900,
                tag_of(b"\x9b" + b"\x7f" * 8, KEY) + b"\x9b" + b"\x7f" * 8,
                tag_of(b"\x5a\xff\xff\xff\xff", KEY) + b"\x5a\xff\xff\xff\xff",
            ),
        }
        for kind, frames in cases.items():
            for index, frame in enumerate(frames):
                with self.subTest(kind.code, index=index), self.assertRaises(kind):
                    FrameReader(KEY).read(frame, DATAGRAM_BYTES_MAX)

    def test_all_cbor_tags_except_big_integers_are_refused(self) -> None:
        contents = (1, "2026-01-01T00:00:00Z", [1, 2], {"a": 1}, b"a" * 4, None)
        for number in (*range(2), *range(4, 1100), 43000, 55799, 2**32, 2**63):
            for content in contents:
                message = [1, "a", "b", 1, 1, [9, 0, cbor2.CBORTag(number, content)]]
                data = cbor2.dumps(message)
                with self.subTest(number), self.assertRaises(errors.MalformedFrameError) as raised:
                    FrameReader(KEY).read(tag_of(data, KEY) + data)
                self.assertIn("tag", str(raised.exception))

    def test_accepted_keys_are_tried_after_the_own_key(self) -> None:
        old, older = b"o" * 16, b"p" * 16
        reader = FrameReader(KEY, (old, older))
        for counter, key in enumerate((KEY, old, older)):
            frame = encode_frame(envelope(counter), key)
            self.assertEqual(reader.read(frame), envelope(counter))
        self.assertEqual(reader.frames_by_accepted_keys, 2)
        with self.assertRaises(errors.StrangerFrameError):
            reader.read(encode_frame(envelope(9), b"k" * 16))
        with self.assertRaises(errors.ReplayedFrameError):
            reader.read(encode_frame(envelope(1), KEY))
        with mock.patch("pewtertack.wire.frames.tag_of", wraps=tag_of) as tagged:
            reader.read(encode_frame(envelope(10), KEY))
        self.assertEqual(tagged.call_count, 2, "one tag computed for encoding and one for checking")

    def test_a_frame_too_long_for_a_stream_is_not_encoded(self) -> None:
        document = {"a": "x" * STREAM_BYTES_MAX}
        message = SnapshotAnswer(DocumentKind.CONFIGURATION, REVISION, document)
        with self.assertRaises(errors.OversizedFrameError):
            encode_frame(envelope(1, message), KEY)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=200), st.booleans())
    def test_arbitrary_bytes_give_a_typed_error_and_later_frames_are_read(
        self, data: bytes, sign: bool
    ) -> None:
        reader = FrameReader(KEY)
        with self.assertRaises(ProtocolError):
            reader.read(tag_of(data, KEY) + data if sign else data)
        self.assertEqual(reader.read(encode_frame(envelope(1), KEY)), envelope(1))

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.integers(0, len(EVERY_MESSAGE) - 1), st.integers(0), st.binary(min_size=1, max_size=3)
    )
    def test_a_modified_signed_body_gives_a_message_or_a_typed_error(
        self, index: int, position: int, patch: bytes
    ) -> None:
        body = encode_frame(envelope(1, EVERY_MESSAGE[index]), KEY)[TAG_BYTES:]
        start = position % len(body)
        altered = body[:start] + patch + body[start + len(patch) :]
        try:
            FrameReader(KEY).read(tag_of(altered, KEY) + altered)
        except ProtocolError as error:
            self.assertTrue(error.code.startswith("frame-"))


class ReplayGuardTest(unittest.TestCase):
    def setUp(self) -> None:
        self.guard = ReplayGuard(window_limit=2)

    def refuses(self, counter: int, sender: str = "a", incarnation: int = 1) -> bool:
        try:
            self.guard.accept(sender, incarnation, counter)
        except errors.ReplayedFrameError:
            return True
        return False

    @settings(deadline=None, derandomize=True)
    @given(st.lists(st.integers(0, WINDOW_COUNTERS - 1), max_size=60))
    def test_each_counter_within_the_window_is_accepted_once(self, counters: list[int]) -> None:
        self.guard = ReplayGuard()
        refused = [self.refuses(counter) for counter in counters]
        expected = [counter in counters[:index] for index, counter in enumerate(counters)]
        self.assertEqual(refused, expected)

    def test_counters_older_than_the_window_are_refused(self) -> None:
        self.assertFalse(self.refuses(5 + WINDOW_COUNTERS))
        self.assertTrue(self.refuses(5))
        self.assertFalse(self.refuses(6))

    def test_each_incarnation_has_its_own_window(self) -> None:
        self.assertFalse(self.refuses(1, incarnation=1))
        self.assertFalse(self.refuses(1, incarnation=2))
        self.assertTrue(self.refuses(1, incarnation=1))

    def test_the_least_recently_active_process_is_evicted(self) -> None:
        for sender in ("a", "b", "a", "c"):
            self.refuses(1, sender)
        self.assertEqual(len(self.guard), 2)
        self.assertTrue(self.refuses(1, "a"))
