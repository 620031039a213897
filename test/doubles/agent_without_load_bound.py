"""Agent that admits requests regardless of the mean load of its pool."""

from heatherswitch.fleet.admission import PoolLoadEstimate
from heatherswitch.ui.agent import main

if __name__ == "__main__":
    PoolLoadEstimate.bound = lambda self, *limits: 1_000_000
    main()
