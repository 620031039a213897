"""Runs all rules over a history.

``python -m emulator.checking DIRECTORY`` checks the histories of a finished run.
"""

from collections.abc import Callable
from pathlib import Path

from emulator.checking import load_rules, order_rules, request_rules
from emulator.checking.bounds import Bounds
from emulator.checking.history import Events, Violation, read_directory

Rule = Callable[[Events, Bounds], list[Violation]]

RULES: dict[str, Rule] = {
    "P1": load_rules.load_bound,
    "P2": load_rules.cold_start,
    "P3": order_rules.zone_out,
    "P4": load_rules.bad_version,
    "P5": request_rules.whole_answers,
    "P6": request_rules.true_refusals,
    "P7": request_rules.at_most_once,
    "P8": order_rules.leaving,
    "P9": request_rules.planned_stops,
    "P10": order_rules.configuration,
    "P11": order_rules.moves_on_time,
}


def check(events: Events, bounds: Bounds | None = None) -> list[Violation]:
    """Returns the violations of all invariants, in the order of the rules."""
    bounds = bounds or Bounds()
    return [found for rule in RULES.values() for found in rule(events, bounds)]


def check_directory(directory: Path, bounds: Bounds | None = None) -> list[Violation]:
    """Checks the histories in a directory.

    :raises HistoryError: if a history cannot be read.
    """
    return check(read_directory(directory), bounds)
