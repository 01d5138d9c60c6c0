"""Tables in Markdown."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


def markdown_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a table whose columns but the first are aligned to the right."""
    lines = [_line(head), _line(["---"] + ["---:"] * (len(head) - 1))]
    lines += [_line(row) for row in rows]
    return "\n".join(lines) + "\n"


def _line(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def relative_change(before: float, after: float) -> str:
    """Return the relative change from ``before`` to ``after``, in percent."""
    if before == 0:
        return "-" if after == 0 else "new"
    return f"{100 * (after - before) / before:+.1f} %"
