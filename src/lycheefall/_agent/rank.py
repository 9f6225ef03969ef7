"""Join the parts of an agent that serve a rank of a group."""

import asyncio

from lycheefall._agent.group import StepReply, run_group_filter
from lycheefall._agent.rank_http import ANSWERS, serve_steps
from lycheefall._agent.rank_orders import Order, loader, run_orders
from lycheefall._agent.settings import AgentSettings, RankSettings
from lycheefall._core.ids import Incarnation
from lycheefall._core.messages.groups import DropWeights, ToRank
from lycheefall._core.pipeline import Inbox
from lycheefall._rules import rank_steps
from lycheefall._rules.rank_steps import RankInput
from lycheefall._wire.replica_links import connect_replicas, run_links, send_to_all

RANK_INBOX_MESSAGES = 1_000
ORDER_INBOX_MESSAGES = 1_000


async def run_rank_of(settings: AgentSettings, incarnation: Incarnation) -> None:
    """Serve the rank that the settings name, or wait until cancelled if they name none."""
    if settings.rank is None:
        await asyncio.Event().wait()
    else:
        await run_rank(settings, settings.rank, incarnation)


async def run_rank(settings: AgentSettings, member: RankSettings, incarnation: Incarnation) -> None:
    """Serve a rank until cancelled; raise PortInUse if its address is taken."""
    inbox: Inbox[RankInput] = Inbox(RANK_INBOX_MESSAGES)
    answers: Inbox[StepReply] = Inbox(ANSWERS)
    orders: Inbox[Order] = Inbox(ORDER_INBOX_MESSAGES)

    def receive(message: ToRank) -> None:
        if message.group == member.group:
            inbox.offer(message)

    links = connect_replicas(settings.control, receive)
    # The weights that the engine holds from the agent's run before are ordered again.
    state = rank_steps.initial(member.group, member.rank, incarnation, frozenset())
    filtering = run_group_filter(
        inbox,
        state,
        send=lambda message: send_to_all(links, message),
        ask=lambda message: send_to_all(links, message),
        load=loader(orders),
        drop=lambda order: _drop(orders, order),
        reply=lambda result: _answer(answers, result),
    )
    async with serve_steps(member.listen, inbox, answers), asyncio.TaskGroup() as tasks:
        tasks.create_task(run_links(links))
        tasks.create_task(run_orders(orders, settings.upstream_address))
        tasks.create_task(filtering)


def _drop(orders: Inbox[Order], order: DropWeights) -> None:
    orders.offer(order)


def _answer(answers: Inbox[StepReply], result: StepReply) -> None:
    # The runtime of a full inbox has given up its requests, and asks again.
    answers.offer(result)
