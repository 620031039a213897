"""Writes what a script sent, answered and ran to ``record.txt`` in its folder."""

import json
import time
from pathlib import Path


class Record:
    """Appends one JSON object a line; times are seconds since the script began."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()
        self._ids: dict[str, set[str]] = {}

    def now(self) -> float:
        """Returns the seconds since the script began."""
        return time.monotonic() - self._began_at

    def write(self, what: str, **fields) -> None:
        """Writes one event."""
        if "id" in fields:
            self._ids.setdefault(what, set()).add(fields["id"])
        line = {"t": round(self.now(), 3), "what": what, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def ids(self, what: str) -> set[str]:
        """Returns the ids of the requests of which something was written."""
        return self._ids.get(what, set())
