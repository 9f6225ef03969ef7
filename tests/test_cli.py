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
    """Give each test its own logger, which writes to its own captured output."""
    monkeypatch.setattr(log, "_logger", structlog.get_logger())
    yield
    structlog.reset_defaults()


def run_failing(capsys: pytest.CaptureFixture[str], *arguments: str) -> str:
    """Run a command that fails and return its standard error."""
    with pytest.raises(SystemExit) as raised:
        main(list(arguments))
    assert raised.value.code == 1
    return capsys.readouterr().err


class TestSettings:
    @pytest.mark.parametrize("value", ["nowhere", "localhost:80", "127.0.0.1:0", "127.0.0.1:70000"])
    def test_address(self, capsys: pytest.CaptureFixture[str], value: str) -> None:
        """Guards against a process that starts with an invalid address."""
        text = run_failing(capsys, *ENTRY.format(value).split())
        assert "6000 SETTING_INVALID" in text
        assert f"--listen (LYCHEEFALL_LISTEN) is '{value}'; allowed: IP:PORT" in text

    @pytest.mark.parametrize("value", ["0", "many", "1e9"])
    def test_number(self, capsys: pytest.CaptureFixture[str], value: str) -> None:
        """Guards against a number out of range that is accepted."""
        text = run_failing(capsys, *AGENT.split(), "--concurrency", value)
        assert f"--concurrency (LYCHEEFALL_CONCURRENCY) is '{value}'; allowed: a number" in text

    def test_choice(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against an unknown kind of upstream that is accepted."""
        text = run_failing(capsys, *AGENT.replace("engine", "printer").split())
        assert "--kind (LYCHEEFALL_KIND) is 'printer'; allowed: engine, service" in text

    def test_environment(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a variable that is ignored, or that takes precedence over its flag."""
        monkeypatch.setenv("LYCHEEFALL_CONTROL", "127.0.0.1:1")
        assert add_environment_flags(["status"]) == ["status", "--control=127.0.0.1:1"]
        arguments = ["status", "--control", "127.0.0.1:2"]
        assert add_environment_flags(arguments) == arguments

    def test_help_names_the_variable(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against a setting whose environment variable is missing from the help."""
        with pytest.raises(SystemExit):
            main(["entry", "--help"])
        assert "LYCHEEFALL_DATA_CENTRE" in capsys.readouterr().out


class TestStart:
    def test_port_in_use(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against a process that starts although its port is in use."""
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            assert "6001 PORT_IN_USE" in run_failing(capsys, *ENTRY.format(address).split())


class TestCheck:
    def test_line_and_field(self, capsys: pytest.CaptureFixture[str], tmp_path: Path) -> None:
        """Guards against an error that doesn't name the line and the field."""
        file = tmp_path / "wrong.toml"
        file.write_text('replaces = 0\n\n[[teams]]\nname = "a"\nweight = "heavy"\n')
        text = run_failing(capsys, "check", str(file))
        assert "5002 FILE_FIELD" in text
        assert "line 5" in text
        assert "weight" in text

    def test_missing_file(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against a traceback for a path that does not exist."""
        assert "6000 SETTING_INVALID" in run_failing(capsys, "check", "no-such-file.toml")
