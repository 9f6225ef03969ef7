"""Weighted fair queueing by team, with costs in tokens.

Start-time fair queueing: P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing: A Scheduling
Algorithm for Integrated Services Packet Switching Networks", SIGCOMM 1996. Requests are served in
the order of their start tags, so their cost can be corrected after they have run.
"""

from collections import OrderedDict
from heapq import heapify, heappop, heappush

from lycheefall._core.ids import RequestId, TeamId

_NOT_QUEUED = 0
# Stale heap entries are removed when a heap exceeds twice the lanes by this many entries.
_STALE_ENTRIES = 64


class Lane:
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
        # Identifies the only valid entry of this lane in the heap of start tags.
        self.entry_id = _NOT_QUEUED
        # Weighted length of the lane's current entry in the heap of longest lanes.
        self.indexed_length = 0.0


class FairQueue:
    """Lanes of all teams and the virtual time of the scheduler."""

    __slots__ = (
        "active_weight",
        "backlog_tokens",
        "by_length",
        "by_start",
        "lanes",
        "last_entry_id",
        "length",
        "virtual_time",
    )

    def __init__(self) -> None:
        self.lanes: dict[TeamId, Lane] = {}
        self.by_start: list[tuple[float, int, Lane]] = []
        self.by_length: list[tuple[float, int, Lane]] = []
        self.virtual_time = 0.0
        self.last_entry_id = _NOT_QUEUED
        self.length = 0
        self.backlog_tokens = 0.0
        self.active_weight = 0.0


def add(queue: FairQueue, team: TeamId, weight: float, request: RequestId, tokens: float) -> None:
    """Append a request to its team's lane; the request id must not be queued already."""
    lane = queue.lanes.get(team)
    if lane is None:
        lane = queue.lanes[team] = Lane(team, weight)
    if not lane.requests:
        lane.weight = weight
        _activate(queue, lane)
    elif weight != lane.weight:
        queue.active_weight += weight - lane.weight
        lane.weight = weight
        lane.indexed_length = 0.0
    lane.requests[request] = tokens
    lane.backlog_tokens += tokens
    queue.backlog_tokens += tokens
    queue.length += 1
    _index_length(queue, lane)


def take(queue: FairQueue) -> RequestId | None:
    """Remove and return the request with the lowest start tag, or None when empty."""
    lane = _first(queue)
    if lane is None:
        return None
    heappop(queue.by_start)
    request, tokens = lane.requests.popitem(last=False)
    queue.virtual_time = lane.start
    charged_tokens = max(0.0, tokens + lane.debt_tokens)
    lane.debt_tokens += tokens - charged_tokens
    lane.finish = lane.start + charged_tokens / lane.weight
    _subtract_tokens(queue, lane, tokens)
    if lane.requests:
        _queue_by_start(queue, lane, lane.finish)
    return request


def remove(queue: FairQueue, team: TeamId, request: RequestId) -> bool:
    """Remove a cancelled or expired request without a charge; return whether it was queued."""
    lane = queue.lanes.get(team)
    tokens = None if lane is None else lane.requests.pop(request, None)
    if lane is None or tokens is None:
        return False
    _subtract_tokens(queue, lane, tokens)
    return True


def charge(queue: FairQueue, team: TeamId, tokens: float) -> None:
    """Charge a team the difference between a request's actual and estimated cost in tokens."""
    lane = queue.lanes.get(team)
    if lane is not None:
        lane.debt_tokens += tokens


def longest_lane(queue: FairQueue) -> Lane | None:
    """Return the lane with the most requests per unit of weight, or None when all are empty."""
    heap = queue.by_length
    while heap:
        negative_length, _, lane = heap[0]
        length = len(lane.requests) / lane.weight
        if -negative_length == lane.indexed_length == length and length > 0.0:
            return lane
        heappop(heap)
        # This was the lane's newest entry: add one with the current length.
        if -negative_length == lane.indexed_length:
            lane.indexed_length = 0.0
            _index_length(queue, lane)
    return None


def newest(lane: Lane) -> RequestId:
    """Return the request that was added to the lane last."""
    return next(reversed(lane.requests))


def tokens_ahead(queue: FairQueue, team: TeamId, weight: float, tokens: float) -> float:
    """Estimate the tokens served up to the end of a new request of this team.

    Each team is served at its fair share, so a short lane doesn't wait for a long one.
    """
    lane = queue.lanes.get(team)
    if _would_be_next(queue, lane):
        return tokens
    own_tokens = tokens
    active_weight = queue.active_weight
    if lane is not None and lane.requests:
        own_tokens += lane.backlog_tokens
    else:
        active_weight += weight
    at_fair_share = own_tokens * active_weight / weight
    return min(queue.backlog_tokens + tokens, at_fair_share)


def _would_be_next(queue: FairQueue, lane: Lane | None) -> bool:
    """Return whether a new request of an idle team starts before all queued requests."""
    if lane is not None and lane.requests:
        return False
    first = _first(queue)
    start = queue.virtual_time if lane is None else _start_of_idle(queue, lane)
    return first is None or start < first.start


def _start_of_idle(queue: FairQueue, lane: Lane) -> float:
    # The virtual time is the lower bound of the start tag: an idle team accumulates no credit.
    return max(queue.virtual_time, lane.finish + lane.debt_tokens / lane.weight)


def _activate(queue: FairQueue, lane: Lane) -> None:
    start = _start_of_idle(queue, lane)
    lane.debt_tokens = 0.0
    queue.active_weight += lane.weight
    _queue_by_start(queue, lane, start)


def _queue_by_start(queue: FairQueue, lane: Lane, start: float) -> None:
    lane.start = max(queue.virtual_time, start)
    queue.last_entry_id += 1
    lane.entry_id = queue.last_entry_id
    heappush(queue.by_start, (lane.start, lane.entry_id, lane))
    if len(queue.by_start) > 2 * len(queue.lanes) + _STALE_ENTRIES:
        queue.by_start = [entry for entry in queue.by_start if entry[2].entry_id == entry[1]]
        heapify(queue.by_start)


def _first(queue: FairQueue) -> Lane | None:
    heap = queue.by_start
    while heap:
        _, entry_id, lane = heap[0]
        if lane.entry_id == entry_id:
            return lane
        heappop(heap)
    return None


def _subtract_tokens(queue: FairQueue, lane: Lane, tokens: float) -> None:
    lane.backlog_tokens -= tokens
    queue.backlog_tokens -= tokens
    queue.length -= 1
    if lane.requests:
        return
    lane.entry_id = _NOT_QUEUED
    lane.backlog_tokens = 0.0
    queue.active_weight -= lane.weight
    if queue.length == 0:
        # Resets the rounding errors of the sums at the end of each busy period.
        queue.backlog_tokens = 0.0
        queue.active_weight = 0.0


def _index_length(queue: FairQueue, lane: Lane) -> None:
    length = len(lane.requests) / lane.weight
    if length <= lane.indexed_length:
        return
    lane.indexed_length = length
    queue.last_entry_id += 1
    heappush(queue.by_length, (-length, queue.last_entry_id, lane))
    if len(queue.by_length) > 2 * len(queue.lanes) + _STALE_ENTRIES:
        queue.by_length = [
            entry for entry in queue.by_length if -entry[0] == entry[2].indexed_length
        ]
        heapify(queue.by_length)
