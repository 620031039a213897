"""Checks the invariants P1 to P11 on the histories that a run has written.

Callers, stand-ins and the harness record the histories independently of the programs
under test. The rules use the specification only, no code of those programs.
"""

from emulator.checking.bounds import Bounds
from emulator.checking.checker import RULES, check, check_directory
from emulator.checking.history import Events, Violation, read_directory

__all__ = [
    "RULES",
    "Bounds",
    "Events",
    "Violation",
    "check",
    "check_directory",
    "read_directory",
]
