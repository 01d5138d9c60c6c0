"""Whether callers may be served at this moment."""

from __future__ import annotations

from pewtertack.node import clock


class ServingGate:
    """Open while the core lets the node serve and its ticker runs.

    A process that was paused finds requests in its sockets before its ticker has
    run. The gate refuses them: the core has not looked at the gap yet, and what
    the node believes may be old.

    Args:
        pause_threshold: seconds without a tick after which the gate is shut.
    """

    def __init__(self, pause_threshold: float) -> None:
        self._pause_threshold = pause_threshold
        self._last_tick = clock.now()
        self._serving = False
        self._leaving = False

    def set_serving(self, serving: bool) -> None:
        """Take over the core's decision."""
        self._serving = serving

    def ticked(self) -> None:
        """Note that the core has seen the time."""
        self._last_tick = clock.now()

    def start_leaving(self) -> None:
        """Be not ready from now on; callers that come all the same are served."""
        self._leaving = True

    def is_ready(self) -> bool:
        """Tell whether callers should be sent here."""
        return not self._leaving and self.may_serve()

    def may_serve(self) -> bool:
        """Tell whether callers may be served now."""
        return self._serving and clock.now() - self._last_tick <= self._pause_threshold
