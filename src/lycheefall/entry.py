"""Public API to run an entry as an asyncio task."""

from lycheefall._entry.service import run_entry
from lycheefall._entry.settings import EntrySettings

__all__ = ["EntrySettings", "run_entry"]
