"""The command line: one command, `lycheefall`, with a subcommand for each program."""

import functools
import inspect
import sys
from collections.abc import Callable
from typing import Any

import defopt

from lycheefall._core.events import Event
from lycheefall._core.exceptions import LycheefallError
from lycheefall._core.log import log
from lycheefall._operate import commands
from lycheefall._operate.settings import environment_flags, environment_name

COMMANDS: tuple[Callable[..., None], ...] = (
    commands.entry,
    commands.control,
    commands.agent,
    commands.check,
    commands.apply,
    commands.evacuate,
    commands.status,
    commands.explain,
    commands.load,
    commands.demo,
)

# Startup errors of daemons are also logged as events; other subcommands only print them.
DAEMONS = frozenset({"entry", "control", "agent"})


def main(arguments: list[str] | None = None) -> None:
    """Run a subcommand; exit with status 1 on a LycheefallError."""
    command_line = sys.argv[1:] if arguments is None else arguments
    try:
        defopt.run(
            {command.__name__: document_environment_variables(command) for command in COMMANDS},
            argv=add_environment_flags(command_line),
            no_negated_flags=True,
        )
    except LycheefallError as error:
        print(f"lycheefall: {error}", file=sys.stderr)
        if _subcommand_name(command_line) in DAEMONS:
            log(Event.START_FAILED, code=int(error.code), detail=error.detail)
        raise SystemExit(1) from error


def document_environment_variables(command: Callable[..., None]) -> Callable[..., None]:
    """Wrap a subcommand so that its help names the environment variable of each setting."""

    @functools.wraps(command)
    def wrapper(*arguments: Any, **settings: Any) -> None:
        command(*arguments, **settings)

    text = inspect.getdoc(command) or ""
    for setting in _setting_parameters(command):
        prefix = f":param {setting.name}: "
        text = text.replace(prefix, f"{prefix}[{environment_name(setting.name)}] ")
    wrapper.__doc__ = text
    return wrapper


def add_environment_flags(arguments: list[str]) -> list[str]:
    """Return the arguments of a subcommand with flags for settings from the environment."""
    name = _subcommand_name(arguments)
    command = next((candidate for candidate in COMMANDS if candidate.__name__ == name), None)
    if command is None:
        return arguments
    names = [setting.name for setting in _setting_parameters(command)]
    return [*arguments, *environment_flags(names, arguments)]


def _setting_parameters(command: Callable[..., Any]) -> list[inspect.Parameter]:
    parameters = inspect.signature(command).parameters.values()
    return [
        parameter for parameter in parameters if parameter.kind is inspect.Parameter.KEYWORD_ONLY
    ]


def _subcommand_name(arguments: list[str]) -> str:
    return next((argument for argument in arguments if not argument.startswith("-")), "")
