"""Assembly of the filters of an agent that serve a rank of a group."""

import asyncio

from lycheefall._agent.group import StepReply, run_group_filter
from lycheefall._agent.rank_http import REPLY_INBOX_MESSAGES, serve_step_api
from lycheefall._agent.settings import AgentSettings, RankSettings
from lycheefall._agent.weight_commands import WeightCommand, run_commands, weight_loader
from lycheefall._core.ids import Incarnation
from lycheefall._core.messages.groups import DropWeights, ToRank
from lycheefall._core.pipeline import Inbox
from lycheefall._rules import rank_steps
from lycheefall._rules.rank_steps import RankInput
from lycheefall._wire.replica_links import connect_replicas, run_links, send_to_all

RANK_INBOX_MESSAGES = 1_000
COMMAND_INBOX_MESSAGES = 1_000


async def run_rank_if_configured(settings: AgentSettings, incarnation: Incarnation) -> None:
    """Serve the rank in the settings until cancelled; only wait if the settings have none."""
    if settings.rank is None:
        await asyncio.Event().wait()
    else:
        await run_rank(settings, settings.rank, incarnation)


async def run_rank(
    settings: AgentSettings, rank_settings: RankSettings, incarnation: Incarnation
) -> None:
    """Serve a rank until cancelled; raise PortInUse if its address is in use."""
    inbox: Inbox[RankInput] = Inbox(RANK_INBOX_MESSAGES)
    replies: Inbox[StepReply] = Inbox(REPLY_INBOX_MESSAGES)
    commands: Inbox[WeightCommand] = Inbox(COMMAND_INBOX_MESSAGES)

    def receive(message: ToRank) -> None:
        if message.group == rank_settings.group:
            inbox.offer(message)

    links = connect_replicas(settings.control, receive)
    # Start without experts: weights that the engine holds from before a restart are loaded again.
    state = rank_steps.initial(rank_settings.group, rank_settings.rank, incarnation, frozenset())
    group_filter = run_group_filter(
        inbox,
        state,
        send=lambda message: send_to_all(links, message),
        ask=lambda message: send_to_all(links, message),
        load=weight_loader(commands),
        drop=lambda command: _offer_drop(commands, command),
        reply=lambda result: _offer_reply(replies, result),
    )
    async with serve_step_api(rank_settings.listen, inbox, replies), asyncio.TaskGroup() as tasks:
        tasks.create_task(run_links(links))
        tasks.create_task(run_commands(commands, settings.upstream_address))
        tasks.create_task(group_filter)


def _offer_drop(commands: Inbox[WeightCommand], command: DropWeights) -> None:
    commands.offer(command)


def _offer_reply(replies: Inbox[StepReply], result: StepReply) -> None:
    # If the inbox is full, the runtime has abandoned its requests and asks again.
    replies.offer(result)
