"""The processes of the system, dispatcher and runner, around the job logic.

Nothing is imported here: a process loads only what its role needs.
"""
