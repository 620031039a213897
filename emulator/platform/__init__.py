"""Stand-ins for the users' platform: its store, its backend servers, a deployment."""
