"""Adapter to the users' platform: HTTP headers, store records, store API, settings.

The package translates between the platform's formats and the gateway's types. Routing
decisions are made in :mod:`heatherswitch.gateway`.
"""
