"""Variants of the programs in which one safety mechanism is disabled.

They are only for tests that show that the proofs fail without the mechanism.
"""
