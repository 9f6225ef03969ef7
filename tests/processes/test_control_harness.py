"""Tests of the helpers for tests with separate processes."""

import socket

from processes.control_harness import free_addresses


class TestAddresses:
    def test_other_session_takes_the_port(self) -> None:
        """Guards against a process that can't restart because another session took its port."""
        host, _, port = free_addresses(1)[0].rpartition(":")
        with socket.socket() as foreign, socket.socket() as own:
            foreign.bind(("127.0.0.1", int(port)))
            foreign.listen()
            own.bind((host, int(port)))
