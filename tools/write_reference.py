"""Write what is made from the model: docs/tree.schema.json and tables in CONFIGURATION.md."""

from __future__ import annotations

import json
import re
from pathlib import Path

from pewtertack.core.configuration.reference import findings_table, settings_tables
from pewtertack.core.configuration.schema import json_schema

DOCS = Path(__file__).resolve().parent.parent / "docs"
SCHEMA_FILE = DOCS / "tree.schema.json"
CONFIGURATION_PAGE = DOCS / "CONFIGURATION.md"


def schema_text() -> str:
    """Return the text of docs/tree.schema.json."""
    return json.dumps(json_schema(), indent=2) + "\n"


def page_with_tables(page: str) -> str:
    """Return ``page`` with the generated tables between their markers."""
    page = _between_markers(page, "settings", settings_tables())
    return _between_markers(page, "findings", findings_table())


def _between_markers(page: str, name: str, text: str) -> str:
    begin, end = f"<!-- begin generated {name} -->", f"<!-- end generated {name} -->"
    pattern = re.escape(begin) + ".*" + re.escape(end)
    replacement = f"{begin}\n{text}\n{end}"
    result, count = re.subn(pattern, lambda _: replacement, page, flags=re.DOTALL)
    if count != 1:
        raise SystemExit(f"{CONFIGURATION_PAGE}: markers of {name} stand {count} times")
    return result


def main() -> None:
    """Rewrite both files."""
    SCHEMA_FILE.write_text(schema_text())
    CONFIGURATION_PAGE.write_text(page_with_tables(CONFIGURATION_PAGE.read_text()))


if __name__ == "__main__":
    main()
