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
    refused_fingerprints,
    suspect,
)

SUSPECT = Fingerprint("f")


def crash(upstream: str, start_time_ms: int = 1) -> Crash:
    """Return a crash of an upstream that was running the suspected request."""
    return Crash(SUSPECT, UpstreamId(upstream), start_time_ms)


class TestCrashCounts:
    def test_refused_after_three_crashes(self) -> None:
        """Guards against a request that keeps crashing upstreams."""
        counts = CrashCounts()
        for number, name in enumerate("abc"):
            assert refused_fingerprints(counts, 0.0) == ()
            assert record(counts, crash(name), float(number)) == number + 1
        assert refused_fingerprints(counts, 3.0) == (SUSPECT,)

    def test_one_crash_counts_once(self) -> None:
        """Guards against a refusal because several entries report the same crash."""
        counts = CrashCounts()
        for _ in range(5):
            record(counts, crash("a"), 0.0)
        assert refused_fingerprints(counts, 0.0) == ()
        record(counts, crash("a", start_time_ms=2), 0.0)
        assert record(counts, crash("a", start_time_ms=3), 0.0) == 3

    def test_expires(self) -> None:
        """Guards against a refusal that never expires."""
        counts = CrashCounts()
        for name in "abc":
            record(counts, crash(name), 0.0)
        assert refused_fingerprints(counts, RETENTION_S + 1.0) == ()


class TestSuspected:
    def test_lost_answer_is_no_crash(self) -> None:
        """Guards against a harmless request refused because three upstreams lost its answers."""
        counts = CrashCounts()
        for name in "abcdef":
            suspect(counts, crash(name), 0.0)
            clear(counts, UpstreamId(name))
            assert confirm(counts, UpstreamId(name), None, 1.0) == []
        assert refused_fingerprints(counts, 1.0) == ()

    def test_unreachable_upstream_confirms_a_crash(self) -> None:
        """Guards against crashes that are never counted."""
        counts = CrashCounts()
        for name in "abc":
            suspect(counts, crash(name), 0.0)
            assert confirm(counts, UpstreamId(name), None, 1.0) == [crash(name)]
        assert refused_fingerprints(counts, 1.0) == (SUSPECT,)

    def test_restart_confirms_a_crash(self) -> None:
        """Guards against a repeated announcement of one start that counts as a restart."""
        counts = CrashCounts()
        suspect(counts, crash("a", start_time_ms=5), 0.0)
        assert confirm(counts, UpstreamId("a"), 5, 1.0) == []
        suspect(counts, crash("a", start_time_ms=5), 1.0)
        assert confirm(counts, UpstreamId("a"), 9, 2.0) == [crash("a", start_time_ms=5)]

    def test_suspicion_expires(self) -> None:
        """Guards against an old broken connection that counts when the upstream stops later."""
        counts = CrashCounts()
        suspect(counts, crash("a"), 0.0)
        assert confirm(counts, UpstreamId("a"), None, SUSPICION_TIMEOUT_S + 1.0) == []
