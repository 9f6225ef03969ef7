"""Tests of the metrics with a UDP socket as the statsd server."""

import socket
from collections.abc import Iterator

import pytest

from lycheefall._core.ids import Address
from lycheefall._operate.metrics import Metrics


@pytest.fixture
def server() -> Iterator[socket.socket]:
    """Return a bound UDP socket."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(5.0)
        yield receiver


class TestMetrics:
    def test_flush(self, server: socket.socket) -> None:
        """Guards against counts that are lost or sent twice, and gauges that are summed."""
        metrics = Metrics(Address(f"127.0.0.1:{server.getsockname()[1]}"), "here")
        for number in (1, 2):
            metrics.count("answers", number)
            metrics.gauge("running", number)
        metrics.flush()
        assert sorted(server.recv(512).split()) == [b"here.answers:3|c", b"here.running:2|g"]
        metrics.count("answers", 1)
        metrics.flush()
        assert server.recv(512) == b"here.answers:1|c"

    def test_without_server(self) -> None:
        """Guards against counters that grow without bound when no server is configured."""
        metrics = Metrics(None, "here")
        metrics.count("answers", 1)
        metrics.flush()
        assert not metrics._counters
