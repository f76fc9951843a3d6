"""Jobs that are stored on the platform's log before they are accepted.

The package only makes decisions and uses no socket, no file and no clock. The processes
of ``banyanwheel_daemon`` carry the decisions out. :mod:`banyanwheel_jobs.ports` defines
the interfaces to the log and to workers.
"""
