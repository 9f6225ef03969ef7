"""Line numbers of the tables and fields of a TOML file, which tomllib doesn't provide."""

import re

from msgspec import Struct, field

_TABLE = re.compile(r"^\s*(\[\[?)\s*([A-Za-z0-9_\-]+)\s*\]\]?\s*(?:#.*)?$")
_FIELD = re.compile(r"^\s*\"?([A-Za-z0-9_\-]+)\"?\s*=")
_MULTI_LINE_DELIMITERS = ('"""', "'''")

TOP_LEVEL = ""
FIRST_LINE = 1


class FieldLocation(Struct, frozen=True):
    """Table and field of a file; the index is the position within an array of tables."""

    table: str = TOP_LEVEL
    index: int = 0
    field: str = ""


class Positions(Struct):
    """Line number of each table and field of a file."""

    lines: dict[FieldLocation, int] = field(default_factory=dict)


def find_positions(text: str) -> Positions:
    """Return the line of each table and field of a file without inline or dotted tables."""
    positions = Positions()
    counts: dict[str, int] = {}
    table, index, closing_delimiter = TOP_LEVEL, 0, ""
    for number, line in enumerate(text.splitlines(), FIRST_LINE):
        if closing_delimiter:
            closing_delimiter = "" if closing_delimiter in line else closing_delimiter
            continue
        if table_match := _TABLE.match(line):
            table = table_match[2]
            index = counts.get(table, 0)
            counts[table] = index + 1
            positions.lines.setdefault(FieldLocation(table, index), number)
        elif field_match := _FIELD.match(line):
            positions.lines.setdefault(FieldLocation(table, index, field_match[1]), number)
            closing_delimiter = _unclosed_delimiter(line)
    return positions


def line_of(positions: Positions, location: FieldLocation) -> int:
    """Return the line of a field, or of its table if the field is missing."""
    table = positions.lines.get(FieldLocation(location.table, location.index), FIRST_LINE)
    return positions.lines.get(location, table)


def _unclosed_delimiter(line: str) -> str:
    for delimiter in _MULTI_LINE_DELIMITERS:
        if line.count(delimiter) == 1:
            return delimiter
    return ""
