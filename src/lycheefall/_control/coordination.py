"""Runs a coordinator for each group of the configuration in force.

Every replica runs one; the lease of the group decides which of them acts.
"""

import asyncio
from collections.abc import Callable
from uuid import uuid4

from msgspec import Struct, field

from lycheefall._control import group_coordinator
from lycheefall._control.client import new_client, run_client
from lycheefall._control.group_coordinator import Propose, run_coordinator
from lycheefall._control.messages import FromRank, GroupsSeen, ToCoordination
from lycheefall._core.configuration import Group
from lycheefall._core.ids import Address, GroupId, Incarnation, RankId
from lycheefall._core.messages.control import Changes
from lycheefall._core.messages.groups import CommittedEpochs, QueryEpochs, ToRank
from lycheefall._core.pipeline import Inbox
from lycheefall._rules import group_state
from lycheefall._rules.placement import Limits
from lycheefall._wire.replica_links import (
    ReplicaLinks,
    add_replica,
    connect_replicas,
    run_links,
    send_to_all,
)

COORDINATOR_INBOX_MESSAGES = 10_000

SendToPeer = Callable[[bytes, ToRank], None]


class Running(Struct, eq=False):
    """The coordinator of a group, and the connections over which its ranks were heard last."""

    group: Group
    holder: Incarnation
    inbox: Inbox[group_coordinator.Input]
    peers: dict[RankId, bytes] = field(default_factory=dict)
    task: asyncio.Task[None] | None = None


class Outlets(Struct, frozen=True):
    """Where coordinators send."""

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

    Commands go through a control client and questions to every replica at `addresses`, so that
    a coordinator works at any replica and not only at the leader.
    """
    client = new_client()
    running: dict[GroupId, Running] = {}
    links = connect_replicas(addresses, lambda message: _offer_epochs(inbox, message))
    outlets = Outlets(
        to_peer, client.propose, lambda question: send_to_all(links, question), plan_period_s
    )
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(run_client(client, addresses, _on_changes(inbox, links)))
        tasks.create_task(run_links(links))
        while True:
            for message in await inbox.drain():
                _take(running, message, outlets, tasks)


def _offer_epochs(inbox: Inbox[ToCoordination], message: ToRank) -> None:
    if isinstance(message, CommittedEpochs):
        inbox.offer(message)


def _on_changes(inbox: Inbox[ToCoordination], links: ReplicaLinks) -> Callable[[Changes], bool]:
    def on_changes(changes: Changes) -> bool:
        if changes.leader is not None:
            add_replica(links, changes.leader)
        if changes.configuration is None:
            return True
        return inbox.offer(GroupsSeen(changes.configuration.groups))

    return on_changes


def _take(
    running: dict[GroupId, Running],
    message: ToCoordination,
    outlets: Outlets,
    tasks: asyncio.TaskGroup,
) -> None:
    match message:
        case GroupsSeen():
            _replace_changed(running, message.groups, outlets, tasks)
        case FromRank():
            _pass_on(running, message)
        case CommittedEpochs():
            asked = running.get(message.group)
            if asked is not None and asked.holder == message.requester:
                asked.inbox.offer(message)


def _pass_on(running: dict[GroupId, Running], received: FromRank) -> None:
    message = received.message
    coordinator = running.get(message.group)
    if coordinator is None or not 0 <= message.rank < coordinator.group.ranks:
        return
    coordinator.peers[message.rank] = received.peer
    coordinator.inbox.offer(message)


def _replace_changed(
    running: dict[GroupId, Running],
    groups: tuple[Group, ...],
    outlets: Outlets,
    tasks: asyncio.TaskGroup,
) -> None:
    """Start the coordinators of new groups, and end those of removed or changed ones."""
    wanted = {each.name: each for each in groups}
    for name, each in list(running.items()):
        if wanted.get(name) != each.group:
            del running[name]
            if each.task is not None:
                each.task.cancel()
    for name, group in wanted.items():
        if name not in running:
            running[name] = _start(group, outlets, tasks)


def _start(group: Group, outlets: Outlets, tasks: asyncio.TaskGroup) -> Running:
    # A new holder never acts on a lease that the one before it took.
    started = Running(group, Incarnation(uuid4().hex), Inbox(COORDINATOR_INBOX_MESSAGES))
    protocol = group_state.initial(group.name, started.holder, group.ranks, group.fence)
    state = group_coordinator.initial(protocol, _limits(group), outlets.plan_period_s)

    def send(rank: RankId, message: ToRank) -> None:
        peer = started.peers.get(rank)
        if peer is not None:
            outlets.to_peer(peer, message)

    coordinating = run_coordinator(
        started.inbox, state, send=send, propose=outlets.propose, ask=outlets.ask
    )
    started.task = tasks.create_task(coordinating)
    return started


def _limits(group: Group) -> Limits:
    return Limits(
        group.ranks,
        group.experts,
        group.slots_per_rank,
        group.expert_bytes,
        group.store_bytes_per_s,
    )
