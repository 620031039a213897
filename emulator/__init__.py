"""Stand-ins for the systems that heatherswitch serves, with demo and load tools."""
