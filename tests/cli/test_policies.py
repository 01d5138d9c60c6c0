"""The command policies: what it lists, and the width of its lines."""

import contextlib
import io
import unittest
from unittest import mock

from pewtertack.__main__ import main
from pewtertack.routing.policies import DEFAULT_POLICIES, all_policies

MAX_COLUMNS = 100


def printed_lines() -> list[str]:
    """Return the lines that ``pewtertack policies`` prints."""
    output = io.StringIO()
    with (
        mock.patch("sys.argv", ["pewtertack", "policies"]),
        contextlib.redirect_stdout(output),
        contextlib.suppress(SystemExit),
    ):
        main()
    return output.getvalue().splitlines()


class PoliciesCommandTest(unittest.TestCase):
    def test_no_line_is_longer_than_a_terminal_is_wide(self) -> None:
        self.assertLessEqual(max(map(len, printed_lines())), MAX_COLUMNS)

    def test_every_policy_is_listed_with_its_parameters(self) -> None:
        words = " ".join(printed_lines()).split()
        for policy in all_policies():
            with self.subTest(policy.kind.value, name=policy.name):
                self.assertIn(f"{policy.kind.value}={policy.name}", words)
                for expected in (policy.purpose, *(item.source for item in policy.parameters)):
                    self.assertIn(expected, " ".join(words))

    def test_the_policies_in_use_are_marked(self) -> None:
        marked = {line.split()[0] for line in printed_lines() if line.endswith("(in use)")}
        in_use = {
            f"{policy.kind.value}={policy.name}"
            for policy in all_policies()
            if getattr(DEFAULT_POLICIES, policy.kind.value) == policy.name
        }
        self.assertEqual(marked, in_use)


if __name__ == "__main__":
    unittest.main()
