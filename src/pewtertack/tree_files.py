"""Reads the trees given to ``check``, ``explain`` and ``diff`` from TOML and JSON files.

The lab reads the trees of its deployments with ``pewtertack.lab.deployments.read_tree``.
"""

from __future__ import annotations

import json
import re
import tomllib
from pathlib import Path
from typing import Any, ClassVar

from pewtertack.core.revision import Document
from pewtertack.errors import ConfigurationError

MAX_FILE_BYTES = 16 * 1024 * 1024
"""Larger tree files are rejected."""

_TOML_POSITION = re.compile(r" \(at (?:line (\d+), column \d+|end of document)\)$")


class TreeUnreadableError(ConfigurationError):
    """The tree file cannot be read, is too large or is not valid UTF-8."""

    code: ClassVar[str] = "tree-unreadable"


class TreeFormatError(ConfigurationError):
    """The suffix of the file is neither ``.toml`` nor ``.json``."""

    code: ClassVar[str] = "tree-format"


class TreeSyntaxError(ConfigurationError):
    """The text is not valid TOML or JSON; ``line`` is 0 if the parser reports no line."""

    code: ClassVar[str] = "tree-syntax"

    def __init__(self, file: str, line: int, reason: str) -> None:
        location = f"{file}:{line}" if line else file
        super().__init__(f"{location}: {reason}")
        self.file = file
        self.line = line


class _DuplicateKeyError(ValueError):
    """A JSON object has a duplicate key."""


def load_tree(path: Path) -> Document:
    """Return the document in the file at ``path``, whose suffix selects the format.

    Raises:
        TreeUnreadableError: the file cannot be read.
        TreeFormatError: the suffix is neither ``.json`` nor ``.toml``.
        TreeSyntaxError: the text is not valid in its format.
    """
    if path.suffix not in (".json", ".toml"):
        raise TreeFormatError(f"{path}: the file name must end with .toml or .json")
    text = _read_text(path)
    return parse_json(text, str(path)) if path.suffix == ".json" else parse_toml(text, str(path))


def _read_text(path: Path) -> str:
    try:
        with path.open("rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise TreeUnreadableError(f"{path}: {error.strerror or error}") from error
    if len(content) > MAX_FILE_BYTES:
        raise TreeUnreadableError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
    try:
        return content.decode()
    except UnicodeDecodeError as error:
        raise TreeUnreadableError(f"{path}: invalid UTF-8 at byte {error.start}") from error


def parse_toml(text: str, file: str) -> Document:
    """Parse a TOML document; ``file`` is the name of its source in errors.

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
        raise TreeSyntaxError(file, 0, _error_text(error)) from error


def parse_json(text: str, file: str) -> Document:
    """Parse a JSON document; ``file`` is the name of its source in errors.

    Raises:
        TreeSyntaxError: not a JSON object, or an object has a duplicate key.
    """
    try:
        document = json.loads(text, object_pairs_hook=_object_without_duplicate_keys)
    except json.JSONDecodeError as error:
        raise TreeSyntaxError(file, error.lineno, error.msg) from error
    except (RecursionError, ValueError) as error:
        raise TreeSyntaxError(file, 0, _error_text(error)) from error
    if not isinstance(document, dict):
        raise TreeSyntaxError(file, 1, "not a JSON object")
    return document


def _object_without_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for key, value in pairs:
        if key in result:
            raise _DuplicateKeyError(f"duplicate key {key!r} in one object")
        result[key] = value
    return result


def _error_text(error: Exception) -> str:
    return "nested too deeply" if isinstance(error, RecursionError) else str(error)
