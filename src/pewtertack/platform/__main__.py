"""Runs a node on the users' platform: ``python -m pewtertack.platform``.

The settings file, made from ``deploy/node.toml.template``, is named by an environment variable.
"""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING

from pewtertack.errors import PewtertackError
from pewtertack.node import collector
from pewtertack.node.import_stubs import install_stubs

if TYPE_CHECKING:
    from pewtertack.platform.store import StoreReader
    from pewtertack.settings import Settings

SETTINGS_VARIABLE = "PEWTERTACK_NODE_FILE"


def main() -> int:
    """Run the node and return its exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    collector.pause()
    install_stubs()
    from pewtertack.cli.exit_codes import ExitCode
    from pewtertack.node.start import start_node

    try:
        return start_node(path, {}, _make_reader)
    except PewtertackError as error:
        print(f"pewtertack: {error.code}: {error}", file=sys.stderr)
        return ExitCode.UNUSABLE_INPUT


def _make_reader(settings: Settings) -> StoreReader:
    """Return the reader of the platform's store, importing its modules after sockets are bound."""
    from pewtertack.platform.store import make_reader

    return make_reader(settings)


if __name__ == "__main__":
    sys.exit(main())
