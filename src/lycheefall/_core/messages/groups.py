"""Messages between the coordinator of a group, the agents of its ranks and control."""

from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import (
    ExpertId,
    FencingNumber,
    GroupId,
    Incarnation,
    MapEpoch,
    RankId,
    StepNumber,
)
from lycheefall._core.messages.control import CommittedEpoch

# Ranks that hold a replica of each expert, indexed by expert.
Placement = tuple[tuple[RankId, ...], ...]


class PrepareEpoch(Struct, frozen=True, array_like=True, tag=61):
    """Ask a rank to load the weights for a map without activating it."""

    group: GroupId
    fencing: FencingNumber
    epoch: MapEpoch
    # Distinguishes a coordinator's retries of the same epoch.
    attempt: int
    placement: Placement


class AbortEpoch(Struct, frozen=True, array_like=True, tag=62):
    """Notify a rank that a prepared epoch is aborted."""

    group: GroupId
    fencing: FencingNumber
    epoch: MapEpoch
    attempt: int


class Permit(Struct, frozen=True, array_like=True, tag=63):
    """Permit a rank to enter steps up to `last_step`, where no epoch above `epoch` begins."""

    group: GroupId
    fencing: FencingNumber
    # Incarnation of the intended agent; a restarted agent must not use an old permission.
    incarnation: Incarnation
    epoch: MapEpoch
    last_step: StepNumber


class CommittedEpochs(Struct, frozen=True, array_like=True, tag=64):
    """Last committed maps of a group, oldest first, and the highest fencing number seen."""

    group: GroupId
    fencing: FencingNumber
    maps: tuple[CommittedEpoch, ...]
    # Incarnation that queried; None if a coordinator sends the maps unprompted.
    requester: Incarnation | None = None


class Prepared(Struct, frozen=True, array_like=True, tag=65):
    """Report that a rank has loaded the weights of a map, and its last permitted step."""

    group: GroupId
    rank: RankId
    incarnation: Incarnation
    fencing: FencingNumber
    epoch: MapEpoch
    attempt: int
    permitted_step: StepNumber


class PrepareRefused(Struct, frozen=True, array_like=True, tag=66):
    """Report that a rank cannot prepare a map; `fencing` is the highest number it has seen."""

    group: GroupId
    rank: RankId
    fencing: FencingNumber
    epoch: MapEpoch
    attempt: int
    code: ResultCode


class RankReport(Struct, frozen=True, array_like=True, tag=67):
    """State of a rank, and its load since the last report."""

    group: GroupId
    rank: RankId
    incarnation: Incarnation
    # Highest step that the rank has entered.
    step: StepNumber
    permitted_step: StepNumber
    epoch: MapEpoch
    # Tokens computed by the rank per expert; empty if it entered no step.
    expert_tokens: tuple[float, ...] = ()
    busy_s: float = 0.0


class QueryEpochs(Struct, frozen=True, array_like=True, tag=68):
    """Query the leader of control for the committed maps of a group."""

    group: GroupId
    requester: Incarnation


class EnterStep(Struct, frozen=True, array_like=True, tag=69):
    """Ask the agent which map the rank must use in a step."""

    step: StepNumber


class StepEntered(Struct, frozen=True, array_like=True, tag=70):
    """Permit the rank to run a step with the given map."""

    step: StepNumber
    epoch: MapEpoch
    placement: Placement


class StepRefused(Struct, frozen=True, array_like=True, tag=71):
    """Refuse a step; the rank retries."""

    step: StepNumber
    code: ResultCode


class LoadWeights(Struct, frozen=True, array_like=True, tag=72):
    """Instruct the rank to load experts from the weight store."""

    fencing: FencingNumber
    experts: tuple[ExpertId, ...]


class StepDone(Struct, frozen=True, array_like=True, tag=76):
    """Report the work of a rank in a step."""

    step: StepNumber
    expert_tokens: tuple[float, ...]
    busy_s: float


class WeightsLoaded(Struct, frozen=True, array_like=True, tag=73):
    """Report that the rank has loaded these experts."""

    experts: tuple[ExpertId, ...]


class LoadFailed(Struct, frozen=True, array_like=True, tag=74):
    """Report that the rank failed to load these experts."""

    experts: tuple[ExpertId, ...]
    code: ResultCode


class DropWeights(Struct, frozen=True, array_like=True, tag=75):
    """Instruct the rank to free the slots of experts that no active or prepared map needs."""

    experts: tuple[ExpertId, ...]


class ReplicaPing(Struct, frozen=True, array_like=True, tag=77):
    """Check the connection to a control replica."""


class ReplicaPong(Struct, frozen=True, array_like=True, tag=78):
    """Answer ReplicaPing over the same connection."""


ToRank = PrepareEpoch | AbortEpoch | Permit | CommittedEpochs
ToCoordinator = Prepared | PrepareRefused | RankReport
# From the agent of a rank, or a querying coordinator, to every control replica, and back.
ToReplica = ToCoordinator | QueryEpochs | ReplicaPing
FromReplica = ToRank | ReplicaPong
