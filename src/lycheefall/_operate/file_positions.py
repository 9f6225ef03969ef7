"""Lines of a TOML file at which tables and fields stand; tomllib keeps no positions."""

import re

from msgspec import Struct, field

_TABLE = re.compile(r"^\s*(\[\[?)\s*([A-Za-z0-9_\-]+)\s*\]\]?\s*(?:#.*)?$")
_FIELD = re.compile(r"^\s*\"?([A-Za-z0-9_\-]+)\"?\s*=")
_MULTI_LINE_DELIMITERS = ('"""', "'''")

TOP_LEVEL = ""
FIRST_LINE = 1


class Place(Struct, frozen=True):
    """A field of the file; the index counts the tables of an array, from 0."""

    table: str = TOP_LEVEL
    index: int = 0
    field: str = ""


class Positions(Struct):
    """Line of each place in a file."""

    lines: dict[Place, int] = field(default_factory=dict)


def positions_of(text: str) -> Positions:
    """Find the line of each table and field, in files without inline or dotted tables."""
    positions = Positions()
    counts: dict[str, int] = {}
    table, index, closing = TOP_LEVEL, 0, ""
    for number, line in enumerate(text.splitlines(), FIRST_LINE):
        if closing:
            closing = "" if closing in line else closing
            continue
        if header := _TABLE.match(line):
            table = header[2]
            index = counts.get(table, 0)
            counts[table] = index + 1
            positions.lines.setdefault(Place(table, index), number)
        elif name := _FIELD.match(line):
            positions.lines.setdefault(Place(table, index, name[1]), number)
            closing = _unclosed_delimiter(line)
    return positions


def line_of(positions: Positions, place: Place) -> int:
    """Return the line of a field, or of its table when the field is absent."""
    table = positions.lines.get(Place(place.table, place.index), FIRST_LINE)
    return positions.lines.get(place, table)


def _unclosed_delimiter(line: str) -> str:
    for delimiter in _MULTI_LINE_DELIMITERS:
        if line.count(delimiter) == 1:
            return delimiter
    return ""
