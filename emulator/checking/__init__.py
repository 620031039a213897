"""Decides the invariants P1 to P11 from the histories of independent witnesses.

The rules know the specification only, nothing of the programs.
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
