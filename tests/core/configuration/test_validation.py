"""Each kind of bad tree is refused with its own finding, at its place."""

import copy
import datetime
import math
import unittest
from typing import Any
from unittest import mock

from hypothesis import example, given
from hypothesis import strategies as st

from pewtertack.core.configuration import structure
from pewtertack.core.configuration.findings import FindingCode, TreeRejectedError
from pewtertack.core.configuration.resolution import resolve_document
from pewtertack.core.configuration.validation import FINDINGS_LIMIT, check_document
from pewtertack.core.revision import NO_REVISION
from tests.core.configuration.trees import PROPERTY, VALID_TREE, with_value

MANY_MATCHES = {
    f"r{n}": {"service": "logbook", "path_prefix": f"/{n}", "methods": ["GET", "PUT", "POST"]}
    | {"hosts": [f"h{host}" for host in range(64)]}
    for n in range(110)
}
"""Routes that match more combinations of host and method than allowed."""

MANY_HEADERS = {f"x-{n}": "token" for n in range(65)}
WHOLE = {"service": "logbook", "path_prefix": "/contacts"}
"""What ``routes.lookup`` of the valid tree matches."""

# (value, its place in the valid tree, code, place of the finding, zone of the finding)
BAD_TREES = [
    ({"zones": {"yaba": {}}}, "", FindingCode.EMPTY_TREE, "(root)", None),
    ([], "", FindingCode.NOT_A_TABLE, "(root)", None),
    (5, "routes", FindingCode.NOT_A_TABLE, "routes", None),
    ("x", "services.logbook", FindingCode.NOT_A_TABLE, "services.logbook", None),
    ([], "zones.yaba", FindingCode.NOT_A_TABLE, "zones.yaba", None),
    ([[[[[[[]]]]]]], "x.y", FindingCode.TOO_DEEP, "x.y.0.0.0.0.0.0", None),
    ("x" * 5000, "secrets.token", FindingCode.TOO_LARGE, "secrets.token", None),
    ({str(n): n for n in range(240_000)}, "x", FindingCode.TOO_LARGE, "(root)", None),
    (["ü" * 4000] * 550, "x", FindingCode.TOO_LARGE, "(root)", None),
    ([f"h{n}" for n in range(65)], "routes.lookup.hosts", FindingCode.TOO_LARGE, None, None),
    ("/" + "x" * 2000, "routes.lookup.path_prefix", FindingCode.TOO_LARGE, None, None),
    ({f"z{n}": {} for n in range(33)}, "zones", FindingCode.TOO_LARGE, None, None),
    ({f"s{n}": "x" for n in range(32_769)}, "secrets", FindingCode.TOO_LARGE, None, None),
    ({f"s{n}": {} for n in range(32_769)}, "services", FindingCode.TOO_LARGE, None, None),
    (MANY_HEADERS, "route_defaults.header_secrets", FindingCode.TOO_LARGE, None, None),
    (["secrets.spare"] * 1001, "zones.yaba.delete", FindingCode.TOO_LARGE, None, None),
    (MANY_MATCHES, "routes", FindingCode.TOO_LARGE, None, None),
    ({7: "x"}, "secrets", FindingCode.NON_STRING_KEY, "secrets", None),
    ({"\ud800": "x"}, "secrets", FindingCode.UNSUPPORTED_VALUE, "secrets", None),
    ("\ud800", "secrets.token", FindingCode.UNSUPPORTED_VALUE, "secrets.token", None),
    (datetime.date(2026, 1, 1), "secrets.token", FindingCode.UNSUPPORTED_VALUE, None, None),
    (None, "routes.lookup.timeout", FindingCode.UNSUPPORTED_VALUE, None, None),
    (math.nan, "routes.lookup.retry_budget", FindingCode.NOT_FINITE, None, None),
    (-math.inf, "routes.lookup.retry_budget", FindingCode.NOT_FINITE, None, None),
    (10**5000, "routes.lookup.queue_limit", FindingCode.OUT_OF_RANGE, None, None),
    ("2s", "routes.lookup.time_out", FindingCode.UNKNOWN_KEY, None, None),
    ("logbook", "route_defaults.service", FindingCode.UNKNOWN_KEY, None, None),
    ({}, "zones.yaba.zones", FindingCode.UNKNOWN_KEY, None, None),
    ([], "delete", FindingCode.UNKNOWN_KEY, None, None),
    (True, "routes.lookup.retry_limit", FindingCode.WRONG_TYPE, None, None),
    (1.0, "service_defaults.slots_per_backend", FindingCode.WRONG_TYPE, None, None),
    ("yes", "routes.lookup.repeatable", FindingCode.WRONG_TYPE, None, None),
    ("GET", "routes.lookup.methods", FindingCode.WRONG_TYPE, None, None),
    ([5], "routes.lookup.hosts", FindingCode.WRONG_TYPE, "routes.lookup.hosts.0", None),
    (5, "secrets.token", FindingCode.WRONG_TYPE, None, None),
    ("routes.lookup", "zones.yaba.delete", FindingCode.WRONG_TYPE, None, None),
    (2, "routes.lookup.timeout", FindingCode.WRONG_UNIT, None, None),
    ("2", "zones.yaba.route_defaults.timeout", FindingCode.WRONG_UNIT, None, None),
    ("2 s", "routes.lookup.timeout", FindingCode.WRONG_UNIT, None, None),
    ("٢s", "routes.lookup.timeout", FindingCode.WRONG_UNIT, None, None),
    ("0s", "routes.lookup.timeout", FindingCode.OUT_OF_RANGE, None, None),
    ("2h", "routes.lookup.timeout", FindingCode.OUT_OF_RANGE, None, None),
    (2**20 + 1, "head_bytes", FindingCode.OUT_OF_RANGE, None, None),
    (-1, "routes.lookup.queue_limit", FindingCode.OUT_OF_RANGE, None, None),
    (1.5, "routes.lookup.retry_budget", FindingCode.OUT_OF_RANGE, None, None),
    ("fast", "routes.lookup.class", FindingCode.UNKNOWN_CHOICE, None, None),
    (["get"], "routes.lookup.methods", FindingCode.UNKNOWN_CHOICE, None, None),
    ({}, "services.Log Book", FindingCode.BAD_NAME, None, None),
    ("x", "secrets.-token", FindingCode.BAD_NAME, None, None),
    ("Log Book", "routes.lookup.service", FindingCode.BAD_NAME, None, None),
    (["a.example:80"], "routes.lookup.hosts", FindingCode.BAD_HOST, None, None),
    (["a..example"], "routes.lookup.hosts", FindingCode.BAD_HOST, None, None),
    ("contacts", "routes.lookup.path_prefix", FindingCode.BAD_PATH, None, None),
    ("/contacts/", "routes.lookup.path_prefix", FindingCode.BAD_PATH, None, None),
    ("/a/../b", "routes.lookup.path_prefix", FindingCode.BAD_PATH, None, None),
    ("/a\n", "routes.lookup.path_prefix", FindingCode.BAD_PATH, None, None),
    ({"X-Key": "token"}, "routes.lookup.header_secrets", FindingCode.BAD_HEADER, None, None),
    ({"host": "token"}, "routes.lookup.header_secrets", FindingCode.RESERVED_HEADER, None, None),
    ("a\r\nx: y", "secrets.token", FindingCode.BAD_SECRET, None, None),
    ("", "secrets.token", FindingCode.BAD_SECRET, None, None),
    (["a.example", "A.example"], "routes.lookup.hosts", FindingCode.DUPLICATE_ITEM, None, None),
    (["secrets.spare"] * 2, "zones.yaba.delete", FindingCode.DUPLICATE_ITEM, None, None),
    ({"path_prefix": "/new"}, "routes.new", FindingCode.MISSING_SETTING, None, None),
    ({"timeout": "1s"}, "zones.yaba.routes.new", FindingCode.MISSING_SETTING, None, "yaba"),
    ("nothing", "routes.lookup.service", FindingCode.MISSING_SERVICE, None, None),
    ("nothing", "zones.yaba.routes.lookup.service", FindingCode.MISSING_SERVICE, None, "yaba"),
    (["services.logbook"], "zones.yaba.delete", FindingCode.MISSING_SERVICE, "routes", "yaba"),
    ({"x-a": "none"}, "route_defaults.header_secrets", FindingCode.MISSING_SECRET, None, None),
    (["secrets.token"], "zones.yaba.delete", FindingCode.MISSING_SECRET, "routes", "yaba"),
    (WHOLE, "routes.lookup-again", FindingCode.IDENTICAL_MATCH, None, None),
    (WHOLE, "zones.yaba.routes.lookup-again", FindingCode.IDENTICAL_MATCH, None, "yaba"),
    (["zones.lekki"], "zones.yaba.delete", FindingCode.BAD_DELETE_TARGET, None, None),
    (["routes..timeout"], "zones.yaba.delete", FindingCode.BAD_DELETE_TARGET, None, None),
    (["routes.none"], "zones.yaba.delete", FindingCode.UNKNOWN_DELETE_TARGET, None, None),
    (["secrets.token.x"], "zones.yaba.delete", FindingCode.UNKNOWN_DELETE_TARGET, None, None),
]


