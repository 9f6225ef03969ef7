"""Weighted fair queueing by team, with costs in tokens.

Start-time fair queueing: P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing: A Scheduling
Algorithm for Integrated Services Packet Switching Networks", SIGCOMM 1996. Requests are served in
the order of their start tags, so their cost can be corrected after they have run.
"""

from collections import OrderedDict
from heapq import heapify, heappop, heappush

from lycheefall._core.ids import RequestId, TeamId

_NOT_QUEUED = 0
# Stale heap entries are removed when a heap exceeds twice the queues by this many entries.
_STALE_ENTRIES = 64


class TeamQueue:
    """FIFO queue of one team's requests, with the team's start and finish tags."""

    __slots__ = (
        "backlog_tokens",
        "debt_tokens",
        "entry_id",
        "finish",
        "indexed_length",
        "requests",
        "start",
        "team",
        "weight",
    )

    def __init__(self, team: TeamId, weight: float) -> None:
        self.team = team
        self.weight = weight
        self.requests: OrderedDict[RequestId, float] = OrderedDict()
        self.backlog_tokens = 0.0
        # Actual minus estimated cost of finished requests; charged to the next request.
        self.debt_tokens = 0.0
        self.start = 0.0
        self.finish = 0.0
        # Identifies the only valid entry of this queue in the heap of start tags.
        self.entry_id = _NOT_QUEUED
        # Weighted length of the queue's current entry in the heap of longest queues.
        self.indexed_length = 0.0


class FairQueue:
    """Queues of all teams and the virtual time of the scheduler."""

    __slots__ = (
        "active_weight",
        "backlog_tokens",
        "by_length",
        "by_start",
        "last_entry_id",
        "length",
        "team_queues",
        "virtual_time",
    )

    def __init__(self) -> None:
        self.team_queues: dict[TeamId, TeamQueue] = {}
        self.by_start: list[tuple[float, int, TeamQueue]] = []
        self.by_length: list[tuple[float, int, TeamQueue]] = []
        self.virtual_time = 0.0
        self.last_entry_id = _NOT_QUEUED
        self.length = 0
        self.backlog_tokens = 0.0
        self.active_weight = 0.0


def add(queue: FairQueue, team: TeamId, weight: float, request: RequestId, tokens: float) -> None:
    """Append a request to its team's queue; the request id must not be queued already."""
    team_queue = queue.team_queues.get(team)
    if team_queue is None:
        team_queue = queue.team_queues[team] = TeamQueue(team, weight)
    if not team_queue.requests:
        team_queue.weight = weight
        _activate(queue, team_queue)
    elif weight != team_queue.weight:
        queue.active_weight += weight - team_queue.weight
        team_queue.weight = weight
        team_queue.indexed_length = 0.0
    team_queue.requests[request] = tokens
    team_queue.backlog_tokens += tokens
    queue.backlog_tokens += tokens
    queue.length += 1
    _index_length(queue, team_queue)


def take(queue: FairQueue) -> RequestId | None:
    """Remove and return the request with the lowest start tag, or None when empty."""
    team_queue = _first(queue)
    if team_queue is None:
        return None
    heappop(queue.by_start)
    request, tokens = team_queue.requests.popitem(last=False)
    queue.virtual_time = team_queue.start
    charged_tokens = max(0.0, tokens + team_queue.debt_tokens)
    team_queue.debt_tokens += tokens - charged_tokens
    team_queue.finish = team_queue.start + charged_tokens / team_queue.weight
    _subtract_tokens(queue, team_queue, tokens)
    if team_queue.requests:
        _queue_by_start(queue, team_queue, team_queue.finish)
    return request


def remove(queue: FairQueue, team: TeamId, request: RequestId) -> bool:
    """Remove a cancelled or expired request without a charge; return whether it was queued."""
    team_queue = queue.team_queues.get(team)
    tokens = None if team_queue is None else team_queue.requests.pop(request, None)
    if team_queue is None or tokens is None:
        return False
    _subtract_tokens(queue, team_queue, tokens)
    return True


def charge(queue: FairQueue, team: TeamId, tokens: float) -> None:
    """Charge a team the difference between a request's actual and estimated cost in tokens."""
    team_queue = queue.team_queues.get(team)
    if team_queue is not None:
        team_queue.debt_tokens += tokens


