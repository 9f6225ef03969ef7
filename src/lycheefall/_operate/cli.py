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
    commands.status,
    commands.load,
    commands.demo,
)

# Their errors are events; an operator's command only prints its error.
DAEMONS = frozenset({"entry", "control", "agent"})


def main(arguments: list[str] | None = None) -> None:
    """Run a subcommand; an error with a code ends the process with exit status 1."""
    given = sys.argv[1:] if arguments is None else arguments
    try:
        defopt.run(
            {command.__name__: with_variables(command) for command in COMMANDS},
            argv=with_environment(given),
            no_negated_flags=True,
        )
    except LycheefallError as error:
        print(f"lycheefall: {error}", file=sys.stderr)
        if _name(given) in DAEMONS:
            log(Event.START_FAILED, code=int(error.code), detail=error.detail)
        raise SystemExit(1) from error


def with_variables(command: Callable[..., None]) -> Callable[..., None]:
    """Name the environment variable of each setting in the help of a subcommand."""

    @functools.wraps(command)
    def documented(*arguments: Any, **settings: Any) -> None:
        command(*arguments, **settings)

    text = inspect.getdoc(command) or ""
    for each in _settings(command):
        start = f":param {each.name}: "
        text = text.replace(start, f"{start}[{environment_name(each.name)}] ")
    documented.__doc__ = text
    return documented


def with_environment(arguments: list[str]) -> list[str]:
    """Add the settings that environment variables give to the arguments of a subcommand."""
    name = _name(arguments)
    command = next((each for each in COMMANDS if each.__name__ == name), None)
    if command is None:
        return arguments
    names = [each.name for each in _settings(command)]
    return [*arguments, *environment_flags(names, arguments)]


def _settings(command: Callable[..., Any]) -> list[inspect.Parameter]:
    parameters = inspect.signature(command).parameters.values()
    return [each for each in parameters if each.kind is inspect.Parameter.KEYWORD_ONLY]


def _name(arguments: list[str]) -> str:
    return next((each for each in arguments if not each.startswith("-")), "")
