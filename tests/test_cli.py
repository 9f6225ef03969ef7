"""Tests of the command line and its settings."""

import socket
from collections.abc import Iterator
from pathlib import Path

import pytest
import structlog

from lycheefall._core import log
from lycheefall._operate.cli import add_environment_flags, main

ENTRY = (
    "entry --instance a --data-centre b --listen {} --announce-listen 127.0.0.1:1 "
    "--control 127.0.0.1:2"
)
AGENT = (
    "agent --instance a --data-centre b --upstream u --pool p --kind engine "
    "--upstream-address 127.0.0.1:1 --listen 127.0.0.1:2 --control 127.0.0.1:3"
)


@pytest.fixture(autouse=True)
def fresh_logger(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Keep a test from writing to the captured output of the one before."""
    monkeypatch.setattr(log, "_logger", structlog.get_logger())
    yield
    structlog.reset_defaults()


def failure(capsys: pytest.CaptureFixture[str], *arguments: str) -> str:
    """Return what a command that fails writes to standard error."""
    with pytest.raises(SystemExit) as ended:
        main(list(arguments))
    assert ended.value.code == 1
    return capsys.readouterr().err


class TestSettings:
    @pytest.mark.parametrize("value", ["nowhere", "localhost:80", "127.0.0.1:0", "127.0.0.1:70000"])
    def test_address(self, capsys: pytest.CaptureFixture[str], value: str) -> None:
        """Guards against a process that starts with an address that can't be meant."""
        text = failure(capsys, *ENTRY.format(value).split())
        assert "6000 SETTING_INVALID" in text
        assert f"--listen (LYCHEEFALL_LISTEN) is '{value}'; allowed: IP:PORT" in text

    @pytest.mark.parametrize("value", ["0", "many", "1e9"])
    def test_number(self, capsys: pytest.CaptureFixture[str], value: str) -> None:
        """Guards against a number out of range that is taken as it is."""
        text = failure(capsys, *AGENT.split(), "--concurrency", value)
        assert f"--concurrency (LYCHEEFALL_CONCURRENCY) is '{value}'; allowed: a number" in text

    def test_choice(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against a kind of upstream that no code knows."""
        text = failure(capsys, *AGENT.replace("engine", "printer").split())
        assert "--kind (LYCHEEFALL_KIND) is 'printer'; allowed: engine, service" in text

    def test_environment(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a variable that is ignored, or that goes before its flag."""
        monkeypatch.setenv("LYCHEEFALL_CONTROL", "127.0.0.1:1")
        assert add_environment_flags(["status"]) == ["status", "--control=127.0.0.1:1"]
        given = ["status", "--control", "127.0.0.1:2"]
        assert add_environment_flags(given) == given

    def test_help_names_the_variable(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against a setting whose environment variable no help names."""
        with pytest.raises(SystemExit):
            main(["entry", "--help"])
        assert "LYCHEEFALL_DATA_CENTRE" in capsys.readouterr().out


class TestStart:
    def test_port_in_use(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against a second process that starts beside the one that holds the port."""
        with socket.socket() as holder:
            holder.bind(("127.0.0.1", 0))
            holder.listen()
            taken = f"127.0.0.1:{holder.getsockname()[1]}"
            assert "6001 PORT_IN_USE" in failure(capsys, *ENTRY.format(taken).split())


class TestCheck:
    def test_line_and_field(self, capsys: pytest.CaptureFixture[str], tmp_path: Path) -> None:
        """Guards against an error in a file that the operator has to search for."""
        file = tmp_path / "wrong.toml"
        file.write_text('replaces = 0\n\n[[teams]]\nname = "a"\nweight = "heavy"\n')
        text = failure(capsys, "check", str(file))
        assert "5002 FILE_FIELD" in text
        assert "line 5" in text
        assert "weight" in text

    def test_missing_file(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against a traceback for a path that does not exist."""
        assert "6000 SETTING_INVALID" in failure(capsys, "check", "no-such-file.toml")