def longest_team_queue(queue: FairQueue) -> TeamQueue | None:
    """Return the queue with the most requests per unit of weight, or None when all are empty."""
    heap = queue.by_length
    while heap:
        negative_length, _, team_queue = heap[0]
        length = len(team_queue.requests) / team_queue.weight
        if -negative_length == team_queue.indexed_length == length and length > 0.0:
            return team_queue
        heappop(heap)
        # This was the queue's newest entry: add one with the current length.
        if -negative_length == team_queue.indexed_length:
            team_queue.indexed_length = 0.0
            _index_length(queue, team_queue)
    return None


def newest(team_queue: TeamQueue) -> RequestId:
    """Return the request that was added to the queue last."""
    return next(reversed(team_queue.requests))


def tokens_ahead(queue: FairQueue, team: TeamId, weight: float, tokens: float) -> float:
    """Estimate the tokens served up to the end of a new request of this team.

    Each team is served at its fair share, so a short queue doesn't wait for a long one.
    """
    team_queue = queue.team_queues.get(team)
    if _would_be_next(queue, team_queue):
        return tokens
    own_tokens = tokens
    active_weight = queue.active_weight
    if team_queue is not None and team_queue.requests:
        own_tokens += team_queue.backlog_tokens
    else:
        active_weight += weight
    at_fair_share = own_tokens * active_weight / weight
    return min(queue.backlog_tokens + tokens, at_fair_share)


def _would_be_next(queue: FairQueue, team_queue: TeamQueue | None) -> bool:
    """Return whether a new request of an idle team starts before all queued requests."""
    if team_queue is not None and team_queue.requests:
        return False
    first = _first(queue)
    start = queue.virtual_time if team_queue is None else _start_of_idle(queue, team_queue)
    return first is None or start < first.start


def _start_of_idle(queue: FairQueue, team_queue: TeamQueue) -> float:
    # The virtual time is the lower bound of the start tag: an idle team accumulates no credit.
    return max(queue.virtual_time, team_queue.finish + team_queue.debt_tokens / team_queue.weight)


def _activate(queue: FairQueue, team_queue: TeamQueue) -> None:
    start = _start_of_idle(queue, team_queue)
    team_queue.debt_tokens = 0.0
    queue.active_weight += team_queue.weight
    _queue_by_start(queue, team_queue, start)


def _queue_by_start(queue: FairQueue, team_queue: TeamQueue, start: float) -> None:
    team_queue.start = max(queue.virtual_time, start)
    queue.last_entry_id += 1
    team_queue.entry_id = queue.last_entry_id
    heappush(queue.by_start, (team_queue.start, team_queue.entry_id, team_queue))
    if len(queue.by_start) > 2 * len(queue.team_queues) + _STALE_ENTRIES:
        queue.by_start = [entry for entry in queue.by_start if entry[2].entry_id == entry[1]]
        heapify(queue.by_start)


def _first(queue: FairQueue) -> TeamQueue | None:
    heap = queue.by_start
    while heap:
        _, entry_id, team_queue = heap[0]
        if team_queue.entry_id == entry_id:
            return team_queue
        heappop(heap)
    return None


def _subtract_tokens(queue: FairQueue, team_queue: TeamQueue, tokens: float) -> None:
    team_queue.backlog_tokens -= tokens
    queue.backlog_tokens -= tokens
    queue.length -= 1
    if team_queue.requests:
        return
    team_queue.entry_id = _NOT_QUEUED
    team_queue.backlog_tokens = 0.0
    queue.active_weight -= team_queue.weight
    if queue.length == 0:
        # Resets the rounding errors of the sums at the end of each busy period.
        queue.backlog_tokens = 0.0
        queue.active_weight = 0.0


def _index_length(queue: FairQueue, team_queue: TeamQueue) -> None:
    length = len(team_queue.requests) / team_queue.weight
    if length <= team_queue.indexed_length:
        return
    team_queue.indexed_length = length
    queue.last_entry_id += 1
    heappush(queue.by_length, (-length, queue.last_entry_id, team_queue))
    if len(queue.by_length) > 2 * len(queue.team_queues) + _STALE_ENTRIES:
        queue.by_length = [
            entry for entry in queue.by_length if -entry[0] == entry[2].indexed_length
        ]
        heapify(queue.by_length)
