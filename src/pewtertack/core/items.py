"""Items of the platform that cannot be understood: what is wrong, and who has been told."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from typing import ClassVar, Generic, TypeVar

import msgspec

from pewtertack.core.configuration.model import LIST_LENGTH_LIMIT
from pewtertack.core.configuration.values import is_zone_name
from pewtertack.core.effects import Effect, Log
from pewtertack.errors import PlatformError
from pewtertack.events import Event
from pewtertack.wire.messages import DocumentKind

REMEMBERED_FINDINGS_MAX = 1024
"""Items of a document of which a node remembers what it has said; a fleet of 1,700 machines
has as many. What is wrong with further ones is not told."""
LOGGED_FINDINGS_MAX = 16
"""Events for one reading of a document: a fleet's whole list may be spoilt in one write."""
SHOWN_CHARACTERS = 120

Item = TypeVar("Item")


class ItemProblem(StrEnum):
    """Why an item is passed over."""

    UNREADABLE = "unreadable"
    """Its bytes are no document."""
    FIELD = "field"
    """A field is missing, or has a wrong type or a value that is none of the known."""
    ADDRESS = "address"
    """It names no address that a back end may have."""
    NAME = "name"
    """It has a name that no item of its kind may have."""
    CLAIMED = "claimed"
    """It says what another item has said of itself first."""
    ERA = "era"
    """The source's era, told with an answer, is none, or none that can follow the one before."""


class ItemFinding(msgspec.Struct, frozen=True):
    """One item that was passed over; the others of its document hold."""

    item: str
    problem: ItemProblem
    detail: str = ""


class ItemFormatError(PlatformError):
    """One item makes no sense."""

    code: ClassVar[str] = "platform-item"

    def __init__(self, problem: ItemProblem, detail: str) -> None:
        self.problem = problem
        super().__init__(detail)

    def about(self, item: str) -> ItemFinding:
        """Return the finding about ``item``."""
        return ItemFinding(item, self.problem, str(self))


def parse_item(value: bytes | msgspec.Raw, kind: type[Item]) -> Item:
    """Read bytes of any kind as a typed document.

    Raises:
        ItemFormatError: they are none.
    """
    try:
        return msgspec.json.decode(value, type=kind)
    except msgspec.ValidationError as error:
        raise ItemFormatError(ItemProblem.FIELD, str(error)) from error
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ItemFormatError(ItemProblem.UNREADABLE, str(error)) from error


class ParsedItems(Generic[Item]):
    """What was made of the parts of a document read last, by their text.

    Parts that are written as before are the same objects, and are not read again.
    """

    __slots__ = ("_by_text",)

    def __init__(self) -> None:
        self._by_text: dict[bytes, Item] = {}

    def read(self, parts: Iterable[msgspec.Raw], make: Callable[[bytes], Item]) -> Iterable[Item]:
        """Return what ``make`` makes of each part; of those that are equal, of the first."""
        texts = map(bytes, parts)
        self._by_text = {text: self._by_text.get(text) or make(text) for text in texts}
        return self._by_text.values()


def valid_evacuated_zones(names: Iterable[str]) -> tuple[list[str], tuple[ItemFinding, ...]]:
    """Return the zones that may stand in a tree, and findings about the other names.

    A name that is none of a zone, another's but for its case, or one too many would have
    the whole tree refused.
    """
    zones: dict[str, str] = {}
    findings: list[ItemFinding] = []
    for name in sorted(names, reverse=True):
        if not is_zone_name(name):
            findings.append(ItemFinding(name, ItemProblem.NAME, "no zone has such a name"))
        elif name.lower() in zones or len(zones) == LIST_LENGTH_LIMIT:
            findings.append(
                ItemFinding(name, ItemProblem.CLAIMED, "evacuated already, or too many")
            )
        else:
            zones[name.lower()] = name
    return sorted(zones.values()), tuple(findings)


class SkippedItems:
    """What one reader has found and logged; an item counts again when what is wrong changes."""

    __slots__ = ("_about_answers", "_known", "total_count")

    def __init__(self) -> None:
        self._known: dict[DocumentKind, dict[str, ItemFinding]] = {}
        self._about_answers: dict[DocumentKind, tuple[ItemFinding, ...]] = {}
        self.total_count = 0
        """Findings since the start, each change of one counted once."""

    @property
    def current_count(self) -> int:
        """How many items were passed over when each document was last read."""
        return sum(map(len, self._known.values()))

    def record(self, kind: DocumentKind, findings: Sequence[ItemFinding]) -> list[Effect]:
        """Take in what is wrong with a document just read; return the events of what is new."""
        before = self._known.get(kind, {})
        known = {finding.item: finding for finding in findings[:REMEMBERED_FINDINGS_MAX]}
        news = [finding for name, finding in known.items() if before.get(name) != finding]
        self._known[kind] = known
        self.total_count += len(news)
        effects: list[Effect] = [_event_of(kind, finding) for finding in news[:LOGGED_FINDINGS_MAX]]
        if len(news) > LOGGED_FINDINGS_MAX:
            fields = {"document": kind.name, "further": len(news) - LOGGED_FINDINGS_MAX}
            effects.append(Log(Event.ITEM_PASSED_OVER, fields))
        return effects

    def record_answer(self, kind: DocumentKind, findings: tuple[ItemFinding, ...]) -> list[Effect]:
        """Take in what is wrong with an answer itself; return the events of what is new."""
        if findings == self._about_answers.get(kind, ()):
            return []
        self._about_answers[kind] = findings
        self.total_count += len(findings)
        return [_event_of(kind, finding) for finding in findings]


def _event_of(kind: DocumentKind, finding: ItemFinding) -> Log:
    fields = {
        "document": kind.name,
        "item": finding.item[:SHOWN_CHARACTERS],
        "problem": finding.problem.value,
        "detail": finding.detail[:SHOWN_CHARACTERS],
    }
    return Log(Event.ITEM_PASSED_OVER, fields)
