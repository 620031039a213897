"""Logs, metrics, HTTP and task helpers that every program uses."""
