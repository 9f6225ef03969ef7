"""Encoders and decoders between control replicas and for their disks."""

from collections.abc import Callable
from typing import Any

import msgspec

from lycheefall._core.messages.consensus import Batch, ReplicaId, Snapshot, ToPeer
from lycheefall._rules.replicated.machine import Machine


def _decoder(type_: Any) -> Callable[[bytes], Any]:
    return msgspec.msgpack.Decoder(type_).decode


decode_to_peer: Callable[[bytes], ToPeer] = _decoder(ToPeer)
decode_batch: Callable[[bytes], Batch] = _decoder(Batch)
decode_snapshot: Callable[[bytes], Snapshot] = _decoder(Snapshot)
decode_identity: Callable[[bytes], ReplicaId] = _decoder(ReplicaId)
decode_machine: Callable[[bytes], Machine] = _decoder(Machine)
