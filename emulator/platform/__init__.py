"""Stand-ins for the users' platform: store, backend servers, gateways and a soak test."""
