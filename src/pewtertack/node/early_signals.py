"""Blocks signals while a node starts, until it can handle them.

A node's sockets listen before the rest of it is loaded. A signal to stop or to reload the settings
would end the process at that point, and reset the connections waiting at its sockets.
"""

from __future__ import annotations

import signal

HANDLED_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
"""Signals that a running node handles."""


def block_signals() -> None:
    """Block the signals from now on, in threads started later as well."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock_signals() -> None:
    """Deliver the signals, pending ones included: they are handled now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
