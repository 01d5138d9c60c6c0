"""Decides whether callers may be served now."""

from __future__ import annotations

from pewtertack.node import clock


class ServingGate:
    """Open while the core allows the node to serve and its ticker runs.

    A process that was paused finds requests in its sockets before its ticker has run. The gate
    refuses them: the core has not accounted for the pause yet, and the node's knowledge may be
    outdated.

    Args:
        pause_threshold: seconds without a tick after which the gate is closed.
    """

    def __init__(self, pause_threshold: float) -> None:
        self._pause_threshold = pause_threshold
        self._last_tick = clock.now()
        self._serving = False
        self._leaving = False

    def set_serving(self, serving: bool) -> None:
        """Apply the core's decision."""
        self._serving = serving

    def note_tick(self) -> None:
        """Note that the core has processed a tick."""
        self._last_tick = clock.now()

    def start_leaving(self) -> None:
        """Report not ready from now on; callers that still come are served."""
        self._leaving = True

    def is_ready(self) -> bool:
        """Return whether callers should be sent here."""
        return not self._leaving and self.may_serve()

    def may_serve(self) -> bool:
        """Return whether callers may be served now."""
        return self._serving and clock.now() - self._last_tick <= self._pause_threshold
