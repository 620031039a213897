"""The agent, through which all requests to one backend server pass."""
