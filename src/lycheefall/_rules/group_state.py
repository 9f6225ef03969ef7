"""State of a group's coordinator, and the inputs and outputs of its protocol."""

from enum import Enum

from msgspec import Struct, field

from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import FenceMode
from lycheefall._core.events import Event
from lycheefall._core.ids import (
    FencingNumber,
    GroupId,
    Incarnation,
    LeaseName,
    MapEpoch,
    RankId,
    StepNumber,
)
from lycheefall._core.messages.control import (
    Command,
    CommitEpoch,
    CommittedEpoch,
    Result,
)
from lycheefall._core.messages.groups import (
    CommittedEpochs,
    Placement,
    Prepared,
    PrepareEpoch,
    PrepareRefused,
    QueryEpochs,
    RankReport,
    ToRank,
)

NO_STEP = StepNumber(-1)
NO_EPOCH = MapEpoch(0)
FIRST_FENCING = FencingNumber(1)
LEASE_S = 2.0
RENEW_AFTER_S = 0.5
# Remaining duration of a lease that its holder ends; the log takes no duration of 0.
ENDED_LEASE_S = 0.001
# Steps that a rank may run ahead of the group's last report: 3 s at 50 ms per step.
PERMIT_STEPS = 64
PREPARE_TIMEOUT_S = 60.0


class Phase(Enum):
    """Phase of a coordinator, named for what it waits for."""

    # The grant of the lease.
    LEASE = "lease"
    # One more lease duration after a change of holder, if the platform ignores fencing numbers.
    OLD_LEASE = "old-lease"
    # The log, to raise its fencing number.
    FENCE = "fence"
    # The committed maps.
    READ = "read"
    # A proposal for a new map.
    STEADY = "steady"
    # All ranks, to load the weights of the new map.
    PREPARE = "prepare"
    # The log, to commit the new map.
    COMMIT = "commit"


class Tick(Struct, frozen=True):
    """Timer event; unanswered requests are sent again."""


class ProposePlacement(Struct, frozen=True):
    """Request for a new map; ignored unless the phase is STEADY and the last map is in use."""

    placement: Placement


class CommandResult(Struct, frozen=True):
    """Result of a command, with the time at which the command was proposed."""

    command: Command
    result: Result
    sent_s: float


class SendToRank(Struct, frozen=True):
    """Request to send a message to the agent of a rank."""

    rank: RankId
    message: ToRank


class ProposeCommand(Struct, frozen=True):
    """Request to propose a command to control."""

    command: Command


class LogLine(Struct, frozen=True):
    """Request to write a log line."""

    event: Event
    epoch: MapEpoch
    step: StepNumber
    code: ResultCode = ResultCode.OK


CoordinatorInput = (
    Tick
    | ProposePlacement
    | CommandResult
    | CommittedEpochs
    | Prepared
    | PrepareRefused
    | RankReport
)
CoordinatorOutput = SendToRank | ProposeCommand | QueryEpochs | LogLine


class CoordinatorState(Struct):
    """State of one coordinator of a group; it is lost when the process ends."""

    group: GroupId
    holder: Incarnation
    # Number of ranks in the group.
    ranks: int
    fence: FenceMode
    phase: Phase = Phase.LEASE
    fencing: FencingNumber = FencingNumber(0)
    lease_until_s: float = 0.0
    renew_at_s: float = 0.0
    # End of the phase OLD_LEASE.
    fence_from_s: float = 0.0
    # Highest epoch in the log when it accepted this coordinator's fencing number.
    read_epoch: MapEpoch = NO_EPOCH
    maps: tuple[CommittedEpoch, ...] = ()
    # Highest step that a rank has reported, and highest step that any rank may enter.
    reached: StepNumber = NO_STEP
    permitted: StepNumber = NO_STEP
    # Preparations that this coordinator has started; distinguishes retries of the same epoch.
    attempt: int = 0
    preparing: PrepareEpoch | None = None
    prepared: set[RankId] = field(default_factory=set)
    prepare_until_s: float = 0.0
    # The proposed commit whose result is pending.
    commit: CommitEpoch | None = None


def initial(group: GroupId, holder: Incarnation, ranks: int, fence: FenceMode) -> CoordinatorState:
    """Return the initial state of a coordinator."""
    return CoordinatorState(group, holder, ranks, fence)


def lease_name(group: GroupId) -> LeaseName:
    """Return the name of the lease that the coordinator of a group holds."""
    return LeaseName(f"group/{group}")


def current_epoch(state: CoordinatorState) -> MapEpoch:
    """Return the last committed epoch known to this coordinator."""
    return state.maps[-1].epoch if state.maps else NO_EPOCH


def may_place(state: CoordinatorState) -> bool:
    """Return whether the phase is STEADY and ranks have reached the first step of the last map."""
    in_use = not state.maps or state.maps[-1].first_step <= state.reached
    return state.phase is Phase.STEADY and in_use


def all_prepared(state: CoordinatorState) -> bool:
    """Return whether every rank has loaded the weights of the map in preparation."""
    return len(state.prepared) == state.ranks


def permit_limit(state: CoordinatorState) -> StepNumber:
    """Return the highest step that ranks may currently be permitted to enter."""
    ahead = StepNumber(state.reached + PERMIT_STEPS)
    if state.commit is None:
        return ahead
    return min(ahead, StepNumber(state.commit.first_step - 1))
