"""Configure structured logging for a process."""

import logging
import sys
from enum import Enum
from typing import Any

import msgspec
import structlog


class LogFormat(Enum):
    """Output format of log lines."""

    JSON = "json"
    CONSOLE = "console"


class LogLevel(Enum):
    """Lowest severity that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


def configure_logging(
    log_format: LogFormat, level: LogLevel, file: Any = None, **fields: Any
) -> None:
    """Configure log lines with these process fields; write to standard error by default."""

    def add_process_fields(_: Any, __: str, line: Any) -> Any:
        line.update(fields)
        return line

    add_timestamp = structlog.processors.TimeStamper(fmt="iso", utc=True)
    processors: list[Any] = [structlog.processors.add_log_level, add_timestamp, add_process_fields]
    structlog.configure(
        processors=[*processors, _renderer(log_format)],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.name]
        ),
        logger_factory=_logger_factory(log_format, file),
        cache_logger_on_first_use=True,
    )


def _renderer(log_format: LogFormat) -> Any:
    if log_format is LogFormat.CONSOLE:
        return structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    return structlog.processors.JSONRenderer(serializer=_encode_line)


def _logger_factory(log_format: LogFormat, file: Any) -> Any:
    if file is not None:
        return structlog.BytesLoggerFactory(file)
    if log_format is LogFormat.CONSOLE:
        return structlog.PrintLoggerFactory(sys.stderr)
    return structlog.BytesLoggerFactory(sys.stderr.buffer)


def _encode_line(line: Any, default: Any = None, **_: Any) -> bytes:
    return msgspec.json.encode(line, enc_hook=str)
