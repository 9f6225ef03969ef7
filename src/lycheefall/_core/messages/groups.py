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

# For each expert, the ranks that hold a replica of it.
Placement = tuple[tuple[RankId, ...], ...]


class PrepareEpoch(Struct, frozen=True, array_like=True, tag=61):
    """Ask a rank to load the weights that a map needs, without using the map."""

    group: GroupId
    fencing: FencingNumber
    epoch: MapEpoch
    # Tells two tries of one coordinator at the same epoch apart.
    attempt: int
    placement: Placement


class AbortEpoch(Struct, frozen=True, array_like=True, tag=62):
    """Tell a rank that a prepared epoch is not committed."""

    group: GroupId
    fencing: FencingNumber
    epoch: MapEpoch
    attempt: int


class Permit(Struct, frozen=True, array_like=True, tag=63):
    """Let a rank enter steps: up to this one no epoch above the given one begins."""

    group: GroupId
    fencing: FencingNumber
    # The run of the agent that is meant; a restarted one must not use an old permission.
    incarnation: Incarnation
    epoch: MapEpoch
    last_step: StepNumber


class CommittedEpochs(Struct, frozen=True, array_like=True, tag=64):
    """The last committed maps of a group, oldest first, and the highest fencing number seen."""

    group: GroupId
    fencing: FencingNumber
    maps: tuple[CommittedEpoch, ...]
    # The run that asked; None when a coordinator sends the maps on its own.
    requester: Incarnation | None = None


class Prepared(Struct, frozen=True, array_like=True, tag=65):
    """Tell that a rank holds the weights of a map, and up to which step it may already go."""

    group: GroupId
    rank: RankId
    incarnation: Incarnation
    fencing: FencingNumber
    epoch: MapEpoch
    attempt: int
    permitted_step: StepNumber


class PrepareRefused(Struct, frozen=True, array_like=True, tag=66):
    """Tell that a rank can't prepare a map; the number is the highest that the rank has seen."""

    group: GroupId
    rank: RankId
    fencing: FencingNumber
    epoch: MapEpoch
    attempt: int
    code: ResultCode


class RankReport(Struct, frozen=True, array_like=True, tag=67):
    """State and load of a rank since its last report."""

    group: GroupId
    rank: RankId
    incarnation: Incarnation
    # The highest step that the rank has entered.
    step: StepNumber
    permitted_step: StepNumber
    epoch: MapEpoch
    # Tokens that the rank computed for each expert; empty when it entered no step.
    expert_tokens: tuple[float, ...] = ()
    busy_s: float = 0.0


class QueryEpochs(Struct, frozen=True, array_like=True, tag=68):
    """Ask control for the committed maps of a group, as the leader has them."""

    group: GroupId
    requester: Incarnation


class EnterStep(Struct, frozen=True, array_like=True, tag=69):
    """Ask the agent which map the rank uses in a step."""

    step: StepNumber


class StepEntered(Struct, frozen=True, array_like=True, tag=70):
    """Let the rank run a step with a map."""

    step: StepNumber
    epoch: MapEpoch
    placement: Placement


class StepRefused(Struct, frozen=True, array_like=True, tag=71):
    """Hold the rank before a step; it asks again."""

    step: StepNumber
    code: ResultCode


class LoadWeights(Struct, frozen=True, array_like=True, tag=72):
    """Order the rank to load experts from the weight store."""

    fencing: FencingNumber
    experts: tuple[ExpertId, ...]


class StepDone(Struct, frozen=True, array_like=True, tag=76):
    """Tell what a rank computed in a step."""

    step: StepNumber
    expert_tokens: tuple[float, ...]
    busy_s: float


class WeightsLoaded(Struct, frozen=True, array_like=True, tag=73):
    """Tell that the rank holds these experts."""

    experts: tuple[ExpertId, ...]


class LoadFailed(Struct, frozen=True, array_like=True, tag=74):
    """Tell that the rank could not load these experts."""

    experts: tuple[ExpertId, ...]
    code: ResultCode


class DropWeights(Struct, frozen=True, array_like=True, tag=75):
    """Order the rank to free the slots of experts that no map in use or prepared needs."""

    experts: tuple[ExpertId, ...]


class LinkTest(Struct, frozen=True, array_like=True, tag=77):
    """Test the connection to a control replica."""


class LinkTested(Struct, frozen=True, array_like=True, tag=78):
    """Answer a test of the connection."""


ToRank = PrepareEpoch | AbortEpoch | Permit | CommittedEpochs
ToCoordinator = Prepared | PrepareRefused | RankReport
# Between the agent of a rank, or a coordinator that asks, and every control replica.
ToReplica = ToCoordinator | QueryEpochs | LinkTest
FromReplica = ToRank | LinkTested
