"""Read settings from flags and environment variables and check them."""

import ipaddress
import os
from collections.abc import Callable, Mapping
from enum import Enum
from pathlib import Path
from typing import TypeVar

from lycheefall._core.exceptions import SettingInvalid
from lycheefall._core.ids import Address

E = TypeVar("E", bound=Enum)

ENVIRONMENT_PREFIX = "LYCHEEFALL_"
MAX_PORT = 65_535


def environment_flags(
    names: list[str], arguments: list[str], environment: Mapping[str, str] = os.environ
) -> list[str]:
    """Return flags for the settings of the environment; given flags take precedence."""
    flags = {argument.partition("=")[0] for argument in arguments}
    result: list[str] = []
    for name in names:
        value = environment.get(environment_name(name))
        if value is not None and flag_name(name) not in flags:
            result.append(f"{flag_name(name)}={value}")
    return result


def flag_name(name: str) -> str:
    """Return the command-line flag of a setting, such as --data-centre."""
    return "--" + name.replace("_", "-")


def environment_name(name: str) -> str:
    """Return the environment variable of a setting, such as LYCHEEFALL_DATA_CENTRE."""
    return ENVIRONMENT_PREFIX + name.upper()


def invalid(name: str, value: object, allowed: str) -> SettingInvalid:
    """Return the error for an invalid value of a setting."""
    return SettingInvalid(
        f"{flag_name(name)} ({environment_name(name)}) is {value!r}; allowed: {allowed}"
    )


def checked_name(name: str, value: str) -> str:
    """Return the name; raise SettingInvalid if it is empty or has white space."""
    if not value or value != "".join(value.split()):
        raise invalid(name, value, "a name without white space")
    return value


def checked_address(name: str, value: str) -> Address:
    """Return the address; raise SettingInvalid if it isn't an IP address with a port."""
    host, _, port = value.rpartition(":")
    allowed = "IP:PORT, such as 127.0.0.1:8000"
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError as error:
        raise invalid(name, value, allowed) from error
    if not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise invalid(name, value, allowed)
    return Address(value)


def checked_loopback(name: str, value: str) -> Address:
    """Return a loopback address, reachable only within the instance; raise SettingInvalid."""
    address = checked_address(name, value)
    if not ipaddress.ip_address(address.rpartition(":")[0].strip("[]")).is_loopback:
        raise invalid(name, value, "a loopback IP:PORT, such as 127.0.0.1:8000")
    return address


def checked_addresses(name: str, value: str) -> tuple[Address, ...]:
    """Return the addresses of a comma-separated list; raise SettingInvalid if one is invalid."""
    return tuple(checked_address(name, part.strip()) for part in value.split(","))


def checked_number(
    name: str, value: str, convert: Callable[[str], float], low: float, high: float
) -> float:
    """Return the number; raise SettingInvalid if it is out of bounds."""
    allowed = f"a number from {low:g} to {high:g}"
    try:
        number = convert(value)
    except ValueError as error:
        raise invalid(name, value, allowed) from error
    if not low <= number <= high:
        raise invalid(name, value, allowed)
    return number


def checked_choice(name: str, value: str, choices: type[E]) -> E:
    """Return the member of an Enum with this value; raise SettingInvalid if there is none."""
    try:
        return choices(value)
    except ValueError as error:
        allowed = ", ".join(str(choice.value) for choice in choices)
        raise invalid(name, value, allowed) from error


def checked_file(name: str, value: str) -> Path:
    """Return the path; raise SettingInvalid if it isn't an existing file."""
    path = Path(value)
    if not path.is_file():
        raise invalid(name, value, "the path of a file")
    return path
