"""Tell whether two requests are the same one, sent again."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from bronzeline_kernel.forwarding.messages import CallerRequest
from bronzeline_kernel.forwarding.route_table import host_name

__all__ = ["RequestIdentity", "identify"]

HASH_BYTES = 12


@dataclass(frozen=True)
class RequestIdentity:
    """Hold by what a request is known when it comes again, under another id.

    `run_hash` covers all that may change where it runs or what the caller gets, so
    that one request never goes on from the run of another one. `work_hash` leaves out
    the headers that do not change what an engine reads, so that a request that crashes
    engines is known also if its caller alters them.
    """

    run_hash: str
    work_hash: str


def identify(request: CallerRequest) -> RequestIdentity:
    """Return the identity of a request, the same each time it is sent."""
    work = (
        request.method,
        host_name(request.host),
        request.target,
        request.key or "",
        request.model,
        request.prompt_parts,
    )
    headers = sorted((name.lower(), value) for name, value in request.stable_headers)
    return RequestIdentity(
        _hash((*work, headers), request.body), _hash(work, request.body)
    )


def _hash(fields: tuple[object, ...], body: bytes) -> str:
    digest = blake2b(msgspec.msgpack.encode(fields), digest_size=HASH_BYTES)
    digest.update(body)
    return digest.hexdigest()
