"""Documents that a node has read from the source while no peer had reported them."""

from __future__ import annotations

from collections.abc import Callable

from pewtertack.wire.messages import DocumentKind


class UnsharedDocuments:
    """Numbers of the documents that this node read and that it has not sent to its peers yet."""

    __slots__ = ("_numbers",)

    def __init__(self) -> None:
        self._numbers: dict[DocumentKind, int] = {}

    def add(self, kind: DocumentKind, number: int) -> None:
        """Record that this node read a document that no peer had reported."""
        self._numbers[kind] = number

    def pop_held(self, held_number: Callable[[DocumentKind], int]) -> bool:
        """Forget documents up to the held ones; return whether a held one was among them.

        ``held_number`` returns the number of the held document of a kind.
        """
        if not self._numbers:
            return False
        was_held = False
        for kind, number in tuple(self._numbers.items()):
            if number <= held_number(kind):
                was_held = was_held or number == held_number(kind)
                del self._numbers[kind]
        return was_held
