"""State of a group's coordinator, and what goes in and out of its protocol."""

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
    EpochInForce,
    Result,
)
from lycheefall._core.messages.groups import (
    AskEpochs,
    EpochsInForce,
    Placement,
    Prepared,
    PrepareEpoch,
    PrepareRefused,
    RankReport,
    ToRank,
)

NO_STEP = StepNumber(-1)
NO_EPOCH = MapEpoch(0)
FIRST_FENCING = FencingNumber(1)
LEASE_S = 2.0
RENEW_AFTER_S = 0.5
# Steps that a rank may run ahead of the group's last report: 3 s at 50 ms a step.
PERMIT_STEPS = 64
PREPARE_TIMEOUT_S = 60.0


class Phase(Enum):
    """What a coordinator is waiting for."""

    LEASE = "lease"
    OLD_LEASE = "old-lease"
    FENCE = "fence"
    READ = "read"
    STEADY = "steady"
    PREPARE = "prepare"
    COMMIT = "commit"


class Tick(Struct, frozen=True):
    """Tell that time has passed; requests without an answer are sent again."""


class ProposePlacement(Struct, frozen=True):
    """Ask for a map; ignored unless the coordinator holds the group and no change is open."""

    placement: Placement


class CommandResult(Struct, frozen=True):
    """Bring the result of a command, with the time at which it was proposed."""

    command: Command
    result: Result
    sent_s: float


class SendToRank(Struct, frozen=True):
    """Send a message to the agent of a rank."""

    rank: RankId
    message: ToRank


class ProposeCommand(Struct, frozen=True):
    """Propose a command to control."""

    command: Command


class LogLine(Struct, frozen=True):
    """Write a log line."""

    event: Event
    epoch: MapEpoch
    step: StepNumber
    code: ResultCode = ResultCode.OK


CoordinatorInput = (
    Tick | ProposePlacement | CommandResult | EpochsInForce | Prepared | PrepareRefused | RankReport
)
CoordinatorOutput = SendToRank | ProposeCommand | AskEpochs | LogLine


class CoordinatorState(Struct):
    """What one coordinator of a group knows; nothing of it outlives the process."""

    group: GroupId
    holder: Incarnation
    ranks: int
    fence: FenceMode
    phase: Phase = Phase.LEASE
    fencing: FencingNumber = FencingNumber(0)
    lease_until_s: float = 0.0
    renew_at_s: float = 0.0
    fence_from_s: float = 0.0
    # Highest epoch that the log named when it took this coordinator's fencing number.
    read_epoch: MapEpoch = NO_EPOCH
    maps: tuple[EpochInForce, ...] = ()
    # The highest step that a rank has reported, and the highest that one may enter.
    reached: StepNumber = NO_STEP
    permitted: StepNumber = NO_STEP
    attempt: int = 0
    preparing: PrepareEpoch | None = None
    prepared: set[RankId] = field(default_factory=set)
    prepare_until_s: float = 0.0
    commit: CommitEpoch | None = None


def initial(group: GroupId, holder: Incarnation, ranks: int, fence: FenceMode) -> CoordinatorState:
    """Return the state of a coordinator that has just started."""
    return CoordinatorState(group, holder, ranks, fence)


def lease_name(group: GroupId) -> LeaseName:
    """Return the name of the lease that the coordinator of a group holds."""
    return LeaseName(f"group/{group}")


def epoch_in_force(state: CoordinatorState) -> MapEpoch:
    """Return the last committed epoch that this coordinator knows."""
    return state.maps[-1].epoch if state.maps else NO_EPOCH


def may_place(state: CoordinatorState) -> bool:
    """Return whether the group is held, no change is open, and the last map is in use."""
    in_use = not state.maps or state.maps[-1].first_step <= state.reached
    return state.phase is Phase.STEADY and in_use


def all_prepared(state: CoordinatorState) -> bool:
    """Return whether every rank holds the weights of the wanted map."""
    return len(state.prepared) == state.ranks


def permit_limit(state: CoordinatorState) -> StepNumber:
    """Return the highest step that ranks may be let into now."""
    ahead = StepNumber(state.reached + PERMIT_STEPS)
    if state.commit is None:
        return ahead
    return min(ahead, StepNumber(state.commit.first_step - 1))
