"""How one platform writes what callers, upstreams and operators send.

An adapter fills these in; nothing else knows the names of a platform.
"""

from collections.abc import Callable

from msgspec import Struct

from lycheefall._core.expert_maps import ExpertCounts, LoadedExperts, RankOrder, RankStatus
from lycheefall._core.ids import Address, UpstreamId
from lycheefall._core.relay import RelayConfiguration, UpstreamRecord

HeaderName = bytes


class HeaderNames(Struct, frozen=True, kw_only=True):
    """Names of headers, in the case in which they are sent."""

    attempt: HeaderName
    deadline_ms: HeaderName
    key: HeaderName
    team: HeaderName
    expected_upstream: HeaderName
    # Proves that an answer is an upstream's own.
    seal: HeaderName
    not_run: HeaderName
    rank: HeaderName
    last_event_id: HeaderName
    retry_after: HeaderName


class EndpointPaths(Struct, frozen=True, kw_only=True):
    """Paths of the calls that the system answers itself."""

    ready: str
    directory: str
    # Followed by the id of the upstream.
    upstreams: str
    file: str


class RankEndpoints(Struct, frozen=True, kw_only=True):
    """How the ranks of a group are asked and ordered."""

    status: str
    counts: str
    experts: str
    orders: str
    # They raise RequestRefused.
    decode_status: Callable[[bytes], RankStatus]
    # Takes the number of sets.
    decode_counts: Callable[[bytes, int], ExpertCounts]
    decode_loaded_experts: Callable[[bytes], LoadedExperts]
    encode_order: Callable[[RankOrder], bytes]


class Dialect(Struct, frozen=True, kw_only=True):
    """A platform's names and forms."""

    headers: HeaderNames
    endpoints: EndpointPaths
    # Raises FileRefused.
    decode_file: Callable[[bytes], RelayConfiguration]
    # Raises AnnouncementRefused.
    decode_announcement: Callable[[UpstreamId, bytes], UpstreamRecord]
    # The start of the upstream that leaves, 0 where the body does not tell.
    decode_departure: Callable[[bytes], int]
    encode_directory: Callable[[tuple[Address, ...], float], bytes]
    encode_error: Callable[[str], bytes]
    ranks: RankEndpoints
