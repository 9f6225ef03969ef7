"""Coordination filter: runs a coordinator for each group of the configuration in force.

Every replica runs one for each group; only the coordinator with the lease of the group acts.
"""

import asyncio
from collections.abc import Callable
from uuid import uuid4

from msgspec import Struct, field

from lycheefall._control import group_coordinator
from lycheefall._control.client import new_client, run_client
from lycheefall._control.group_coordinator import Propose, run_coordinator
from lycheefall._control.messages import FromRank, GroupsChanged, ToCoordination
from lycheefall._core.configuration import Group
from lycheefall._core.ids import Address, GroupId, Incarnation, RankId
from lycheefall._core.messages.control import Changes
from lycheefall._core.messages.groups import CommittedEpochs, QueryEpochs, ToRank
from lycheefall._core.pipeline import Inbox
from lycheefall._rules import group_state
from lycheefall._rules.placement import PlacementLimits
from lycheefall._wire.replica_links import (
    ReplicaLinks,
    add_replica,
    connect_replicas,
    run_links,
    send_to_all,
)

COORDINATOR_INBOX_MESSAGES = 10_000

SendToPeer = Callable[[bytes, ToRank], None]


class RunningCoordinator(Struct, eq=False):
    """The coordinator of a group, and the connections that its ranks last used."""

    group: Group
    holder: Incarnation
    inbox: Inbox[group_coordinator.Input]
    peers: dict[RankId, bytes] = field(default_factory=dict)
    task: asyncio.Task[None] | None = None


class CoordinatorSinks(Struct, frozen=True):
    """Destinations of the messages and commands of coordinators."""

    to_peer: SendToPeer
    propose: Propose
    ask: Callable[[QueryEpochs], None]
    plan_period_s: float


async def run_coordination(
    inbox: Inbox[ToCoordination],
    addresses: tuple[Address, ...],
    to_peer: SendToPeer,
    plan_period_s: float,
) -> None:
    """Own the coordinators of all groups until cancelled.

    Commands go through a control client, and queries to every replica at `addresses`, so that a
    coordinator works on any replica and not only on the leader. `plan_period_s` is the interval
    between placement plans, in seconds.
    """
    client = new_client()
    coordinators: dict[GroupId, RunningCoordinator] = {}
    links = connect_replicas(addresses, lambda message: _offer_epochs(inbox, message))
    sinks = CoordinatorSinks(
        to_peer, client.propose, lambda query: send_to_all(links, query), plan_period_s
    )
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(run_client(client, addresses, _changes_handler(inbox, links)))
        tasks.create_task(run_links(links))
        while True:
            for message in await inbox.drain():
                _on_message(coordinators, message, sinks, tasks)


def _offer_epochs(inbox: Inbox[ToCoordination], message: ToRank) -> None:
    if isinstance(message, CommittedEpochs):
        inbox.offer(message)


def _changes_handler(
    inbox: Inbox[ToCoordination], links: ReplicaLinks
) -> Callable[[Changes], bool]:
    def on_changes(changes: Changes) -> bool:
        if changes.leader is not None:
            add_replica(links, changes.leader)
        if changes.configuration is None:
            return True
        return inbox.offer(GroupsChanged(changes.configuration.groups))

    return on_changes


def _on_message(
    coordinators: dict[GroupId, RunningCoordinator],
    message: ToCoordination,
    sinks: CoordinatorSinks,
    tasks: asyncio.TaskGroup,
) -> None:
    match message:
        case GroupsChanged():
            _update_coordinators(coordinators, message.groups, sinks, tasks)
        case FromRank():
            _forward_from_rank(coordinators, message)
        case CommittedEpochs():
            coordinator = coordinators.get(message.group)
            if coordinator is not None and coordinator.holder == message.requester:
                coordinator.inbox.offer(message)


def _forward_from_rank(coordinators: dict[GroupId, RunningCoordinator], received: FromRank) -> None:
    message = received.message
    coordinator = coordinators.get(message.group)
    if coordinator is None or not 0 <= message.rank < coordinator.group.ranks:
        return
    coordinator.peers[message.rank] = received.peer
    coordinator.inbox.offer(message)


def _update_coordinators(
    coordinators: dict[GroupId, RunningCoordinator],
    groups: tuple[Group, ...],
    sinks: CoordinatorSinks,
    tasks: asyncio.TaskGroup,
) -> None:
    """Start coordinators for new groups, stop those of removed groups, and restart changed ones."""
    configured = {each.name: each for each in groups}
    for name, each in list(coordinators.items()):
        if configured.get(name) != each.group:
            del coordinators[name]
            if each.task is not None:
                each.task.cancel()
    for name, group in configured.items():
        if name not in coordinators:
            coordinators[name] = _start_coordinator(group, sinks, tasks)


def _start_coordinator(
    group: Group, sinks: CoordinatorSinks, tasks: asyncio.TaskGroup
) -> RunningCoordinator:
    # A new holder id per start, so that a coordinator never acts on a lease of its predecessor.
    coordinator = RunningCoordinator(
        group, Incarnation(uuid4().hex), Inbox(COORDINATOR_INBOX_MESSAGES)
    )
    protocol = group_state.initial(group.name, coordinator.holder, group.ranks, group.fence)
    state = group_coordinator.initial(protocol, _limits(group), sinks.plan_period_s)

    def send(rank: RankId, message: ToRank) -> None:
        peer = coordinator.peers.get(rank)
        if peer is not None:
            sinks.to_peer(peer, message)

    coordinator_loop = run_coordinator(
        coordinator.inbox, state, send=send, propose=sinks.propose, ask=sinks.ask
    )
    coordinator.task = tasks.create_task(coordinator_loop)
    return coordinator


def _limits(group: Group) -> PlacementLimits:
    return PlacementLimits(
        group.ranks,
        group.experts,
        group.slots_per_rank,
        group.expert_bytes,
        group.store_bytes_per_s,
    )
