"""``pewtertack lab request-cost`` on the command line."""

import unittest

from typer.testing import CliRunner

from pewtertack.cli.main import app
from pewtertack.lab.errors import LabUsageError


class RequestCostCommandTest(unittest.TestCase):
    def test_unknown_kind_raises_typed_error_that_lists_the_kinds(self) -> None:
        result = CliRunner().invoke(app, ["lab", "request-cost", "--kind", "nonsense"])
        self.assertIsInstance(result.exception, LabUsageError)
        self.assertIn("refused hop", str(result.exception))


if __name__ == "__main__":
    unittest.main()
