"""Names of the platform occur only in its package, in the lab's stand-in and in deploy/."""

import re
import unittest
from pathlib import Path

SOURCE = Path(__file__).resolve().parents[2] / "src" / "pewtertack"
PLATFORM_NAMES = re.compile(
    r"X-(Attempt-Id|Deadline-Milliseconds|Server-Signature|Server-Load|Expected-Instance"
    r"|Not-Executed|Caller-Service|Instance-Id)\b|kv-(key|range|watch)|PEWTERTACK_NODE_FILE"
    r"|op/config|PathPrefix|TrafficSplit|TargetLatency|ColdRemaining|Store-Era",
    re.IGNORECASE,
)
ALLOWED_PACKAGES = ("platform", "lab")


class BoundaryTest(unittest.TestCase):
    def test_no_other_module_uses_platform_names(self) -> None:
        found = [
            f"{path.relative_to(SOURCE)}: {match.group()}"
            for path in sorted(SOURCE.rglob("*.py"))
            if path.relative_to(SOURCE).parts[0] not in ALLOWED_PACKAGES
            for match in PLATFORM_NAMES.finditer(path.read_text())
        ]
        self.assertEqual(found, [])

    def test_platform_package_stays_small(self) -> None:
        lines = sum(
            len(path.read_text().splitlines()) for path in (SOURCE / "platform").glob("*.py")
        )
        self.assertLess(lines, 600)
