"""Tests of committed epochs in the replicated state machine."""

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import FencingNumber, GroupId, Incarnation, MapEpoch, RankId, StepNumber
from lycheefall._core.messages.control import CommitEpoch, EpochResult
from lycheefall._core.messages.groups import QueryEpochs
from lycheefall._rules.replicated import epochs

GROUP = GroupId("assistant-models/0")


def commit(epoch: int, fencing: int, first_step: int, rank: int = 0) -> CommitEpoch:
    return CommitEpoch(
        GROUP,
        MapEpoch(epoch),
        FencingNumber(fencing),
        StepNumber(first_step),
        ((RankId(rank),),),
    )


def run(*commands: CommitEpoch) -> list[EpochResult]:
    state = epochs.initial()
    return [epochs.apply(state, command, 0)[1] for command in commands]


class TestApply:
    def test_order(self) -> None:
        """Guards against epochs that skip a number or start before the current one."""
        codes = [r.code for r in run(commit(1, 1, 0), commit(3, 1, 9), commit(2, 1, 0))]
        assert codes == [ResultCode.OK, ResultCode.EPOCH_CONFLICT, ResultCode.EPOCH_CONFLICT]

    def test_old_fencing_number(self) -> None:
        """Guards against a commit by a coordinator that has been replaced."""
        results = run(commit(1, 2, 0), commit(2, 1, 9))
        assert results[1].code is ResultCode.STALE_FENCING_NUMBER

    def test_refused_commit_fences(self) -> None:
        """Guards against a stale commit that is applied after the new coordinator read the log."""
        results = run(commit(1, 1, 0), commit(0, 2, 0), commit(2, 1, 9))
        assert results[1] == EpochResult(ResultCode.EPOCH_CONFLICT, MapEpoch(1), StepNumber(0))
        assert results[2].code is ResultCode.STALE_FENCING_NUMBER

    def test_resend(self) -> None:
        """Guards against refusing a resent commit that was already applied."""
        results = run(commit(1, 1, 0), commit(2, 2, 9), commit(1, 1, 0), commit(2, 2, 9, rank=1))
        assert results[2] == results[0]
        assert results[3].code is ResultCode.EPOCH_CONFLICT

    def test_committed_epochs(self) -> None:
        """Guards against a list of maps that is out of order or grows without bound."""
        state = epochs.initial()
        for number in range(1, 12):
            epochs.apply(state, commit(number, 1, number), 0)
        maps = epochs.committed_epochs(state, QueryEpochs(GROUP, Incarnation("a"))).maps
        assert [each.epoch for each in maps] == list(range(4, 12))
