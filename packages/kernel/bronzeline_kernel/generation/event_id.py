"""Encode and decode the event ids that callers send to reconnect."""

from __future__ import annotations

from base64 import urlsafe_b64decode, urlsafe_b64encode
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from hmac import compare_digest

import msgspec
from xxhash import xxh64

__all__ = ["EventHints", "EventIdCodec", "ReadEventId", "request_key", "text_digest"]

MAC_BYTES = 8
KEY_BYTES = 12
MAX_SECRET_BYTES = 64


@dataclass(frozen=True)
class EventHints:
    """Hold where a generation runs and which routers hold its tokens."""

    generation_id: str
    request_key: str
    attempt: int
    fence: int
    upstream_id: str
    version: str
    owner_id: str
    holder_id: str


@dataclass(frozen=True)
class ReadEventId:
    """Hold a decoded event id: hints, token index and digest of the text so far."""

    hints: EventHints
    index: int
    digest: str


class EventIdCodec:
    """Encode hints with a MAC, so that only ids issued by this fleet are accepted."""

    def __init__(self, secret: str) -> None:
        self._secret = secret.encode()[:MAX_SECRET_BYTES]

    def prefix(self, hints: EventHints) -> str:
        """Return the part of an event id before the token index and the digest."""
        values = [getattr(hints, name) for name in EventHints.__dataclass_fields__]
        payload = msgspec.msgpack.encode(values)
        return _encode(payload) + "." + _encode(self._mac(payload)) + "."

    def read(self, event_id: str) -> ReadEventId | None:
        """Decode an event id; return None if it is malformed or its MAC is wrong."""
        try:
            encoded, mac, index, digest = event_id.split(".")
            payload = _decode(encoded)
            if not compare_digest(_decode(mac), self._mac(payload)):
                return None
            hints = EventHints(*msgspec.msgpack.decode(payload))
            return ReadEventId(hints, int(index), digest)
        except (ValueError, TypeError, msgspec.DecodeError):
            return None

    def _mac(self, payload: bytes) -> bytes:
        return blake2b(payload, key=self._secret, digest_size=MAC_BYTES).digest()


def text_digest(tokens: Iterable[str]) -> str:
    """Return the digest of the text so far, as event ids carry it."""
    digest = xxh64()
    for token in tokens:
        digest.update(token.encode())
    return str(digest.hexdigest())


def request_key(workspace: str, idempotency_key: str, body: tuple[object, ...]) -> str:
    """Return a key unique to a workspace, an idempotency key and a request body."""
    packed = msgspec.msgpack.encode([workspace, idempotency_key, *body])
    return blake2b(packed, digest_size=KEY_BYTES).hexdigest()


def _encode(data: bytes) -> str:
    return urlsafe_b64encode(data).decode().rstrip("=")


def _decode(text: str) -> bytes:
    return urlsafe_b64decode(text + "=" * (-len(text) % 4))
