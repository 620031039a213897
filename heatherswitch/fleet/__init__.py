"""Decision logic shared by routers, agents and gateways.

Covers settings, membership, placement, admission, claims of non-idempotent requests,
and moves between versions or availability zones. The modules use no asyncio, sockets,
logging or clock: callers pass in the time and carry out the returned effects.
"""
