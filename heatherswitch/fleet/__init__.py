"""The domain: settings, membership, placement, admission, claims and moves.

Pure code: no asyncio, no sockets, no logging, no clock.
"""
