"""Public API to parse configuration files, and the types of a validated configuration."""

from lycheefall._core.configuration import (
    Configuration,
    Directory,
    Group,
    Limits,
    Pool,
    Priority,
    Route,
    Team,
)
from lycheefall._operate.configuration_file import digest_of, parse_configuration, replaced_revision

__all__ = [
    "Configuration",
    "Directory",
    "Group",
    "Limits",
    "Pool",
    "Priority",
    "Route",
    "Team",
    "digest_of",
    "parse_configuration",
    "replaced_revision",
]
