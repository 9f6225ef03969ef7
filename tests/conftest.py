"""Makes hypothesis deterministic, and deselects the known failing tests in KNOWN-RED.txt."""

from pathlib import Path

import pytest
from hypothesis import settings

# Fixed examples give reproducible results; a deadline would fail tests on a busy machine.
settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")

KNOWN_FAILURES_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_failures() -> list[str]:
    """Return the test node ids that KNOWN-RED.txt lists."""
    if not KNOWN_FAILURES_FILE.exists():
        return []
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return [line.split()[0] for line in lines if line.startswith("tests/")]


def pytest_report_header() -> list[str]:
    """Report the deselected tests in the header."""
    return [f"known failure, not run: {name}" for name in known_failures()]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect exactly the listed tests."""
    names = set(known_failures())
    deselected = [item for item in items if item.nodeid in names]
    if deselected:
        items[:] = [item for item in items if item.nodeid not in names]
        config.hook.pytest_deselected(items=deselected)
