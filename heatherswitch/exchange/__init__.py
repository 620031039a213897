"""Gossip protocol that replicates configuration and membership between processes."""
