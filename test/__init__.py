"""Tests of heatherswitch; run them with ``python -m test``."""
