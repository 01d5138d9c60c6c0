"""Invalid items of the platform's documents: findings, and the events that report them."""

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

REMEMBERED_MAX = 1024
"""Number of findings about one document that a node remembers. Findings about further items are not
reported; a fleet of 1,700 machines has about that many items."""
LOGGED_MAX = 16
"""Number of findings logged per read: one bad write may invalidate a whole machine list."""
SHOWN_CHARACTERS_MAX = 120
"""Length to which an item's name and a finding's detail are cut in log events."""

Item = TypeVar("Item")


class ItemProblem(StrEnum):
    """Why an item is skipped."""

    UNREADABLE = "unreadable"
    """Its bytes cannot be decoded as a document."""
    FIELD = "field"
    """A field is missing, has a wrong type, or has an unknown value."""
    ADDRESS = "address"
    """Its address is not valid for a back end."""
    NAME = "name"
    """Its name is not valid for items of its kind."""
    CLAIMED = "claimed"
    """It claims something that an earlier item has already claimed for itself."""
    ERA = "era"
    """The source's era in an answer is not a number, or cannot follow the previous era."""


class ItemFinding(msgspec.Struct, frozen=True):
    """A finding about one skipped item; the other items of its document are used."""

    item: str
    problem: ItemProblem
    detail: str = ""


class ItemFormatError(PlatformError):
    """One item is invalid."""

    code: ClassVar[str] = "platform-item"

    def __init__(self, problem: ItemProblem, detail: str) -> None:
        self.problem = problem
        super().__init__(detail)

    def finding_for(self, item: str) -> ItemFinding:
        """Return this error as a finding about ``item``."""
        return ItemFinding(item, self.problem, str(self))


def parse_item(value: bytes | msgspec.Raw, kind: type[Item]) -> Item:
    """Decode arbitrary bytes as a JSON document of type ``kind``.

    Raises:
        ItemFormatError: the bytes are no JSON, or no document of this type.
    """
    try:
        return msgspec.json.decode(value, type=kind)
    except msgspec.ValidationError as error:
        raise ItemFormatError(ItemProblem.FIELD, str(error)) from error
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ItemFormatError(ItemProblem.UNREADABLE, str(error)) from error


def decode_json(text: bytes, kind: type[Item], error_type: type[PlatformError]) -> Item:
    """Decode a document of type ``kind``; values that are nested too deeply become ``null``.

    Raises:
        PlatformError: of ``error_type``, if the text is no JSON or no document of this type.
    """
    try:
        try:
            return msgspec.json.decode(text, type=kind)
        except RecursionError:
            # imported here: nearly no node ever reads such a document
            from pewtertack.core.nesting import without_deep_values

            return msgspec.json.decode(without_deep_values(text), type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise error_type(str(error)) from error


class ParsedItems(Generic[Item]):
    """Cache of the objects parsed from the parts of the previously read document, by text.

    Parts whose text has not changed give the same objects again and are not parsed anew.
    """

    __slots__ = ("_by_text",)

    def __init__(self) -> None:
        self._by_text: dict[bytes, Item] = {}

    def parse(self, parts: Iterable[msgspec.Raw], make: Callable[[bytes], Item]) -> Iterable[Item]:
        """Return the result of ``make`` for each distinct part, from the cache where possible."""
        texts = map(bytes, parts)
        self._by_text = {text: self._by_text.get(text) or make(text) for text in texts}
        return self._by_text.values()


def valid_evacuated_zones(names: Iterable[str]) -> tuple[list[str], tuple[ItemFinding, ...]]:
    """Return the names that a tree may list as evacuated, and findings about the others.

    A name that is not valid for a zone, that differs from another in case only, or that exceeds
    the length limit of the list would cause the whole tree to be refused.
    """
    zones: dict[str, str] = {}
    findings: list[ItemFinding] = []
    for name in sorted(names, reverse=True):
        if not is_zone_name(name):
            findings.append(ItemFinding(name, ItemProblem.NAME, "not a valid zone name"))
        elif name.lower() in zones or len(zones) == LIST_LENGTH_LIMIT:
            findings.append(
                ItemFinding(name, ItemProblem.CLAIMED, "duplicate, or too many evacuated zones")
            )
        else:
            zones[name.lower()] = name
    return sorted(zones.values()), tuple(findings)


class SkippedItems:
    """Findings that one reader has logged; an item is logged again when its finding changes."""

    __slots__ = ("_answer_findings", "_findings_by_item", "total_count")

    def __init__(self) -> None:
        self._findings_by_item: dict[DocumentKind, dict[str, ItemFinding]] = {}
        self._answer_findings: dict[DocumentKind, tuple[ItemFinding, ...]] = {}
        self.total_count = 0
        """Findings since the start; a finding that changes counts again."""

    @property
    def current_count(self) -> int:
        """Number of items that were skipped when each document was last read."""
        return sum(map(len, self._findings_by_item.values()))

    def record(self, kind: DocumentKind, findings: Sequence[ItemFinding]) -> list[Effect]:
        """Record the findings about a document just read; return log events for the new ones."""
        previous = self._findings_by_item.get(kind, {})
        current = {finding.item: finding for finding in findings[:REMEMBERED_MAX]}
        new = [finding for name, finding in current.items() if previous.get(name) != finding]
        self._findings_by_item[kind] = current
        self.total_count += len(new)
        effects: list[Effect] = [_log_effect(kind, finding) for finding in new[:LOGGED_MAX]]
        if len(new) > LOGGED_MAX:
            fields = {"document": kind.name, "further": len(new) - LOGGED_MAX}
            effects.append(Log(Event.ITEM_PASSED_OVER, fields))
        return effects

    def record_answer(self, kind: DocumentKind, findings: tuple[ItemFinding, ...]) -> list[Effect]:
        """Record the findings about an answer itself; return log events for the new ones."""
        if findings == self._answer_findings.get(kind, ()):
            return []
        self._answer_findings[kind] = findings
        self.total_count += len(findings)
        return [_log_effect(kind, finding) for finding in findings]


def _log_effect(kind: DocumentKind, finding: ItemFinding) -> Log:
    fields = {
        "document": kind.name,
        "item": finding.item[:SHOWN_CHARACTERS_MAX],
        "problem": finding.problem.value,
        "detail": finding.detail[:SHOWN_CHARACTERS_MAX],
    }
    return Log(Event.ITEM_PASSED_OVER, fields)
