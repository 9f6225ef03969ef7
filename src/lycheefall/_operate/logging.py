"""Set up log lines for a process."""

import logging
import sys
from enum import Enum
from typing import Any

import msgspec
import structlog


class LogFormat(Enum):
    """Form of a log line."""

    JSON = "json"
    CONSOLE = "console"


class LogLevel(Enum):
    """Least level that is written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


def configure_logging(form: LogFormat, level: LogLevel, file: Any = None, **fields: Any) -> None:
    """Write log lines, each with the given fields of the process; to standard error by default."""

    def add_process(_: Any, __: str, line: Any) -> Any:
        line.update(fields)
        return line

    stamp = structlog.processors.TimeStamper(fmt="iso", utc=True)
    before: list[Any] = [structlog.processors.add_log_level, stamp, add_process]
    structlog.configure(
        processors=[*before, _renderer(form)],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.name]
        ),
        logger_factory=_logger_factory(form, file),
        cache_logger_on_first_use=True,
    )


def _renderer(form: LogFormat) -> Any:
    if form is LogFormat.CONSOLE:
        return structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    return structlog.processors.JSONRenderer(serializer=_encode_line)


def _logger_factory(form: LogFormat, file: Any) -> Any:
    if file is not None:
        return structlog.BytesLoggerFactory(file)
    if form is LogFormat.CONSOLE:
        return structlog.PrintLoggerFactory(sys.stderr)
    return structlog.BytesLoggerFactory(sys.stderr.buffer)


def _encode_line(line: Any, default: Any = None, **_: Any) -> bytes:
    return msgspec.json.encode(line, enc_hook=str)
