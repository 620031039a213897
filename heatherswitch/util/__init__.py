"""Logging, metrics, HTTP, gRPC transport and clock helpers shared by all programs."""