# (value, its place in the valid tree)
WIDE_FORMS = [
    ({}, "services.Log-Book"),
    ({}, "services." + "x" * 128),
    (WHOLE | {"path_prefix": "/b"}, "routes._Contacts"),
    (
        ["A.example", "my_desk.example", "desk.example.", "10.1.0.8", "[fd00::8]"],
        "routes.lookup.hosts",
    ),
    ("/a%20b/%C3%BC", "routes.lookup.path_prefix"),
    ("/%2E%2E/a%2F", "routes.lookup.path_prefix"),
    ("1200.0625ms", "routes.lookup.timeout"),
    ("0.000000000000000001s", "routes.lookup.target_latency"),
    ("/health/?full=1&of=a%20b", "services.logbook.health_path"),
    (65_536, "head_bytes"),
    (dict.fromkeys(VALID_TREE["services"], 1_000_000), "routes.lookup.split"),
]


class WideFormTest(unittest.TestCase):
    def test_usual_forms_of_names_hosts_paths_and_times_are_accepted(self):
        for value, path in WIDE_FORMS:
            with self.subTest(path=path, value=value):
                self.assertEqual((), check_document(with_value(VALID_TREE, path, value)))

    def test_a_name_with_dots_is_accepted(self):
        services = {**VALID_TREE["services"], "log.book": {}}
        self.assertEqual((), check_document(with_value(VALID_TREE, "services", services)))

    def test_a_route_may_have_a_thousand_parts_and_no_more(self):
        services = {**VALID_TREE["services"], **{f"s{n}": {} for n in range(1001)}}
        document = with_value(VALID_TREE, "services", services)
        for parts, codes in ((1000, set()), (1001, {FindingCode.TOO_LARGE})):
            split = {f"s{n}": 1 for n in range(parts)}
            findings = check_document(with_value(document, "routes.lookup.split", split))
            self.assertEqual(codes, {finding.code for finding in findings})


