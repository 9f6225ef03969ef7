"""Tests of fingerprints that crash upstreams."""

from typing import Any

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Configuration, Limits
from lycheefall._core.messages.consensus import Submitted
from lycheefall._core.messages.control import AcquireLease, ClearSuspects, RecordCrash
from lycheefall._rules.replicated import machine, suspects
from lycheefall._rules.suspect_leases import suspect_lease

FINGERPRINTS = st.sets(st.sampled_from("fgh"), max_size=2)
LIMITS = Limits(fingerprint_refusal_s=10.0)


class SuspectsMachine(RuleBasedStateMachine):
    """Compares suspects with a dictionary of crashed incarnations and expiry times."""

    def __init__(self) -> None:
        super().__init__()
        self.state = suspects.initial()
        self.timestamp_ms = 0
        self.oracle: dict[str, tuple[set[str], int]] = {}

    def run(self, command: Any) -> None:
        encoded = msgspec.msgpack.encode(self.state)
        self.state = msgspec.msgpack.decode(encoded, type=suspects.SuspectsState)
        suspects.apply(self.state, command, self.timestamp_ms, LIMITS)

    @rule(step_ms=st.integers(0, 6_000))
    def advance_clock(self, step_ms: int) -> None:
        self.timestamp_ms += step_ms
        suspects.expire(self.state, self.timestamp_ms)
        self.oracle = {f: o for f, o in self.oracle.items() if o[1] > self.timestamp_ms}

    @rule(crashed=st.sampled_from("123"), fingerprints=FINGERPRINTS)
    def crash(self, crashed: str, fingerprints: set[str]) -> None:
        self.run(RecordCrash("u", crashed, tuple(fingerprints)))  # type: ignore[arg-type]
        for fingerprint in fingerprints:
            seen, _ = self.oracle.get(fingerprint, (set(), 0))
            if crashed not in seen and len(seen) < 2:
                self.oracle[fingerprint] = (seen | {crashed}, self.timestamp_ms + 10_000)

    @rule(fingerprints=FINGERPRINTS)
    def clear(self, fingerprints: set[str]) -> None:
        self.run(ClearSuspects(tuple(fingerprints)))  # type: ignore[arg-type]
        for fingerprint in fingerprints:
            if len(self.oracle.get(fingerprint, ((), 0))[0]) < 2:
                self.oracle.pop(fingerprint, None)

    @invariant()
    def agrees(self) -> None:
        refused = {f for f, (seen, _) in self.oracle.items() if len(seen) == 2}
        assert set(suspects.refused(self.state)) == refused
        found = {f for f in "fgh" if suspects.is_refused(self.state, f, self.timestamp_ms)}  # type: ignore[arg-type]
        assert found == refused
        assert set(suspects.suspects(self.state)) == set(self.oracle) - refused
        assert set(self.state.suspects) == set(self.oracle)


TestSuspectsMachine = SuspectsMachine.TestCase
TestSuspectsMachine.settings = settings(max_examples=100, deadline=None)


class TestLease:
    def test_no_lease_after_the_second_crash(self) -> None:
        """Guards against a third crash through an entry that has not learned of the second."""
        apply = machine.applier(lambda text: Configuration())
        state = machine.initial()
        lease = AcquireLease(suspect_lease("f"), "holder", 1.0)  # type: ignore[arg-type]
        crashes = [RecordCrash("u", run, ("f",)) for run in "12"]  # type: ignore[arg-type]
        codes = []
        for number, command in enumerate([crashes[0], lease, crashes[1], lease]):
            submitted = Submitted(str(number), command)  # type: ignore[arg-type]
            codes.append(apply(state, submitted, number * 2_000)[1].code)
        assert codes[1::2] == [ResultCode.OK, ResultCode.FINGERPRINT_REFUSED]
