"""Jobs that are stored on the platform's log before they are accepted.

The package holds the decisions only: no socket, no file and no clock. Processes of
``banyanwheel_daemon`` carry them out; ports to the log and to the worker stand in
:mod:`banyanwheel_jobs.ports`.
"""
