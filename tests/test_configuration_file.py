"""Tests of the configuration file."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheefall._core.exceptions import (
    FileFieldError,
    FileReferenceError,
    FileSyntaxError,
    LycheefallError,
)
from lycheefall._core.ids import Revision
from lycheefall._operate.configuration_file import digest_of, parse_configuration, replaced_revision

EXAMPLES = Path(__file__).parent.parent / "examples"

SMALL = """replaces = 3

[[priorities]]
name = "urgent"
target_s = 0.62
worth = 10.0

[[pools]]
name = "models"
kind = "engine"

[[routes]]
name = "match"
kind = "chat"
pools = ["models"]
models = ["m"]
priority = "urgent"
"""
SAME_MODEL = """
[[routes]]
name = "other"
kind = "chat"
pools = ["models"]
models = ["x", "m"]
priority = "urgent"
"""
GROUP = """
[[groups]]
name = "g"
pool = "models"
ranks = 4
experts = 16
slots_per_rank = 4
expert_bytes = 1
"""


class TestParse:
    @pytest.mark.parametrize("name", ["ballyscent", "authority"])
    def test_examples(self, name: str) -> None:
        """Guards against an example file that is refused or lacks a kind of route."""
        parsed = parse_configuration((EXAMPLES / f"{name}.toml").read_text(), Revision(1))
        assert len(parsed.teams) == 10
        assert len(parsed.priorities) == 3
        assert {route.kind.value for route in parsed.routes} == {"chat", "lookup", "booking"}

    def test_values(self) -> None:
        """Guards against a value or a default that is lost in parsing."""
        parsed = parse_configuration(SMALL + GROUP, Revision(4))
        assert parsed.revision == 4
        assert parsed.routes[0].pools == ("models",)
        assert parsed.limits.queue_s == 5.0
        assert parsed.groups[0].ranks == 4

    @pytest.mark.parametrize(
        ("old", "new", "error", "parts"),
        [
            ("replaces = 3", "replaces = -1", FileFieldError, ("line 1 ", "replaces")),
            ("replaces = 3", "", FileFieldError, ("replaces", "missing")),
            ("replaces = 3", "replaces = true", FileFieldError, ("line 1 ", "replaces")),
            ("worth = 10.0", "worth = 0", FileFieldError, ("line 6 ", "worth", "more than 0")),
            ("worth = 10.0", "worth = nan", FileFieldError, ("line 6 ", "worth")),
            ("worth = 10.0", "worth = 'x'", FileFieldError, ("line 6 ", "worth")),
            ("worth = 10.0", "wroth = 1", FileFieldError, ("line 6 ", "wroth")),
            ("worth = 10.0", "", FileFieldError, ("line 3 ", "worth")),
            ("worth = 10.0", "worth = = 1", FileSyntaxError, ("line 6",)),
            ('kind = "engine"', 'kind = "motor"', FileFieldError, ("line 10 ", "kind", "motor")),
            ('kind = "engine"', 'kind = "service"', FileReferenceError, ("line 15 ", "service")),
            ('["models"]', '["modls"]', FileReferenceError, ("line 15 ", "modls")),
            ('["models"]', "[]", FileFieldError, ("line 15 ", "pools")),
            ('["models"]', '["models", 3]', FileFieldError, ("line 15 ", "pools")),
            ('priority = "urgent"', 'priority = "u"', FileReferenceError, ("line 17 ", "'u'")),
            ('models = ["m"]', "", FileFieldError, ("line 12 ", "models")),
            ('models = ["m"]', "idempotent = false", FileFieldError, ("line 12 ", "models")),
            ('models = ["m"]', 'models = ["m"]\npath = "x"', FileFieldError, ("line 17 ", "path")),
            ("[[priorities]]", "[priorities]", FileFieldError, ("line 3 ", "[[priorities]]")),
            ("[[priorities]]", "[[priority]]", FileFieldError, ("line 3 ", "priority")),
            ("replaces = 3", "replaces = 3\nspeed = 1", FileFieldError, ("line 2 ", "speed")),
        ],
    )
    def test_errors_name_line_and_field(
        self, old: str, new: str, error: type[LycheefallError], parts: tuple[str, ...]
    ) -> None:
        """Guards against an error that doesn't name the line and the field."""
        with pytest.raises(error) as raised:
            parse_configuration(SMALL.replace(old, new), Revision(1))
        for part in parts:
            assert part in raised.value.detail

    @pytest.mark.parametrize(
        ("more", "error", "parts"),
        [
            (GROUP.replace('"models"', '"x"'), FileReferenceError, ("line 21 ", "'x'")),
            (GROUP.replace("16", "17"), FileFieldError, ("slots_per_rank", "17 experts")),
            ('\n[[pools]]\nname = "models"\nkind = "engine"', FileFieldError, ("line 20", "twice")),
            (SAME_MODEL, FileFieldError, ("line 23 ", "models", "'match'")),
            ("\n[limits]\nretry_ratio = 1.5", FileFieldError, ("line 20 ", "retry_ratio")),
            ("\n[limits]\nhedge_ratio = 0.3", FileFieldError, ("line 20 ", "at most 0.2")),
            ("\n[limits]\nretries = 1", FileFieldError, ("line 20 ", "retries")),
        ],
    )
    def test_errors_of_further_tables(
        self, more: str, error: type[LycheefallError], parts: tuple[str, ...]
    ) -> None:
        """Guards against groups, duplicate names and limits that are not checked."""
        with pytest.raises(error) as raised:
            parse_configuration(SMALL + more, Revision(1))
        for part in parts:
            assert part in raised.value.detail

    @pytest.mark.parametrize("value", ["1" * 5000, "[" * 5000, "1" + "0" * 400, "1979-05-27"])
    def test_extreme_values(self, value: str) -> None:
        """Guards against an extreme value that raises an exception without a result code."""
        with pytest.raises((FileSyntaxError, FileFieldError)):
            parse_configuration(SMALL.replace("10.0", value), Revision(1))

    @given(st.text(max_size=40), st.integers(0, len(SMALL)))
    def test_any_text_gives_a_numbered_error(self, inserted: str, position: int) -> None:
        """Guards against a file that raises an exception without a result code."""
        text = SMALL[:position] + inserted + SMALL[position:]
        try:
            parse_configuration(text, Revision(1))
        except LycheefallError as error:
            assert 5000 <= error.code < 6000


class TestDigest:
    def test_layout_makes_no_difference(self) -> None:
        """Guards against a conflict between files that differ only in layout."""
        spaced = SMALL.replace(" = ", "   =  ").replace("\n\n", "\n# note\n\n")
        assert digest_of(spaced) == digest_of(SMALL)
        assert parse_configuration(spaced, Revision(1)).digest == digest_of(SMALL)

    def test_content_makes_a_difference(self) -> None:
        """Guards against two different files with the same digest."""
        assert digest_of(SMALL.replace("0.62", "0.63")) != digest_of(SMALL)
        assert digest_of(SMALL.replace("= 3", "= 4")) != digest_of(SMALL)

    def test_replaces(self) -> None:
        """Guards against a file that replaces the wrong revision."""
        assert replaced_revision(SMALL) == 3
