"""Plain text tables for terminals."""

from __future__ import annotations

from collections.abc import Sequence

COLUMN_GAP = "  "


def format_table(headers: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return ``rows`` below ``headers``, each column as wide as its widest cell."""
    lines = [headers, *rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headers))]
    return "\n".join(_format_row(line, widths) for line in lines)


def _format_row(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return COLUMN_GAP.join(padded).rstrip()
