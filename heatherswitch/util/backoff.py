"""Delays that double with each failure in a row."""

# Doublings after which any delay has reached its maximum. The number of failures in a row
# has no limit, and a float can't be multiplied by 2 to the power of 1,024.
MAX_DOUBLINGS = 32


def doubled_delay_s(base_s: float, failures: int, maximum_s: float) -> float:
    """Returns a delay that doubles with each failure before the last one.

    :param base_s: seconds after the first failure.
    :param failures: number of failures in a row before the last one.
    """
    return min(maximum_s, base_s * 2 ** min(failures, MAX_DOUBLINGS))
