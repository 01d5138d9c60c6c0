"""Reads trees from TOML and JSON files. The only place where a tree is read from disk."""

from __future__ import annotations

import json
import re
import tomllib
from pathlib import Path
from typing import Any, ClassVar

from pewtertack.core.revision import Document
from pewtertack.errors import ConfigurationError

FILE_SIZE_LIMIT = 16 * 1024 * 1024
"""Bytes of the largest tree file that is read."""

_TOML_POSITION = re.compile(r" \(at (?:line (\d+), column \d+|end of document)\)$")


class TreeUnreadableError(ConfigurationError):
    """The file of a tree cannot be read, is too large or no text in UTF-8."""

    code: ClassVar[str] = "tree-unreadable"


class TreeFormatError(ConfigurationError):
    """The file's suffix is neither ``.toml`` nor ``.json``."""

    code: ClassVar[str] = "tree-format"


class TreeSyntaxError(ConfigurationError):
    """The text is no TOML or JSON; ``line`` is 0 where the parser names none."""

    code: ClassVar[str] = "tree-syntax"

    def __init__(self, file: str, line: int, reason: str) -> None:
        place = f"{file}:{line}" if line else file
        super().__init__(f"{place}: {reason}")
        self.file = file
        self.line = line


class _DuplicateKeyError(ValueError):
    """A JSON object holds a key twice."""


def load_tree(path: Path) -> Document:
    """Return the document in the file at ``path``; ``.json`` is JSON, ``.toml`` TOML.

    Raises:
        TreeUnreadableError: the file cannot be read.
        TreeFormatError: the suffix is neither of the two.
        TreeSyntaxError: the text is no document of its format.
    """
    if path.suffix not in (".json", ".toml"):
        raise TreeFormatError(f"{path}: the file's name must end with .toml or .json")
    text = _read_text(path)
    return parse_json(text, str(path)) if path.suffix == ".json" else parse_toml(text, str(path))


def _read_text(path: Path) -> str:
    try:
        with path.open("rb") as file:
            content = file.read(FILE_SIZE_LIMIT + 1)
    except OSError as error:
        raise TreeUnreadableError(f"{path}: {error.strerror or error}") from error
    if len(content) > FILE_SIZE_LIMIT:
        raise TreeUnreadableError(f"{path}: larger than {FILE_SIZE_LIMIT} bytes")
    try:
        return content.decode()
    except UnicodeDecodeError as error:
        raise TreeUnreadableError(f"{path}: no text in UTF-8 at byte {error.start}") from error


def parse_toml(text: str, file: str) -> Document:
    """Return the document that ``text`` holds; ``file`` names it in errors.

    Raises:
        TreeSyntaxError: not a TOML document.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        message = str(error)
        position = _TOML_POSITION.search(message)
        reason = message[: position.start()] if position else message
        line = int(position[1] or text.count("\n") + 1) if position else 0
        raise TreeSyntaxError(file, line, reason) from error
    except (RecursionError, ValueError) as error:
        raise TreeSyntaxError(file, 0, _reason(error)) from error


def parse_json(text: str, file: str) -> Document:
    """Return the document that ``text`` holds; ``file`` names it in errors.

    Raises:
        TreeSyntaxError: not a JSON object, or an object with a key twice.
    """
    try:
        document = json.loads(text, object_pairs_hook=_object_of_different_keys)
    except json.JSONDecodeError as error:
        raise TreeSyntaxError(file, error.lineno, error.msg) from error
    except (RecursionError, ValueError) as error:
        raise TreeSyntaxError(file, 0, _reason(error)) from error
    if not isinstance(document, dict):
        raise TreeSyntaxError(file, 1, "not a JSON object")
    return document


def _object_of_different_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for key, value in pairs:
        if key in result:
            raise _DuplicateKeyError(f"key {key!r} stands twice in one object")
        result[key] = value
    return result


def _reason(error: Exception) -> str:
    return "nested too deep" if isinstance(error, RecursionError) else str(error)
