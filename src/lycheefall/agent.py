"""Public API to run an agent as an asyncio task."""

from lycheefall._agent.service import run_agent
from lycheefall._agent.settings import AgentSettings

__all__ = ["AgentSettings", "run_agent"]
