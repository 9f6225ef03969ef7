"""Tests of structured logging."""

import pytest
import structlog

from lycheefall._core import log as log_module
from lycheefall._core.events import Event


class TestLog:
    def test_full_disk(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a process that stops because the disk of its log is full."""
        with open("/dev/full", "wb", buffering=0) as full:
            logger = structlog.BytesLogger(full)
            with pytest.raises(OSError):
                logger.info(b"line")
            render = structlog.processors.JSONRenderer(serializer=lambda *_, **__: b"line")
            wrapped = structlog.wrap_logger(logger, processors=[render])
            monkeypatch.setattr(log_module, "_logger", wrapped)
            log_module.log(Event.PROCESS_STARTED)
