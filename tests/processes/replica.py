"""Control replica as a process: `python -m processes.replica SETTINGS_AS_JSON`."""

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import Any

import uvloop

from lycheefall._control.service import run_control
from lycheefall._control.settings import ControlSettings, Voter
from lycheefall._core.configuration import Configuration, Limits
from lycheefall._core.exceptions import FileFieldError, LycheefallError
from lycheefall._core.ids import Revision
from lycheefall._operate.configuration_file import parse_configuration
from lycheefall._operate.logging import LogFormat, LogLevel, configure_logging
from lycheefall._rules.consensus.state import Timing


def parse_number(text: str, revision: Revision) -> Configuration:
    """Parse a file that consists of one number; replaces the TOML parser in tests."""
    if not text.isdigit():
        raise FileFieldError(f"line 1: {text!r} is not a number")
    return Configuration(revision=revision, limits=Limits(queue_requests=int(text)))


def settings_of(fields: dict[str, Any]) -> ControlSettings:
    """Return the settings from the fields that the test passed as JSON."""
    voters = tuple(Voter(*each) for each in fields.pop("voters"))
    timing = Timing(**fields.pop("timing"))
    folder = Path(str(fields.pop("data_folder")))
    return ControlSettings(
        **fields,
        timing=timing,
        voters=voters,
        data_folder=folder,
        on_ready=lambda: print("ready", flush=True),
    )


def main() -> None:
    """Run until killed; on failure print the error to standard output and exit with status 1."""
    fields = json.loads(sys.argv[1])
    parse = parse_configuration if fields.pop("toml", False) else parse_number
    settings = settings_of(fields)
    # Standard output is reserved for the test, which reads the line "ready".
    configure_logging(LogFormat.JSON, LogLevel.INFO, instance=settings.instance)
    try:
        uvloop.run(run_control(settings, parse))
    except LycheefallError as error:
        print(error, flush=True)
        # A normal exit would wait for the threads of ZeroMQ.
        os._exit(1)
    except asyncio.CancelledError:
        pass


if __name__ == "__main__":
    main()