class BadTreeTest(unittest.TestCase):
    def test_each_bad_tree_is_refused_with_its_code_and_place(self):
        self.assertEqual((), check_document(VALID_TREE))
        for value, path, code, place, zone in BAD_TREES:
            with self.subTest(code=code.label, path=path):
                document = with_value(VALID_TREE, path, value)
                findings = check_document(document)
                self.assertEqual({code}, {finding.code for finding in findings})
                self.assertEqual({zone}, {finding.zone for finding in findings})
                self.assertTrue(
                    findings[0].dotted_path.startswith(place or path), findings[0].dotted_path
                )
                with self.assertRaises(TreeRejectedError) as raised:
                    resolve_document(document, NO_REVISION, "lekki")
                self.assertEqual(findings, raised.exception.findings)

    def test_every_code_is_shown_by_a_bad_tree(self):
        self.assertEqual(set(FindingCode), {code for _, _, code, _, _ in BAD_TREES})

    def test_findings_never_show_a_secret(self):
        for secret in ("top-secret\n", "top-secret" * 500, ["top-secret"], {"a": "top-secret"}):
            findings = check_document(with_value(VALID_TREE, "secrets.token", secret))
            self.assertTrue(findings)
            self.assertNotIn("top-secret", "".join(map(str, findings)))

    def test_findings_are_bounded(self):
        routes = {f"r{n}": {"service": "none", "path_prefix": f"/{n}"} for n in range(1500)}
        document = with_value(VALID_TREE, "routes", routes)
        self.assertEqual(FINDINGS_LIMIT, len(check_document(document)))

    def test_routes_that_differ_in_one_part_of_the_match_are_accepted(self):
        for part in ({"hosts": ["a.example"]}, {"path_prefix": "/other"}, {"methods": ["GET"]}):
            document = with_value(VALID_TREE, "routes.lookup-again", {**WHOLE, **part})
            self.assertEqual((), check_document(document))


