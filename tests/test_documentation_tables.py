"""Tests that the tables in docs/ match the result codes and the events."""

import re
from pathlib import Path

from lycheefall._core.codes import ResultCode, http_status, run_state
from lycheefall._core.events import Event, level_of

DOCS = Path(__file__).parent.parent / "docs"
SOURCE = Path(__file__).parent.parent / "src"
ADAPTER = Path(__file__).parent.parent / "platform"
# Events that no code logs yet.
UNLOGGED_EVENTS = {Event.STEP_REFUSED}


def read_rows(name: str) -> list[tuple[str, ...]]:
    """Return the cells of each table row that starts with a number."""
    lines = (DOCS / name).read_text().splitlines()
    rows = [tuple(cell.strip() for cell in line.split("|")[1:-1]) for line in lines]
    return [row for row in rows if row and row[0].isdecimal()]


class TestErrors:
    def test_rows_match_the_codes(self) -> None:
        """Guards against a code without a row, or a row with another status or run state."""
        expected = [
            (str(int(code)), code.name, str(http_status(code)), run_state(code).value)
            for code in ResultCode
        ]
        assert [row[:4] for row in read_rows("errors.md")] == expected

    def test_each_row_says_what_to_do(self) -> None:
        """Guards against a row without a meaning or a remedy."""
        assert all(len(row) == 6 and row[4] and row[5] for row in read_rows("errors.md"))


class TestEvents:
    def test_rows_match_the_events(self) -> None:
        """Guards against an event without a row, or a row with another level."""
        expected = [(str(int(event)), event.name, level_of(event).value) for event in Event]
        assert [row[:3] for row in read_rows("events.md")] == expected

    def test_each_row_says_what_to_do(self) -> None:
        """Guards against a row without a meaning or a remedy."""
        assert all(len(row) == 5 and row[3] and row[4] for row in read_rows("events.md"))

    def test_each_event_is_written(self) -> None:
        """Guards against a documented event that no code logs."""
        paths = [*sorted(SOURCE.rglob("*.py")), *sorted(ADAPTER.glob("*.py"))]
        source = "\n".join(path.read_text() for path in paths if path.name != "events.py")
        missing = {event for event in Event if not re.search(rf"\bEvent\.{event.name}\b", source)}
        assert missing == UNLOGGED_EVENTS

    def test_each_error_is_on_the_operating_page(self) -> None:
        """Guards against an event of level ERROR that the operators' page does not describe."""
        errors = [f"{row[0]} {row[1]}" for row in read_rows("events.md") if row[2] == "error"]
        page = (DOCS / "operating.md").read_text().splitlines()
        first_cells = [line.split("|")[1].strip() for line in page if line.startswith("| ")]
        assert [cell for cell in first_cells if cell[0].isdecimal()] == errors
