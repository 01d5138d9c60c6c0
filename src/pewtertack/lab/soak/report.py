"""The report of a soak: text for the terminal, Markdown for a file."""

from __future__ import annotations

from pathlib import Path

from pewtertack.lab.pages.markdown import markdown_table
from pewtertack.lab.report.table import format_verdicts
from pewtertack.lab.soak.result import SoakResult


def format_result(result: SoakResult) -> str:
    """Return the result as text, the verdict in the last line."""
    lines = [_head(result), f"faults: {_counts(result.faults)}"]
    for name, route in result.routes.items():
        spread = route.latency
        told = f"p50 {spread.p50:.3f} s, p99 {spread.p99:.3f} s"
        lines.append(f"{name:10} {_counts(route.outcomes)}; answered in {told}")
    lines += [_resources(result), "", format_verdicts(result.verdicts)]
    lines += [f"problem: {problem}" for problem in result.problems]
    lines += [f"not put to the test: {promise}" for promise in result.untested]
    return "\n".join([*lines, result.verdict])


def write_report(result: SoakResult, path: Path) -> None:
    """Write the result as Markdown."""
    path.write_text("\n".join(_parts(result)))


def _parts(result: SoakResult) -> list[str]:
    promises = [
        (
            str(verdict.promise),
            str(verdict.judgement),
            str(verdict.judged),
            str(len(verdict.offences)),
        )
        for verdict in result.verdicts
    ]
    routes = [
        (
            name,
            _counts(route.outcomes),
            _counts(route.statuses),
            f"{route.latency.p50:.3f}",
            f"{route.latency.p99:.3f}",
        )
        for name, route in result.routes.items()
    ]
    return [
        f"# Soak: {result.verdict}\n",
        f"{_head(result)}. {_resources(result)}.\n",
        "## Promises\n",
        markdown_table(("promise", "judgement", "judged", "offences"), promises),
        "## Offences and problems\n",
        f"```\n{format_verdicts(result.verdicts)}\n```\n",
        *[f"- {problem}\n" for problem in result.problems],
        "## Faults\n",
        markdown_table(
            ("kind", "made"), [(name, str(made)) for name, made in result.faults.items()]
        ),
        "## What callers were told\n",
        markdown_table(("route", "outcomes", "statuses", "p50 s", "p99 s"), routes),
    ]


def _head(result: SoakResult) -> str:
    without = f" without {result.disabled_mechanism}" if result.disabled_mechanism else ""
    ended = ", interrupted" if result.interrupted else ""
    return (
        f"soak{without}, seed {result.seed}, {result.minutes:g} min of faults,"
        f" {result.seconds:g} s in all, {result.nodes} nodes{ended}"
    )


def _resources(result: SoakResult) -> str:
    return (
        f"nodes held at most {result.resident_megabytes:.1f} MB"
        f" and {result.descriptors} descriptors"
    )


def _counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
