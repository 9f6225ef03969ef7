"""Tests of the admission of attempts; test_claim_flow.py tests it together with the entries."""

from typing import Any

import pytest

from lycheefall._core.codes import ResultCode as Code
from lycheefall._core.enums import AttemptState, RouteKind
from lycheefall._core.messages.dispatch import ClaimToken, Dispatch, Finished, Resolve
from lycheefall._rules import attempts

DAY_S = 86_400.0


def dispatch(attempt: int = 1, key: str | None = "k", **changes: Any) -> Any:
    fields: dict[str, Any] = {
        "request": "r",
        "attempt": attempt,
        "incarnation": "i",
        "remaining_s": 5.0,
        "kind": RouteKind.BOOKING,
        "method": "POST",
        "path": "/",
        "content_type": "",
        "body": b"",
        "priority": "p",
        "rank": 0,
        "fingerprint": "f",
        "claim": ClaimToken("t", key, attempt) if key else None,  # type: ignore[arg-type]
    }
    return Dispatch(**fields | changes)


def outcome(state: Any, message: Any, now_s: float = 0.0) -> Any:
    """Return "run" if the message starts an attempt, else the code of the refusal."""
    effect = attempts.step(state, message, now_s)[1][0]
    return "run" if isinstance(effect, attempts.Run) else getattr(effect, "code", None)


class TestDispatch:
    @pytest.mark.parametrize(
        ("changes", "draining", "code"),
        [
            ({"incarnation": "old"}, False, Code.WRONG_INCARNATION),
            ({"remaining_s": 0.0}, False, Code.EXPIRED_BEFORE_START),
            ({}, True, Code.UPSTREAM_DRAINING),
            ({}, False, "run"),
        ],
    )
    def test_first_copy(self, changes: Any, draining: bool, code: Any) -> None:
        """Guards against work that starts late, on the wrong process or while draining."""
        state = attempts.initial("i", DAY_S)  # type: ignore[arg-type]
        state.draining = draining
        assert outcome(state, dispatch(**changes)) == code

    @pytest.mark.parametrize("key", ["k", None])
    def test_second_copy(self, key: str | None) -> None:
        """Guards against running a second copy, and a code for it that means that nothing ran."""
        state = attempts.initial("i", DAY_S)  # type: ignore[arg-type]
        assert outcome(state, dispatch(key=key)) == "run"
        assert outcome(state, dispatch(key=key)) is Code.DUPLICATE_ATTEMPT
        attempts.step(state, Finished("r", 1, Code.OK), 0.0)  # type: ignore[arg-type]
        state.draining = True
        assert outcome(state, dispatch(key=key)) is Code.DUPLICATE_ATTEMPT

    def test_refused_copy_stays_refused(self) -> None:
        """Guards against an attempt that was refused and retried elsewhere, but starts later."""
        state = attempts.initial("i", DAY_S)  # type: ignore[arg-type]
        state.draining = True
        outcome(state, dispatch())
        state.draining = False
        assert outcome(state, dispatch()) is Code.ATTEMPT_RELEASED

    def test_lower_attempt(self) -> None:
        """Guards against a delayed attempt that starts after a later attempt of its claim."""
        state = attempts.initial("i", DAY_S)  # type: ignore[arg-type]
        assert outcome(state, dispatch(3)) == "run"
        assert outcome(state, dispatch(1, request="other")) is Code.ATTEMPT_RELEASED


class TestResolve:
    def test_other_incarnation(self) -> None:
        """Guards against a new process that reports the state of its predecessor's attempts."""
        state = attempts.initial("i", DAY_S)  # type: ignore[arg-type]
        resolve = Resolve("r", 1, None, "old")  # type: ignore[arg-type]
        assert attempts.step(state, resolve, 0.0)[1][0].state is AttemptState.UNSEEN  # type: ignore[union-attr]


class TestRetention:
    def test_records_expire(self) -> None:
        """Guards against unbounded memory, and against records dropped within the retention."""
        state = attempts.initial("i", DAY_S)  # type: ignore[arg-type]
        resolve = Resolve("r", 1, ClaimToken("t", "k", 1), "i")  # type: ignore[arg-type]
        attempts.step(state, resolve, 0.0)
        outcome(state, dispatch(key="running"))
        outcome(state, dispatch(key=None))
        assert outcome(state, dispatch(), DAY_S + 60.0) is Code.ATTEMPT_RELEASED
        attempts.step(state, attempts.SetDraining(False), 2 * DAY_S)
        assert list(state.claimed) == [("t", "running")]
        assert len(state.unclaimed) == 1
