"""The processes of the system, dispatcher and runner, around the job logic.

Only their settings are exported here; the module of a role is imported when it is run.
"""

from .settings import DispatcherSettings, RunnerSettings

__all__ = ["DispatcherSettings", "RunnerSettings"]
