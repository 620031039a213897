"""A router fleet for language models and application services."""

__version__ = "0.1.0"
