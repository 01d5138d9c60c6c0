"""Entry point of the ``pewtertack`` command and of ``python -m pewtertack``."""

from __future__ import annotations

import sys

from pewtertack.cli.exit_codes import ExitCode
from pewtertack.errors import PewtertackError

NODE_COMMAND = "node"


def main() -> None:
    """Run the command line; an error of this library exits with code 2 and no traceback."""
    try:
        if sys.argv[1:2] == [NODE_COMMAND]:
            _run_node()
        _run_application()
    except PewtertackError as error:
        print(f"pewtertack: {error.code}: {error}", file=sys.stderr)
        sys.exit(ExitCode.UNUSABLE_INPUT)


def _run_node() -> None:
    """Run a node without importing typer and its dependencies, to save memory."""
    from pewtertack.cli.node import run

    sys.exit(run(sys.argv[2:]))


def _run_application() -> None:
    from pewtertack.cli.main import app

    app()


if __name__ == "__main__":
    main()
