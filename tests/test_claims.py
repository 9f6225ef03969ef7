"""Tests of claims in the replicated state machine."""

from typing import Any

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lycheefall._core.codes import ResultCode as Code
from lycheefall._core.configuration import Limits
from lycheefall._core.messages.control import Claim, Reassign, RecordedAnswer, RecordOutcome
from lycheefall._rules.idempotency_key import key_time_ms
from lycheefall._rules.replicated import claims

KEYS = st.sampled_from(["k1", "k2", "k3"])
TEAMS = st.sampled_from(["a", "b"])
ATTEMPTS = st.integers(1, 4)


def claim(key: str = "k1", digest: str = "d", team: str = "a", time_ms: int = 0) -> Claim:
    return Claim(key, team, digest, time_ms, "e1", "u1", "i1")  # type: ignore[arg-type]


def answer(body: bytes) -> RecordedAnswer:
    return RecordedAnswer(Code.OK, 200, "text/plain", body)


class ClaimsMachine(RuleBasedStateMachine):
    """Compares claims with a dictionary of [digest, attempt, code, body, key time]."""

    def __init__(self) -> None:
        super().__init__()
        self.state = claims.initial()
        self.timestamp_ms = 10_000_000
        self.floor_ms = 0
        self.limits = Limits(key_retention_s=600.0)
        self.oracle: dict[tuple[str, str], list[Any]] = {}

    def run(self, command: Any, back_ms: int = 0) -> Any:
        self.floor_ms = max(
            self.floor_ms, self.timestamp_ms - int(self.limits.key_retention_s * 1000)
        )
        encoded = msgspec.msgpack.encode(self.state)
        self.state = msgspec.msgpack.decode(encoded, type=claims.ClaimsState)
        self.state, result = claims.apply(
            self.state, command, self.timestamp_ms - back_ms, self.limits
        )
        return result

    def known(self, team: str, key: str) -> list[Any] | None:
        found = self.oracle.get((team, key))
        return found if found and found[4] >= self.floor_ms else None

    @rule(step_ms=st.integers(0, 400_000), retention_s=st.sampled_from([300.0, 600.0, 1800.0]))
    def advance_clock(self, step_ms: int, retention_s: float) -> None:
        self.timestamp_ms += step_ms
        self.limits = Limits(key_retention_s=retention_s)
        self.run(claim("absent", time_ms=0))

    @rule(
        key=KEYS,
        team=TEAMS,
        digest=st.sampled_from("de"),
        age_ms=st.integers(-100_000, 700_000),
        back_ms=st.integers(0, 5_000),
    )
    def claim(self, key: str, team: str, digest: str, age_ms: int, back_ms: int) -> None:
        known = self.oracle.get((team, key))
        time_ms = known[4] if known else self.timestamp_ms - age_ms
        result = self.run(claim(key, digest, team, time_ms), back_ms)
        known = self.known(team, key)
        if time_ms < self.floor_ms:
            assert result.code is Code.KEY_EXPIRED
        elif known is None and time_ms > self.state.clock_ms + 60_000:
            assert result.code is Code.BAD_KEY
        elif known is None:
            assert (result.code, result.attempt) == (Code.OK, 1)
            self.oracle[team, key] = [digest, 1, Code.JOINED, None, time_ms]
        elif known[0] != digest:
            assert result.code is Code.KEY_REUSED
        else:
            assert (result.code, result.attempt) == (known[2], known[1])
            assert (result.answer and result.answer.body) == known[3]

    @rule(key=KEYS, team=TEAMS, attempt=ATTEMPTS, holder=st.sampled_from(["e1", "e2"]))
    def reassign(self, key: str, team: str, attempt: int, holder: str) -> None:
        result = self.run(
            Reassign(key, team, attempt, holder, "u2", "i2")  # type: ignore[arg-type]
        )
        known = self.known(team, key)
        if known is None:
            assert result.code is Code.KEY_EXPIRED
        elif known[2] is not Code.JOINED:
            assert result.code is known[2]
        elif known[1] != attempt:
            assert (result.code, result.attempt) == (Code.CLAIM_CONFLICT, known[1])
        else:
            known[1] += 1
            assert (result.code, result.attempt, result.holder) == (Code.OK, known[1], holder)

    @rule(key=KEYS, team=TEAMS, attempt=ATTEMPTS, body=st.none() | st.binary(max_size=3))
    def record(self, key: str, team: str, attempt: int, body: bytes | None) -> None:
        outcome = None if body is None else answer(body)
        result = self.run(RecordOutcome(key, team, attempt, outcome))  # type: ignore[arg-type]
        known = self.known(team, key)
        if known is None:
            assert result.code is Code.KEY_EXPIRED
        elif known[1] != attempt:
            assert result.code is Code.CLAIM_CONFLICT
        elif known[2] is Code.REPLAYED:
            assert (result.code, result.answer.body) == (Code.REPLAYED, known[3])
        else:
            known[2:4] = [Code.OUTCOME_UNKNOWN if body is None else Code.REPLAYED, body]
            assert result.code is Code.OK

    @invariant()
    def bytes_and_count_agree(self) -> None:
        records = [(t, k, r) for t, ks in self.state.claims.items() for k, r in ks.items()]
        assert self.state.count == len(records) == sum(map(len, self.state.buckets.values()))
        assert self.state.total_bytes == sum(claims._record_bytes(*each) for each in records)


TestClaimsMachine = ClaimsMachine.TestCase
TestClaimsMachine.settings = settings(max_examples=150, stateful_step_count=30, deadline=None)


class TestBounds:
    def test_large_answer(self) -> None:
        """Guards against large answers that exhaust the state, and a replayed truncated answer."""
        state = claims.initial()
        claims.apply(state, claim(), 0, Limits())
        large = answer(b"x" * (claims.MAX_ANSWER_BYTES + 1))
        claims.apply(state, RecordOutcome("k1", "a", 1, large), 0, Limits())  # type: ignore[arg-type]
        _, result = claims.apply(state, claim(), 0, Limits())
        assert (result.code, result.answer) == (Code.REPLAYED, claims.UNSTORED_ANSWER)

    def test_total_size(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against new claims that evict claims within the retention period."""
        monkeypatch.setattr(claims, "MAX_TOTAL_BYTES", 300)
        state = claims.initial()
        codes = [claims.apply(state, claim(k), 0, Limits())[1].code for k in ("k1", "k2", "k1")]
        assert codes == [Code.OK, Code.OVERLOADED, Code.JOINED]


class TestKeyTime:
    @pytest.mark.parametrize(
        ("key", "time_ms"),
        [
            ("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 1645557742000),
            ("1645557742000-x y", None),
            ("1645557742000-order/7", 1645557742000),
            ("1645557742000-", None),
            ("6ba7b810-9dad-41d1-80b4-00c04fd430c8", None),
            ("x" * 200, None),
        ],
    )
    def test_key_formats(self, key: str, time_ms: int | None) -> None:
        """Guards against a misparsed key time, which lets a key outlive its claim."""
        assert key_time_ms(key) == time_ms  # type: ignore[arg-type]
