"""Tests of counting the crashes that a request causes."""

from lycheefall._core.ids import Fingerprint, UpstreamId
from lycheefall._core.messages.relay import Crash
from lycheefall._rules.crash_counts import (
    RETENTION_S,
    SUSPICION_TIMEOUT_S,
    CrashCounts,
    clear,
    confirm,
    record,
    refused,
    suspect,
)

SUSPECT = Fingerprint("f")


def crash(upstream: str, start_time_ms: int = 1) -> Crash:
    """Return a crash of an upstream that was running the suspected request."""
    return Crash(SUSPECT, UpstreamId(upstream), start_time_ms)


class TestCrashCounts:
    def test_third_crash_is_the_last(self) -> None:
        """Guards against a request that keeps crashing upstreams."""
        counts = CrashCounts()
        for number, name in enumerate("abc"):
            assert refused(counts, 0.0) == ()
            assert record(counts, crash(name), float(number)) == number + 1
        assert refused(counts, 3.0) == (SUSPECT,)

    def test_one_crash_counts_once(self) -> None:
        """Guards against a refusal because several entries report the same crash."""
        counts = CrashCounts()
        for _ in range(5):
            record(counts, crash("a"), 0.0)
        assert refused(counts, 0.0) == ()
        record(counts, crash("a", start_time_ms=2), 0.0)
        assert record(counts, crash("a", start_time_ms=3), 0.0) == 3

    def test_forgotten(self) -> None:
        """Guards against a refusal that never expires."""
        counts = CrashCounts()
        for name in "abc":
            record(counts, crash(name), 0.0)
        assert refused(counts, RETENTION_S + 1.0) == ()


class TestSuspected:
    def test_lost_answers_are_no_crashes(self) -> None:
        """Guards against a harmless request refused because three upstreams lost its answers."""
        counts = CrashCounts()
        for name in "abcdef":
            suspect(counts, crash(name), 0.0)
            clear(counts, UpstreamId(name))
            assert confirm(counts, UpstreamId(name), None, 1.0) == []
        assert refused(counts, 1.0) == ()

    def test_upstream_that_is_gone(self) -> None:
        """Guards against crashes that are never counted."""
        counts = CrashCounts()
        for name in "abc":
            suspect(counts, crash(name), 0.0)
            assert confirm(counts, UpstreamId(name), None, 1.0) == [crash(name)]
        assert refused(counts, 1.0) == (SUSPECT,)

    def test_upstream_that_started_again(self) -> None:
        """Guards against a repeated announcement of one start that counts as a restart."""
        counts = CrashCounts()
        suspect(counts, crash("a", start_time_ms=5), 0.0)
        assert confirm(counts, UpstreamId("a"), 5, 1.0) == []
        suspect(counts, crash("a", start_time_ms=5), 1.0)
        assert confirm(counts, UpstreamId("a"), 9, 2.0) == [crash("a", start_time_ms=5)]

    def test_long_ago(self) -> None:
        """Guards against an old broken connection that counts for a later stop of the upstream."""
        counts = CrashCounts()
        suspect(counts, crash("a"), 0.0)
        assert confirm(counts, UpstreamId("a"), None, SUSPICION_TIMEOUT_S + 1.0) == []
