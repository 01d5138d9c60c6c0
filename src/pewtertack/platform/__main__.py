"""A node on the users' platform: ``python -m pewtertack.platform``.

The platform names the settings file, which ``deploy/node.toml.template`` shapes, in an
environment variable.
"""

from __future__ import annotations

import os
import sys

from pewtertack.errors import PewtertackError
from pewtertack.node import collector
from pewtertack.node.lean_imports import decline_unused

SETTINGS_VARIABLE = "PEWTERTACK_NODE_FILE"


def main() -> int:
    """Run the node and return its exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    collector.pause()
    decline_unused()
    from pewtertack.cli.exit_codes import ExitCode
    from pewtertack.cli.node import run
    from pewtertack.platform.store import make_reader

    try:
        return run(["--settings", path], make_reader)
    except PewtertackError as error:
        print(f"pewtertack: {error.code}: {error}", file=sys.stderr)
        return ExitCode.UNUSABLE_INPUT


if __name__ == "__main__":
    sys.exit(main())
