"""Gateway that forwards callers' requests straight to backend servers, without agents.

``reducer`` makes the decisions without I/O, and ``shell`` carries them out. The package
does not depend on a platform's wire or record formats: a codec and a record reader
translate these.
"""
