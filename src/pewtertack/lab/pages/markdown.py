"""Formats tables in Markdown."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


def markdown_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a table whose first column is left-aligned and whose others are right-aligned."""
    lines = [_format_row(header), _format_row(["---"] + ["---:"] * (len(header) - 1))]
    lines += [_format_row(row) for row in rows]
    return "\n".join(lines) + "\n"


def _format_row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def relative_change(before: float, after: float) -> str:
    """Return the relative change from ``before`` to ``after`` as text, in percent."""
    if before == 0:
        return "-" if after == 0 else "new"
    return f"{100 * (after - before) / before:+.1f} %"
