"""Command-line entry points of the daemons and of the operators' commands."""
