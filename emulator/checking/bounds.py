"""The bounds of the invariants; the defaults are those of docs/design.md."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that a run is checked against. Times are in seconds.

    :param load_bound: highest load of an engine as a multiple of its pool's mean (P1).
    :param load_bound_extra: requests allowed on top of that multiple (P1).
    :param max_load_report_age_s: age up to which reported loads may be part of a mean
        (P1). The specification takes the mean as last reported: two exchanges of 0.5 s,
        and 2 s for which a report is valid.
    :param cold_limit: highest number of concurrent requests of a cold server (P2).
    :param cold_growth: factor by which that limit grows (P2).
    :param cold_growth_responses: complete responses after which it grows (P2).
    :param cold_detection_s: time from an unannounced cold start until the limit applies
        (P2).
    :param zone_out_s: time from accepting the command that takes a zone out until no new
        work starts there (P3).
    :param unproven_share: highest share of the pool's load for an unproven version (P4).
    :param bad_version_s: time from enough failures, or from the decision to take the
        version back, until no new work starts at a bad version (P4).
    :param bad_version_failures: number of failed responses that show a version to be bad
        (P4).
    :param leaving_s: time from the announcement that a server leaves until no new work
        starts there (P8).
    :param configuration_s: time from accepting a change until it is in force in all
        processes (P10).
    """

    load_bound: float = 1.25
    load_bound_extra: int = 1
    max_load_report_age_s: float = 3.0
    cold_limit: int = 2
    cold_growth: float = 2.0
    cold_growth_responses: int = 4
    cold_detection_s: float = 3.0
    zone_out_s: float = 3.0
    unproven_share: float = 0.05
    bad_version_s: float = 3.0
    bad_version_failures: int = 20
    leaving_s: float = 3.0
    configuration_s: float = 4.0
