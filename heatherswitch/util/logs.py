"""Structured logs: one JSON object a line on standard error."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from heatherswitch.util.bounded_logs import handler_for

LEVELS = ("debug", "info", "warning", "error")


def configure_logs(
    program: str, instance: str, level: str = "info", stream: TextIO | None = None
) -> None:
    """Sends all logs to a stream as JSON lines.

    :param program: name of the program, put into each line.
    :param instance: id of this process, put into each line.
    :param level: one of :data:`LEVELS`.
    :param stream: takes a bounded number of lines without blocking; without one all
        lines go to standard error.
    :raises ValueError: if the level is unknown.
    """
    if level not in LEVELS:
        raise ValueError(f"log level {level!r} is not one of {', '.join(LEVELS)}")
    handler = handler_for(stream) if stream else logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(levelname)s %(name)s %(message)s",
            rename_fields={"levelname": "level", "name": "logger"},
            static_fields={"program": program, "instance": instance},
            timestamp=True,
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
