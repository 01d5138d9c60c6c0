"""Entry point of the ``pewtertack`` command and of ``python -m pewtertack``."""

from __future__ import annotations

import sys

from pewtertack.cli.exit_codes import ExitCode
from pewtertack.errors import PewtertackError


def main() -> None:
    """Run the command line; an error of this library ends with exit code 2, no traceback."""
    from pewtertack.cli.main import app

    try:
        app()
    except PewtertackError as error:
        print(f"pewtertack: {error.code}: {error}", file=sys.stderr)
        sys.exit(ExitCode.UNUSABLE_INPUT)


if __name__ == "__main__":
    main()
