"""Tests of counting the crashes of a request."""

from lycheefall._core.ids import Fingerprint, UpstreamId
from lycheefall._core.messages.relay import Crash
from lycheefall._rules.crash_counts import KEPT_S, CrashCounts, record, refused

SUSPECT = Fingerprint("f")


def crash(upstream: str, born_ms: int = 1) -> Crash:
    """Return a crash of an upstream while the suspect ran there."""
    return Crash(SUSPECT, UpstreamId(upstream), born_ms)


class TestCrashCounts:
    def test_third_crash_is_the_last(self) -> None:
        """Guards against a request that goes on to crash upstreams."""
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
        record(counts, crash("a", born_ms=2), 0.0)
        assert record(counts, crash("a", born_ms=3), 0.0) == 3

    def test_forgotten(self) -> None:
        """Guards against a refusal that never ends."""
        counts = CrashCounts()
        for name in "abc":
            record(counts, crash(name), 0.0)
        assert refused(counts, KEPT_S + 1.0) == ()
