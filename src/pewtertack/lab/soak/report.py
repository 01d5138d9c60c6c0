"""Report of a soak as text and as Markdown."""

from __future__ import annotations

from pathlib import Path

from pewtertack.lab.pages.markdown import markdown_table
from pewtertack.lab.report.table import format_verdicts
from pewtertack.lab.soak.result import SoakResult


def format_result(result: SoakResult) -> str:
    """Return the result as text with the verdict in the last line."""
    lines = [_head(result), f"faults: {_counts(result.faults)}"]
    for name, route in result.routes.items():
        latency = route.latency
        latency_text = f"p50 {latency.p50:.3f} s, p99 {latency.p99:.3f} s"
        lines.append(f"{name:10} {_counts(route.outcomes)}; answered in {latency_text}")
    lines += [_resources(result), "", format_verdicts(result.verdicts)]
    lines += [f"problem: {problem}" for problem in result.problems]
    lines += [f"not put to the test: {guarantee}" for guarantee in result.untested]
    return "\n".join([*lines, result.verdict])


def write_report(result: SoakResult, path: Path) -> None:
    """Write the result as Markdown."""
    path.write_text("\n".join(_markdown_parts(result)))


def _markdown_parts(result: SoakResult) -> list[str]:
    guarantee_rows = [
        (
            str(verdict.promise),
            str(verdict.judgement),
            str(verdict.judged),
            str(len(verdict.offences)),
        )
        for verdict in result.verdicts
    ]
    route_rows = [
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
        "## Guarantees\n",
        markdown_table(("guarantee", "judgement", "judged", "offences"), guarantee_rows),
        "## Offences and problems\n",
        f"```\n{format_verdicts(result.verdicts)}\n```\n",
        *[f"- {problem}\n" for problem in result.problems],
        "## Faults\n",
        markdown_table(
            ("kind", "count"), [(name, str(count)) for name, count in result.faults.items()]
        ),
        "## Results of requests\n",
        markdown_table(("route", "outcomes", "statuses", "p50 s", "p99 s"), route_rows),
    ]


def _head(result: SoakResult) -> str:
    without_text = f" without {result.disabled_mechanism}" if result.disabled_mechanism else ""
    interrupted_text = ", interrupted" if result.interrupted else ""
    return (
        f"soak{without_text}, seed {result.seed}, {result.minutes:g} min of faults,"
        f" {result.seconds:g} s in all, {result.nodes} nodes{interrupted_text}"
    )


def _resources(result: SoakResult) -> str:
    return (
        f"nodes used at most {result.resident_megabytes:.1f} MB"
        f" and {result.descriptors} descriptors"
    )


def _counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
