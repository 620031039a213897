"""A router without agents: callers' requests go straight to backend servers.

``reducer`` decides, ``shell`` carries the decisions out. The package names nothing of a
platform; a codec and a record reader translate.
"""
