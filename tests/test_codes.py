"""Tests of the result codes."""

from lycheefall._core.codes import ResultCode, run_state
from lycheefall._core.enums import RunState


class TestRunState:
    def test_each_class(self) -> None:
        """Guards against a run state that claims more than is known about the execution."""
        assert run_state(ResultCode.REPLAYED) is RunState.RAN
        assert run_state(ResultCode.UPSTREAM_ERROR) is RunState.RAN
        assert run_state(ResultCode.MISSING_KEY) is RunState.NOT_RUN
        assert run_state(ResultCode.NO_UPSTREAM) is RunState.NOT_RUN
        assert run_state(ResultCode.UPSTREAM_LOST) is RunState.UNKNOWN
        assert run_state(ResultCode.CLAIM_UNCONFIRMED) is RunState.UNKNOWN
