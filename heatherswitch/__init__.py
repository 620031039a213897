"""A fleet of HTTP routers for language models and application services."""

__version__ = "0.1.0"
