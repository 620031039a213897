"""Emulated backend servers, store and network faults, with demo and load tools."""
