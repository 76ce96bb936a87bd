"""Hash a request by the fields that determine what an engine computes."""

from __future__ import annotations

from hashlib import blake2b

import msgspec

from bronzeline_kernel.generation.messages import GenerationSpec

__all__ = ["request_hash"]

HASH_BYTES = 12


def request_hash(spec: GenerationSpec) -> str:
    """Return a hash that is the same for a request and its retries."""
    parts = [
        spec.workspace,
        spec.service,
        spec.model,
        spec.adapter,
        spec.prompt,
        spec.sampling_seed,
        spec.temperature,
    ]
    packed = msgspec.msgpack.encode(parts)
    return blake2b(packed, digest_size=HASH_BYTES).hexdigest()
