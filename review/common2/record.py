"""Writes what a script sent, answered and ran to ``record.txt`` in its folder."""

import json
import time
from pathlib import Path


class Record:
    """Appends one JSON object a line; times are seconds since the script began."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the script began."""
        return time.monotonic() - self._began_at

    def write(self, what: str, **fields) -> None:
        """Writes one event."""
        line = {"t": round(self.now(), 3), "what": what, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()
