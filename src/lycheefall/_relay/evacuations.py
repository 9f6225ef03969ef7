"""Put evacuations into force at an entry."""

from lycheefall._core.evacuations import UNKNOWN_VERSION
from lycheefall._core.events import Event
from lycheefall._core.log import log
from lycheefall._core.messages.relay import ReplicaUpdate
from lycheefall._operate.exposition import EVACUATED_DATA_CENTRES
from lycheefall._rules import dispatching, evacuation
from lycheefall._rules.dispatch_messages import Output, Refuse
from lycheefall._rules.dispatch_state import DispatchState
from lycheefall._rules.record_table import RecordTable


def version_in_force(state: DispatchState) -> int:
    """Return the version of the evacuations in force."""
    return UNKNOWN_VERSION if state.evacuations is None else state.evacuations.version


def put_in_force(
    state: DispatchState, table: RecordTable, update: ReplicaUpdate, now_s: float
) -> list[Output]:
    """Put the evacuations of an update into force, unless later ones already are."""
    told = update.evacuations
    if told is None or told.version <= version_in_force(state):
        return []
    outputs = dispatching.apply_evacuations(state, told, table, now_s)
    log(
        Event.EVACUATIONS_IN_FORCE,
        version=told.version,
        data_centres=told.data_centres,
        replica=update.replica,
        upstreams=sum(len(pool.evacuated) for pool in state.pools.values()),
        refused=sum(isinstance(each, Refuse) for each in outputs),
    )
    for name, pool in state.pools.items():
        if evacuation.is_evacuated(pool):
            log(Event.ALL_UPSTREAMS_EVACUATED, pool=name, data_centres=told.data_centres)
    EVACUATED_DATA_CENTRES.set(len(told.data_centres))
    return outputs
