"""Committed epochs of each group.

An epoch is the number of an expert map, which places the experts of a model on the ranks of a
group from a given step on. Commits with an outdated fencing number are refused.
"""

from msgspec import Struct, field

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import FencingNumber, GroupId, MapEpoch, StepNumber
from lycheefall._core.messages.control import CommitEpoch, CommittedEpoch, EpochResult, GroupStatus
from lycheefall._core.messages.groups import CommittedEpochs, QueryEpochs

# Commits kept per group. Ranks in lock-step need the current map and the next; older ones
# answer commits that are resent late.
MAX_COMMITS = 8
NO_EPOCH = MapEpoch(0)
NO_STEP = StepNumber(-1)
NO_FENCING = FencingNumber(0)


class GroupEpochs(Struct):
    """The highest fencing number of a group, and its latest commits, oldest first."""

    fencing: FencingNumber = NO_FENCING
    commits: list[CommitEpoch] = field(default_factory=list)


class EpochsState(Struct):
    """Epochs of all groups."""

    groups: dict[GroupId, GroupEpochs] = field(default_factory=dict)


def initial() -> EpochsState:
    """Return the state before the first commit."""
    return EpochsState()


def apply(
    state: EpochsState, command: CommitEpoch, timestamp_ms: int
) -> tuple[EpochsState, EpochResult]:
    """Commit the next epoch of a group, or refuse it.

    A refused commit still raises the fencing number, so a new coordinator can fence off the
    previous one with a commit of epoch 0, which is always refused.
    """
    group = state.groups.setdefault(command.group, GroupEpochs())
    if command in group.commits:
        return state, EpochResult(ResultCode.OK, command.epoch, command.first_step)
    if command.fencing < group.fencing:
        return state, _result(ResultCode.STALE_FENCING_NUMBER, group)
    group.fencing = command.fencing
    if not _is_next(command, group):
        return state, _result(ResultCode.EPOCH_CONFLICT, group)
    group.commits.append(command)
    del group.commits[:-MAX_COMMITS]
    return state, _result(ResultCode.OK, group)


def committed_epochs(state: EpochsState, query: QueryEpochs) -> CommittedEpochs:
    """Return the committed maps of a group; only the leader's state is up to date."""
    epochs = state.groups.get(query.group, GroupEpochs())
    maps = tuple(
        CommittedEpoch(each.group, each.epoch, each.first_step, each.placement)
        for each in epochs.commits
    )
    return CommittedEpochs(query.group, epochs.fencing, maps, query.requester)


def last_commits(state: EpochsState) -> tuple[GroupStatus, ...]:
    """Return the epoch and first step of the last commit of each group that has one."""
    last = [each.commits[-1] for each in state.groups.values() if each.commits]
    return tuple(GroupStatus(each.group, each.epoch, each.first_step) for each in last)


def _is_next(command: CommitEpoch, group: GroupEpochs) -> bool:
    latest = _result(ResultCode.OK, group)
    return command.epoch == latest.epoch + 1 and command.first_step > latest.first_step


def _result(code: ResultCode, group: GroupEpochs) -> EpochResult:
    if not group.commits:
        return EpochResult(code, NO_EPOCH, NO_STEP)
    last = group.commits[-1]
    return EpochResult(code, last.epoch, last.first_step)
