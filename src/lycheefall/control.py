"""Public API to run a control replica as an asyncio task, and its client."""

from lycheefall._control.client import ControlClient, new_client, run_client
from lycheefall._control.service import run_control
from lycheefall._control.settings import ControlSettings, Voter

__all__ = [
    "ControlClient",
    "ControlSettings",
    "Voter",
    "new_client",
    "run_client",
    "run_control",
]
