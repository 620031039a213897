"""Judges a version by the rates of its failures and slow answers.

This is a comparison with fixed thresholds; the sequential test with a stated
false-alarm rate will replace it behind the same interface.
"""

from collections.abc import Mapping

from heatherswitch.fleet.moves import Evidence, Verdict

# Answers of the new version that one step needs.
MIN_REQUESTS = 50
# Bad answers below this number are not judged.
MIN_BAD = 5
# The new version is bad when its rate is above this multiple of the old rate ...
RATE_FACTOR = 2.0
# ... plus this difference.
RATE_DIFFERENCE = 0.05


class ThresholdTest:
    """Compares rates by route and over all routes with fixed thresholds."""

    __slots__ = ()

    def verdict(
        self, new: Mapping[str, Evidence], old: Mapping[str, Evidence]
    ) -> Verdict:
        """Judges the evidence of one step."""
        new_sum = sum(new.values(), Evidence())
        old_sum = sum(old.values(), Evidence())
        pairs = [(new_sum, old_sum)]
        pairs += [(new[route], old.get(route, Evidence())) for route in new]
        if any(_is_worse(ours, theirs) for ours, theirs in pairs):
            return Verdict.BAD
        if new_sum.requests < MIN_REQUESTS:
            return Verdict.CONTINUE
        return Verdict.GOOD


def _is_worse(new: Evidence, old: Evidence) -> bool:
    counts = ((new.failures, old.failures), (new.slow, old.slow))
    return any(
        bad >= MIN_BAD
        and bad / max(new.requests, 1)
        > RATE_FACTOR * old_bad / max(old.requests, 1) + RATE_DIFFERENCE
        for bad, old_bad in counts
    )
