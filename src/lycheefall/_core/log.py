"""Log lines, one call an event."""

from typing import Any

import structlog

from lycheefall._core.events import Event

_logger = structlog.get_logger()


def log(event: Event, /, **fields: Any) -> None:
    """Write one line for a numbered event."""
    _logger.info(event.name.lower(), number=int(event), **fields)


def warn(event: Event, /, **fields: Any) -> None:
    """Write one line for a numbered event that needs attention."""
    _logger.warning(event.name.lower(), number=int(event), **fields)


def alarm(event: Event, /, **fields: Any) -> None:
    """Write one line for a numbered event that an operator has to act on."""
    _logger.error(event.name.lower(), number=int(event), **fields)
