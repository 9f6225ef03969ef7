"""Structured logging of numbered events."""

import contextlib
from typing import Any

import structlog

from lycheefall._core.events import Event, Level, level_of

_logger = structlog.get_logger()


def log(event: Event, /, **fields: Any) -> None:
    """Write one line for a numbered event, at the event's level.

    Write errors are ignored: a full log disk must not stop the process.
    """
    with contextlib.suppress(OSError):
        _write(event, **fields)


def _write(event: Event, /, **fields: Any) -> None:
    match level_of(event):
        case Level.INFO:
            _logger.info(event.name.lower(), number=int(event), **fields)
        case Level.WARNING:
            _logger.warning(event.name.lower(), number=int(event), **fields)
        case Level.ERROR:
            _logger.error(event.name.lower(), number=int(event), **fields)
