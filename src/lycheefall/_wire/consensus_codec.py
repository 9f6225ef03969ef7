"""Encoders and decoders for messages between control replicas and for their storage."""

import struct
from collections.abc import Callable, Iterator, Mapping
from itertools import islice
from typing import Any

import msgspec

from lycheefall._core.messages.consensus import ReplicaId, Snapshot, ToPeer, WriteBatch
from lycheefall._rules.replicated.claims import ClaimsState
from lycheefall._rules.replicated.machine import Machine
from lycheefall._wire.codec import encode

# Items of a mapping in one chunk, which is encoded without a pause for the event loop. Encoding a
# claim takes about half a microsecond.
CHUNK_ITEMS = 500
# Header of a MessagePack map 32: the tag and the number of items.
_MAP_HEADER = struct.Struct(">BI")
_MAP_TAG = 0xDF


def _decoder(type_: Any) -> Callable[[bytes], Any]:
    return msgspec.msgpack.Decoder(type_).decode


decode_to_peer: Callable[[bytes], ToPeer] = _decoder(ToPeer)
decode_batch: Callable[[bytes], WriteBatch] = _decoder(WriteBatch)
decode_snapshot: Callable[[bytes], Snapshot] = _decoder(Snapshot)
decode_identity: Callable[[bytes], ReplicaId] = _decoder(ReplicaId)
decode_machine: Callable[[bytes], Machine] = _decoder(Machine)


def encode_machine_chunks(machine: Machine) -> Iterator[bytes]:
    """Yield the encoding of a state machine in chunks; it must not change meanwhile."""
    yield _map_header(len(machine.__struct_fields__))
    for name in machine.__struct_fields__:
        yield encode(name)
        value = getattr(machine, name)
        match value:
            case ClaimsState():
                yield from _encode_claims_chunks(value)
            case dict():
                yield from _encode_map_chunks(value)
            case _:
                yield encode(value)


def _encode_claims_chunks(state: ClaimsState) -> Iterator[bytes]:
    yield _map_header(len(state.__struct_fields__))
    for name in state.__struct_fields__:
        yield encode(name)
        value = getattr(state, name)
        if value is state.claims:
            yield _map_header(len(state.claims))
            for team, claims in state.claims.items():
                yield encode(team)
                yield from _encode_map_chunks(claims)
        elif value is state.buckets:
            # A bucket holds all keys of one minute, so it is a chunk of its own.
            yield from _encode_map_chunks(state.buckets, items=1)
        else:
            yield encode(value)


def _encode_map_chunks(values: Mapping[Any, Any], items: int = CHUNK_ITEMS) -> Iterator[bytes]:
    yield _map_header(len(values))
    remaining = iter(values.items())
    while chunk := dict(islice(remaining, items)):
        # Strip the header of the chunk, which has 1 byte below 16 items and 3 below 65,536.
        yield encode(chunk)[1 if len(chunk) < 16 else 3 :]


def _map_header(size: int) -> bytes:
    return _MAP_HEADER.pack(_MAP_TAG, size)