VOCABULARY = st.sampled_from(
    ["routes", "services", "zones", "secrets", "route_defaults", "service_defaults", "delete"]
    + ["lookup", "logbook", "yaba", "token", "service", "timeout", "hosts", "header_secrets"]
)
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=8),
    st.binary(max_size=4),
    st.datetimes(),
    st.sampled_from(["2s", "logbook", "token", "routes.lookup", "/", "GET", "\ud800"]),
)
TREES = st.recursive(
    SCALARS,
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(VOCABULARY | st.text(max_size=4) | st.integers(), children, max_size=5)
    ),
    max_leaves=40,
)
PLACES = st.sampled_from([path for _, path, _, _, _ in BAD_TREES])


class PlainTableTest(unittest.TestCase):
    """Tables in which nothing can be found are passed over, and only those."""

    @PROPERTY
    @given(TREES, st.integers(0, 9))
    def test_what_is_found_is_what_a_walk_by_single_values_finds(
        self, table: Any, depth: int
    ) -> None:
        for _ in range(depth):
            table = {"a": [table]}
        document = {"routes": {"r": table}, "zones": {"z": {"services": {"s": table}}}}
        found = list(structure.check_plain(document))
        with mock.patch.object(structure, "_plain_size", return_value=None):
            self.assertEqual(found, list(structure.check_plain(document)))

    @PROPERTY
    @given(TREES)
    def test_the_size_is_that_of_a_walk(self, table: Any) -> None:
        if isinstance(table, dict):
            size = structure._plain_size(table, structure.DEPTH_LIMIT)
            if size is not None:
                self.assertEqual(size, structure.size_of(table))

    def test_usual_routes_are_passed_over(self) -> None:
        route = {"service": "a", "hosts": ["a.example"], "retry_budget": 0.1, "split": {"a": 1}}
        self.assertEqual(structure._plain_size(route, 6), structure.size_of(route))
        for value in ("\ud800", "x" * 5000, 2**70, float("nan"), None, [[["a"]]]):
            with self.subTest(str(value)[:20]):
                self.assertIsNone(structure._plain_size({**route, "hosts": value}, 3))


class AnyInputTest(unittest.TestCase):
    @PROPERTY
    @given(TREES)
    def test_any_value_is_judged_without_raising(self, tree):
        self.assertIsInstance(check_document(tree), tuple)

    @PROPERTY
    @given(TREES, PLACES)
    @example(set(), "routes.lookup.hosts")
    def test_any_value_inside_a_valid_tree_is_judged_without_raising(self, value, place):
        before = copy.deepcopy(VALID_TREE)
        document = with_value(VALID_TREE, place, value)
        if not check_document(document):
            resolve_document(document, NO_REVISION, "yaba")
        self.assertEqual(before, VALID_TREE)

    def test_nesting_beyond_the_interpreter_s_recursion_is_refused(self):
        tree: object = {}
        for _ in range(100_000):
            tree = {"routes": tree}
        self.assertEqual(FindingCode.TOO_DEEP, check_document(tree)[0].code)


if __name__ == "__main__":
    unittest.main()
