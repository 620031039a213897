"""Small stand-ins for workers, consumers and the platform."""
