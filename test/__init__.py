"""Test suite of heatherswitch; run it with ``python -m test``."""
