"""The bounds of the invariants, with the values of docs/design.md as defaults."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that a run is checked against. Times are in seconds.

    :param load_bound: multiple of the pool's mean load (P1).
    :param load_bound_extra: requests above it (P1).
    :param load_report_age_s: age of the loads that a mean may be made of (P1). The
        specification takes the mean as last reported: two exchanges of 0.5 s, and
        2 s in which a report counts.
    :param cold_limit: requests at once of a cold server (P2).
    :param cold_growth: factor by which that limit grows (P2).
    :param cold_evidence: whole answers before it grows (P2).
    :param cold_notice_s: time until a silent loss of warmth counts (P2).
    :param zone_s: from the acceptance of a zone order to no new work (P3).
    :param unproven_share: share of the pool for an unproven version (P4).
    :param version_s: from enough evidence to no new work for a bad version (P4).
    :param version_evidence: failed answers of a bad version that are enough (P4).
    :param leaving_s: from the announcement to no new work (P8).
    :param config_s: from acceptance to in force everywhere (P10).
    """

    load_bound: float = 1.25
    load_bound_extra: int = 1
    load_report_age_s: float = 3.0
    cold_limit: int = 2
    cold_growth: float = 2.0
    cold_evidence: int = 4
    cold_notice_s: float = 3.0
    zone_s: float = 3.0
    unproven_share: float = 0.05
    version_s: float = 3.0
    version_evidence: int = 20
    leaving_s: float = 3.0
    config_s: float = 4.0
