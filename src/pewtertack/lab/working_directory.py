"""A directory for the files of one run, kept if the run fails."""

from __future__ import annotations

import shutil
import tempfile
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Self


class WorkingDirectory:
    """Creates a directory and removes it, unless the run has failed or raised an error.

    Args:
        prefix: start of the directory's name.
        announce: called with a line that names the directory if it is kept.
    """

    def __init__(self, prefix: str, announce: Callable[[str], None]) -> None:
        self.path = Path(tempfile.mkdtemp(prefix=prefix))
        self.failed = False
        """Set to keep the directory."""
        self._announce = announce

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self.failed or kind is not None:
            self._announce(f"history and logs are kept in {self.path}")
        else:
            shutil.rmtree(self.path)
