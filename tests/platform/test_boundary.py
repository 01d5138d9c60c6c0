"""The platform's names stand in its folder, in the lab's stand-in and in deploy/ alone."""

import re
import unittest
from pathlib import Path

SOURCE = Path(__file__).resolve().parents[2] / "src" / "pewtertack"
WORDS = re.compile(
    r"X-(Attempt-Id|Deadline-Milliseconds|Server-Signature|Server-Load|Expected-Instance"
    r"|Not-Executed|Caller-Service|Instance-Id)\b|kv-(key|range|watch)|PEWTERTACK_NODE_FILE"
    r"|op/config|PathPrefix|TrafficSplit|TargetLatency|ColdRemaining|Store-Era",
    re.IGNORECASE,
)
ALLOWED = ("platform", "lab")


class BoundaryTest(unittest.TestCase):
    def test_no_other_module_knows_the_platforms_names(self) -> None:
        found = [
            f"{path.relative_to(SOURCE)}: {match.group()}"
            for path in sorted(SOURCE.rglob("*.py"))
            if path.relative_to(SOURCE).parts[0] not in ALLOWED
            for match in WORDS.finditer(path.read_text())
        ]
        self.assertEqual(found, [])

    def test_the_folder_stays_small(self) -> None:
        lines = sum(
            len(path.read_text().splitlines()) for path in (SOURCE / "platform").glob("*.py")
        )
        self.assertLess(lines, 600)
