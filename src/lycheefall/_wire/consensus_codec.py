"""Encoders and decoders between control replicas and for their disks."""

import struct
from collections.abc import Callable, Iterator, Mapping
from itertools import islice
from typing import Any

import msgspec

from lycheefall._core.messages.consensus import ReplicaId, Snapshot, ToPeer, WriteBatch
from lycheefall._rules.replicated.claims import ClaimsState
from lycheefall._rules.replicated.machine import Machine
from lycheefall._wire.codec import encode

# Items of a mapping that are encoded at a time; a claim takes about half a microsecond.
CHUNK_ITEMS = 500
# Header of a mapping in MessagePack, with the number of items.
_MAP = struct.Struct(">BI")
_MAP_TAG = 0xDF


def _decoder(type_: Any) -> Callable[[bytes], Any]:
    return msgspec.msgpack.Decoder(type_).decode


decode_to_peer: Callable[[bytes], ToPeer] = _decoder(ToPeer)
decode_batch: Callable[[bytes], WriteBatch] = _decoder(WriteBatch)
decode_snapshot: Callable[[bytes], Snapshot] = _decoder(Snapshot)
decode_identity: Callable[[bytes], ReplicaId] = _decoder(ReplicaId)
decode_machine: Callable[[bytes], Machine] = _decoder(Machine)


def encode_machine_chunks(machine: Machine) -> Iterator[bytes]:
    """Return the encoding of a state machine in small parts, which must not change meanwhile."""
    yield _map_header(len(machine.__struct_fields__))
    for name in machine.__struct_fields__:
        yield encode(name)
        value = getattr(machine, name)
        match value:
            case ClaimsState():
                yield from _claims_parts(value)
            case dict():
                yield from _map_parts(value)
            case _:
                yield encode(value)


def _claims_parts(state: ClaimsState) -> Iterator[bytes]:
    yield _map_header(len(state.__struct_fields__))
    for name in state.__struct_fields__:
        yield encode(name)
        value = getattr(state, name)
        if value is state.claims:
            yield _map_header(len(state.claims))
            for team, claims in state.claims.items():
                yield encode(team)
                yield from _map_parts(claims)
        elif value is state.buckets:
            yield from _map_parts(state.buckets, items=1)
        else:
            yield encode(value)


def _map_parts(values: Mapping[Any, Any], items: int = CHUNK_ITEMS) -> Iterator[bytes]:
    yield _map_header(len(values))
    rest = iter(values.items())
    while part := dict(islice(rest, items)):
        # Without its own header, which has 1 byte below 16 items and 3 below 65,536.
        yield encode(part)[1 if len(part) < 16 else 3 :]


def _map_header(size: int) -> bytes:
    return _MAP.pack(_MAP_TAG, size)
