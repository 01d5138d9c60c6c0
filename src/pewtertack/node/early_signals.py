"""Signals that come while a node starts: kept by the system until the node can act on them.

A node's sockets listen before the rest of it is loaded. Told to stop or to read its settings
again meanwhile, the process would end on the spot, and reset who waits at its sockets.
"""

from __future__ import annotations

import signal

HANDLED = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
"""What a running node acts on."""


def block_signals() -> None:
    """Have the system keep them from now on; threads that are started meanwhile never get them."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


def unblock_signals() -> None:
    """Take them, and those that were kept: somebody acts on them now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
