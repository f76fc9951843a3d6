"""The processes of the system, an entry and an agent, around the decisions of core.

Their settings are exported here; a role's module is imported when the role is run.
"""

from .settings import AgentSettings, EntrySettings

__all__ = ["AgentSettings", "EntrySettings"]
