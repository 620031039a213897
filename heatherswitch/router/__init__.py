"""The router program: callers in front, agents behind."""
