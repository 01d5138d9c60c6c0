"""Write the documentation that is generated from the code.

This is docs/tree.schema.json, the tables in docs/CONFIGURATION.md, and docs/EVENTS.md. Tests
compare the committed files with what this tool would write.
"""

from __future__ import annotations

import json
import re
from pathlib import Path

from pewtertack.core.configuration.reference import findings_table, settings_tables
from pewtertack.core.configuration.schema import json_schema
from pewtertack.events import Event

DOCS = Path(__file__).resolve().parent.parent / "docs"
SCHEMA_FILE = DOCS / "tree.schema.json"
CONFIGURATION_PAGE = DOCS / "CONFIGURATION.md"
EVENTS_PAGE = DOCS / "EVENTS.md"

EVENTS_INTRODUCTION = """\
# Log events

Made from `pewtertack.events` by `tools/write_reference.py`; do not edit.

Every line of a node's standard output is one JSON object: `time` (Unix seconds),
`number`, `event`, `node`, `incarnation` (start time of the process in milliseconds),
then the event's own fields. Numbers are never reused: 1xx process life, 2xx
configuration, 3xx membership, 4xx platform, 5xx peers' protocol, 6xx requests, 9xx lab.

| number | event | meaning |
|---|---|---|
"""


def schema_text() -> str:
    """Return the text of docs/tree.schema.json."""
    return json.dumps(json_schema(), indent=2) + "\n"


def page_with_tables(page: str) -> str:
    """Return ``page`` with the current tables between their markers."""
    page = _replace_between_markers(page, "settings", settings_tables())
    return _replace_between_markers(page, "findings", findings_table())


def _replace_between_markers(page: str, name: str, text: str) -> str:
    begin, end = f"<!-- begin generated {name} -->", f"<!-- end generated {name} -->"
    pattern = re.escape(begin) + ".*" + re.escape(end)
    replacement = f"{begin}\n{text}\n{end}"
    result, count = re.subn(pattern, lambda _: replacement, page, flags=re.DOTALL)
    if count != 1:
        raise SystemExit(
            f"{CONFIGURATION_PAGE}: expected one pair of markers {name!r}, found {count}"
        )
    return result


def events_page() -> str:
    """Return the text of docs/EVENTS.md."""
    events = sorted(Event, key=lambda event: event.number)
    rows = (f"| {event.number} | `{event.name}` | {event.meaning} |\n" for event in events)
    return EVENTS_INTRODUCTION + "".join(rows)


def main() -> None:
    """Rewrite all generated files."""
    EVENTS_PAGE.write_text(events_page())
    SCHEMA_FILE.write_text(schema_text())
    CONFIGURATION_PAGE.write_text(page_with_tables(CONFIGURATION_PAGE.read_text()))


if __name__ == "__main__":
    main()
