"""Tests of resumable streams."""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lycheefall._core.codes import ResultCode as Code
from lycheefall._core.messages.dispatch import Finished, Frame
from lycheefall._rules import streams

ANSWER = tuple("abcdefgh")


class StreamMachine(RuleBasedStateMachine):
    """Send frames of one answer from several attempts, out of order and duplicated."""

    def __init__(self) -> None:
        super().__init__()
        self.state = streams.initial("r", 1)  # type: ignore[arg-type]
        self.attempt = 1
        self.delivered: list[str] = []
        self.is_open = True
        self.complete = False

    def send(self, message: Any, is_current: bool) -> Any:
        effects = streams.step(self.state, message, 0.0)[1]
        if not is_current:
            assert all(isinstance(each, streams.Dropped) for each in effects)
            return None
        return effects[0]

    @rule(
        offset=st.sampled_from([0, 0, -1, -2, 1]),
        size=st.integers(0, 4),
        attempts_behind=st.sampled_from([0, 0, 0, 1]),
    )
    def frame(self, offset: int, size: int, attempts_behind: int) -> None:
        begin = max(0, len(self.delivered) + offset)
        tokens = ANSWER[begin : begin + size] if attempts_behind == 0 else ("wrong",) * 9
        frame = Frame("r", self.attempt - attempts_behind, begin, tokens)  # type: ignore[arg-type]
        effect = self.send(frame, self.is_open and attempts_behind == 0)
        if effect is None:
            return
        if begin > len(self.delivered):
            assert effect.reason is streams.EndReason.GAP
            self.check_ended(effect)
        elif begin + len(tokens) > len(self.delivered):
            assert effect.index == len(self.delivered)
            self.delivered.extend(effect.tokens)
            assert len(self.delivered) == begin + len(tokens)

    @rule(
        missing=st.sampled_from([0, 0, 1, -1]),
        code=st.sampled_from([Code.OK, Code.OK, Code.UPSTREAM_LOST]),
    )
    def finish(self, missing: int, code: Code) -> None:
        count = len(self.delivered) + missing
        finished = Finished("r", self.attempt, code, token_count=count)  # type: ignore[arg-type]
        effect = self.send(finished, self.is_open)
        if effect is None:
            return
        self.complete = code is Code.OK and count == len(self.delivered)
        assert isinstance(effect, streams.Completed) == self.complete
        self.is_open = False
        if not self.complete:
            self.check_ended(effect)

    @rule()
    def other_request(self) -> None:
        self.send(Frame("q", self.attempt, 0, ("wrong",) * 9), False)  # type: ignore[arg-type]

    @rule()
    def lose(self) -> None:
        if self.is_open:
            lost = streams.AttemptLost(self.attempt)  # type: ignore[arg-type]
            self.check_ended(self.send(lost, True))

    @rule()
    def resume(self) -> None:
        if not self.is_open and not self.complete:
            self.attempt += 1
            streams.step(self.state, streams.AttemptBegun(self.attempt), 0.0)  # type: ignore[arg-type]
            self.is_open = True

    def check_ended(self, effect: Any) -> None:
        self.is_open = False
        assert effect.resume_tokens == tuple(self.delivered)

    @invariant()
    def is_prefix(self) -> None:
        assert tuple(self.delivered) == ANSWER[: len(self.delivered)]


TestStream = StreamMachine.TestCase
TestStream.settings = settings(max_examples=150, deadline=None)
