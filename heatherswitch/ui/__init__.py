"""Thin command-line programs."""
