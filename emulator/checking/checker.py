"""Applies all rules to a history.

``python -m emulator.checking DIRECTORY`` checks the histories of a finished run.
"""

from collections.abc import Callable
from pathlib import Path

from emulator.checking import load_rules, operator_rules, request_rules
from emulator.checking.bounds import Bounds
from emulator.checking.history import Events, Violation, read_directory

Rule = Callable[[Events, Bounds], list[Violation]]

RULES: dict[str, Rule] = {
    "P1": load_rules.check_load_bound,
    "P2": load_rules.check_cold_start,
    "P3": operator_rules.check_zones_out,
    "P4": load_rules.check_bad_versions,
    "P5": request_rules.check_responses,
    "P6": request_rules.check_refusals,
    "P7": request_rules.check_at_most_once,
    "P8": operator_rules.check_leaving_servers,
    "P9": request_rules.check_planned_stops,
    "P10": operator_rules.check_configuration,
    "P11": operator_rules.check_move_deadlines,
}


def check(events: Events, bounds: Bounds | None = None) -> list[Violation]:
    """Returns the violations of all invariants, in the order of the rules.

    :param bounds: the defaults if None.
    :raises HistoryError: if an event names a server without a ``backend`` event.
    """
    bounds = bounds or Bounds()
    return [violation for rule in RULES.values() for violation in rule(events, bounds)]


def check_directory(directory: Path, bounds: Bounds | None = None) -> list[Violation]:
    """Checks the histories in a directory.

    :param bounds: the defaults if None.
    :raises HistoryError: if a history cannot be read, or names an unknown server.
    """
    return check(read_directory(directory), bounds)
