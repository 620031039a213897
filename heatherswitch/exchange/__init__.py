"""Spreads configuration and membership between the processes."""
