"""Structured logging: one JSON object per line."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from heatherswitch.util.bounded_logs import build_handler

LEVELS = ("debug", "info", "warning", "error")


def configure_logs(
    program: str, instance: str, level: str = "info", stream: TextIO | None = None
) -> None:
    """Configures the root logger to write JSON lines, replacing its handlers.

    :param program: name of the program, included in each line.
    :param instance: id of this process, included in each line.
    :param level: one of :data:`LEVELS`.
    :param stream: receives the lines without blocking and limited in rate; without it
        all lines are written to standard error.
    :raises ValueError: if the level is unknown.
    """
    if level not in LEVELS:
        raise ValueError(f"log level {level!r} is not one of {', '.join(LEVELS)}")
    handler = build_handler(stream) if stream else logging.StreamHandler(sys.stderr)
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
