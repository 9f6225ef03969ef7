"""Parse a configuration file; each error names the line and the field."""

import json
import tomllib
from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec
import xxhash

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
from lycheefall._core.exceptions import FileFieldError, FileSyntaxError
from lycheefall._core.ids import NO_REVISION, Digest, Revision
from lycheefall._operate.configuration_checks import Fault, field_faults, reference_faults
from lycheefall._operate.file_positions import FieldLocation, Positions, find_positions, line_of

T = TypeVar("T", bound=msgspec.Struct)

_REPLACES = "replaces"
_TABLES = ("directory", "limits")
_ARRAYS = ("priorities", "teams", "pools", "routes", "groups")


def parse_configuration(text: str, revision: Revision) -> Configuration:
    """Parse and check a file; raise FileSyntaxError, FileFieldError or FileReferenceError."""
    content = _parse_toml(text)
    positions = find_positions(text)
    _check_top_level(content, positions)
    configuration = Configuration(
        revision=revision,
        digest=_digest(content),
        directory=_read_table(
            positions, Directory, FieldLocation("directory"), content.get("directory", {})
        ),
        limits=_read_table(positions, Limits, FieldLocation("limits"), content.get("limits", {})),
        priorities=_read_array(positions, content, Priority, "priorities"),
        teams=_read_array(positions, content, Team, "teams"),
        pools=_read_array(positions, content, Pool, "pools"),
        routes=_read_array(positions, content, Route, "routes"),
        groups=_read_array(positions, content, Group, "groups"),
    )
    _raise_first_fault(positions, field_faults(configuration))
    _raise_first_fault(positions, reference_faults(configuration))
    return configuration


def replaced_revision(text: str) -> Revision:
    """Return the revision that a file replaces; raise FileSyntaxError or FileFieldError."""
    content = _parse_toml(text)
    return _parse_replaces(content, find_positions(text))


def digest_of(text: str) -> Digest:
    """Return a digest of the content, which ignores white space and comments."""
    return _digest(_parse_toml(text))


def _parse_toml(text: str) -> dict[str, Any]:
    try:
        return tomllib.loads(text)
    except ValueError as error:
        # Messages of tomllib end with the line and the column. A number with thousands of
        # digits raises a plain ValueError.
        raise FileSyntaxError(str(error)) from None
    except RecursionError:
        raise FileSyntaxError("arrays or tables are nested too deeply") from None


def _digest(content: Mapping[str, Any]) -> Digest:
    canonical = json.dumps(content, sort_keys=True, separators=(",", ":"), default=str)
    return Digest(xxhash.xxh3_128_hexdigest(canonical.encode()))


def _check_top_level(content: Mapping[str, Any], positions: Positions) -> None:
    for name, value in content.items():
        if name == _REPLACES:
            continue
        if name not in _TABLES and name not in _ARRAYS:
            location = (
                FieldLocation(name)
                if FieldLocation(name) in positions.lines
                else FieldLocation(field=name)
            )
            raise _field_error(positions, location, f"{name}: no such field or table")
        expected_type = dict if name in _TABLES else list
        if not isinstance(value, expected_type):
            syntax = f"[{name}]" if expected_type is dict else f"[[{name}]]"
            raise _field_error(positions, FieldLocation(name), f"{name}: write it as {syntax}")
    _parse_replaces(content, positions)


def _parse_replaces(content: Mapping[str, Any], positions: Positions) -> Revision:
    value = content.get(_REPLACES)
    if type(value) is not int or value < NO_REVISION:
        text = "missing" if value is None else repr(value)
        detail = f"{_REPLACES}: {text}; allowed is the number of the revision in force, 0 or more"
        raise _field_error(positions, FieldLocation(field=_REPLACES), detail)
    return Revision(value)


def _read_array(
    positions: Positions, content: Mapping[str, Any], type_: type[T], name: str
) -> tuple[T, ...]:
    return tuple(
        _read_table(positions, type_, FieldLocation(name, index), table)
        for index, table in enumerate(content.get(name, []))
    )


def _read_table(positions: Positions, type_: type[T], location: FieldLocation, table: object) -> T:
    if not isinstance(table, dict):
        raise _field_error(positions, location, f"{location.table}: each item must be a table")
    fields = type_.__struct_fields__
    for name in table:
        if name not in fields:
            detail = f"{name}: no such field; allowed are {', '.join(fields)}"
            raise _field_error(
                positions, FieldLocation(location.table, location.index, name), detail
            )
    try:
        return msgspec.convert(table, type_)
    except msgspec.ValidationError as error:
        raise _conversion_error(positions, location, str(error)) from None


def _conversion_error(
    positions: Positions, location: FieldLocation, message: str
) -> FileFieldError:
    # The message ends with "- at `$.field`", or names a missing field in back quotes.
    detail, _, path = message.partition(" - at `$.")
    name = path.split("[")[0].rstrip("`") if path else ""
    text = f"{name}: {detail}" if name else detail
    return _field_error(positions, FieldLocation(location.table, location.index, name), text)


def _raise_first_fault(positions: Positions, faults: list[Fault]) -> None:
    for fault in faults:
        line = line_of(positions, fault.location)
        raise fault.error(_with_location(line, fault.location, fault.detail))


def _field_error(positions: Positions, location: FieldLocation, detail: str) -> FileFieldError:
    return FileFieldError(_with_location(line_of(positions, location), location, detail))


def _with_location(line: int, location: FieldLocation, detail: str) -> str:
    table = f" [{location.table}]" if location.table else ""
    return f"line {line}{table} {detail}"
