"""Each kind of invalid tree is rejected with a finding of its own kind at the right path."""

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
LOOKUP_MATCH = {"service": "logbook", "path_prefix": "/contacts"}
"""The match of ``routes.lookup`` in the valid tree."""

# (value, its path in the valid tree, code, start of the finding's path, zone of the finding).
# Without a path of the finding, it starts with the path of the value.
INVALID_TREES = [
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
    (LOOKUP_MATCH, "routes.lookup-again", FindingCode.IDENTICAL_MATCH, None, None),
    (LOOKUP_MATCH, "zones.yaba.routes.lookup-again", FindingCode.IDENTICAL_MATCH, None, "yaba"),
    (["zones.lekki"], "zones.yaba.delete", FindingCode.BAD_DELETE_TARGET, None, None),
    (["routes..timeout"], "zones.yaba.delete", FindingCode.BAD_DELETE_TARGET, None, None),
    (["routes.none"], "zones.yaba.delete", FindingCode.UNKNOWN_DELETE_TARGET, None, None),
    (["secrets.token.x"], "zones.yaba.delete", FindingCode.UNKNOWN_DELETE_TARGET, None, None),
]


# (value, its path in the valid tree)
UNUSUAL_VALUES = [
    ({}, "services.Log-Book"),
    ({}, "services." + "x" * 128),
    (LOOKUP_MATCH | {"path_prefix": "/b"}, "routes._Contacts"),
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


class UnusualValueTest(unittest.TestCase):
    def test_unusual_but_valid_names_hosts_paths_and_durations_are_accepted(self) -> None:
        for value, path in UNUSUAL_VALUES:
            with self.subTest(path=path, value=value):
                self.assertEqual((), check_document(with_value(VALID_TREE, path, value)))

    def test_a_name_with_dots_is_accepted(self) -> None:
        services = {**VALID_TREE["services"], "log.book": {}}
        self.assertEqual((), check_document(with_value(VALID_TREE, "services", services)))

    def test_a_route_may_be_split_between_at_most_a_thousand_services(self) -> None:
        services = {**VALID_TREE["services"], **{f"s{n}": {} for n in range(1001)}}
        document = with_value(VALID_TREE, "services", services)
        for service_count, codes in ((1000, set()), (1001, {FindingCode.TOO_LARGE})):
            split = {f"s{n}": 1 for n in range(service_count)}
            findings = check_document(with_value(document, "routes.lookup.split", split))
            self.assertEqual(codes, {finding.code for finding in findings})


class InvalidTreeTest(unittest.TestCase):
    def test_each_invalid_tree_is_rejected_with_its_code_and_path(self) -> None:
        self.assertEqual((), check_document(VALID_TREE))
        for value, path, code, finding_path, zone in INVALID_TREES:
            with self.subTest(code=code.label, path=path):
                document = with_value(VALID_TREE, path, value)
                findings = check_document(document)
                self.assertEqual({code}, {finding.code for finding in findings})
                self.assertEqual({zone}, {finding.zone for finding in findings})
                self.assertTrue(
                    findings[0].dotted_path.startswith(finding_path or path),
                    findings[0].dotted_path,
                )
                with self.assertRaises(TreeRejectedError) as raised:
                    resolve_document(document, NO_REVISION, "lekki")
                self.assertEqual(findings, raised.exception.findings)

    def test_every_code_has_an_invalid_tree(self) -> None:
        self.assertEqual(set(FindingCode), {code for _, _, code, _, _ in INVALID_TREES})

    def test_findings_never_contain_a_secret(self) -> None:
        for secret in ("top-secret\n", "top-secret" * 500, ["top-secret"], {"a": "top-secret"}):
            findings = check_document(with_value(VALID_TREE, "secrets.token", secret))
            self.assertTrue(findings)
            self.assertNotIn("top-secret", "".join(map(str, findings)))

    def test_the_number_of_findings_is_limited(self) -> None:
        routes = {f"r{n}": {"service": "none", "path_prefix": f"/{n}"} for n in range(1500)}
        document = with_value(VALID_TREE, "routes", routes)
        self.assertEqual(FINDINGS_LIMIT, len(check_document(document)))

    def test_routes_that_differ_in_host_prefix_or_method_are_accepted(self) -> None:
        for part in ({"hosts": ["a.example"]}, {"path_prefix": "/other"}, {"methods": ["GET"]}):
            document = with_value(VALID_TREE, "routes.lookup-again", {**LOOKUP_MATCH, **part})
            self.assertEqual((), check_document(document))


KNOWN_KEYS = st.sampled_from(
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
        | st.dictionaries(KNOWN_KEYS | st.text(max_size=4) | st.integers(), children, max_size=5)
    ),
    max_leaves=40,
)
PATHS = st.sampled_from([path for _, path, _, _, _ in INVALID_TREES])


class PlainTableTest(unittest.TestCase):
    """The fast size estimate of plain tables gives the same results as the full check."""

    @PROPERTY
    @given(TREES, st.integers(0, 9))
    def test_findings_are_those_of_the_full_check(self, table: Any, depth: int) -> None:
        for _ in range(depth):
            table = {"a": [table]}
        document = {"routes": {"r": table}, "zones": {"z": {"services": {"s": table}}}}
        findings = list(structure.check_plain(document))
        with mock.patch.object(structure, "_plain_bytes", return_value=None):
            self.assertEqual(findings, list(structure.check_plain(document)))

    @PROPERTY
    @given(TREES)
    def test_the_size_is_that_of_the_full_estimate(self, table: Any) -> None:
        if isinstance(table, dict):
            size = structure._plain_bytes(table, structure.NESTING_LIMIT)
            if size is not None:
                self.assertEqual(size, structure.estimated_bytes(table))

    def test_usual_routes_are_plain_and_tables_with_findings_are_not(self) -> None:
        route = {"service": "a", "hosts": ["a.example"], "retry_budget": 0.1, "split": {"a": 1}}
        self.assertEqual(structure._plain_bytes(route, 6), structure.estimated_bytes(route))
        for value in ("\ud800", "x" * 5000, 2**70, float("nan"), None, [[["a"]]]):
            with self.subTest(str(value)[:20]):
                self.assertIsNone(structure._plain_bytes({**route, "hosts": value}, 3))


class AnyInputTest(unittest.TestCase):
    @PROPERTY
    @given(TREES)
    def test_any_value_is_validated_without_an_exception(self, tree: Any) -> None:
        self.assertIsInstance(check_document(tree), tuple)

    @PROPERTY
    @given(TREES, PATHS)
    @example(set(), "routes.lookup.hosts")
    def test_any_value_inside_a_valid_tree_is_validated_without_an_exception(
        self, value: Any, path: str
    ) -> None:
        before = copy.deepcopy(VALID_TREE)
        document = with_value(VALID_TREE, path, value)
        if not check_document(document):
            resolve_document(document, NO_REVISION, "yaba")
        self.assertEqual(before, VALID_TREE)

    def test_nesting_beyond_the_recursion_limit_of_the_interpreter_is_rejected(self) -> None:
        tree: dict[str, Any] = {}
        for _ in range(100_000):
            tree = {"routes": tree}
        self.assertEqual(FindingCode.TOO_DEEP, check_document(tree)[0].code)


if __name__ == "__main__":
    unittest.main()
