"""The agent program: the only door to one backend server."""
