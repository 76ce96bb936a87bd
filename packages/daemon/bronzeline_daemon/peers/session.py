"""Authenticate the frames of one stream between two routers."""

from __future__ import annotations

import hmac
import secrets
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import msgpack

from bronzeline_daemon.message_codec import PeerMessageError

__all__ = ["FrameAuthenticator", "Hello", "Welcome", "make_nonce", "session_key"]

NONCE_BYTES = 16
MAC_BYTES = 16


@dataclass(frozen=True)
class Hello:
    """Open a stream: who calls, in which incarnation."""

    router_id: str
    incarnation: int
    nonce: bytes


@dataclass(frozen=True)
class Welcome:
    """Answer a hello with proof of the shared key."""

    router_id: str
    incarnation: int
    nonce: bytes
    proof: bytes


def make_nonce() -> bytes:
    """Return fresh random bytes for one session."""
    return secrets.token_bytes(NONCE_BYTES)


def session_key(shared_key: str, hello: Hello, welcome_nonce: bytes) -> bytes:
    """Derive the key of one stream from the shared key and both nonces."""
    parts = [hello.router_id, hello.incarnation, hello.nonce, welcome_nonce]
    packed: bytes = msgpack.packb(parts)
    return blake2b(packed, key=shared_key.encode()[:64], digest_size=32).digest()


class FrameAuthenticator:
    """Seal and open frames in one direction of one stream."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._n_frames = 0

    def proof(self) -> bytes:
        """Return proof that this side knows the key."""
        return blake2b(b"welcome", key=self._key, digest_size=MAC_BYTES).digest()

    def seal(self, payload: bytes) -> bytes:
        """Return the next frame with its authentication code."""
        frame: bytes = msgpack.packb([payload, self._code(payload)])
        self._n_frames += 1
        return frame

    def open(self, frame: Any) -> bytes:
        """Return the payload of the next frame; raises `PeerMessageError`."""
        try:
            payload, code = frame
            is_genuine = hmac.compare_digest(code, self._code(payload))
        except (TypeError, ValueError):
            is_genuine = False
        if not is_genuine:
            raise PeerMessageError("a frame's authentication code is wrong")
        self._n_frames += 1
        return bytes(payload)

    def _code(self, payload: bytes) -> bytes:
        counter = self._n_frames.to_bytes(8, "big")
        return blake2b(counter + payload, key=self._key, digest_size=MAC_BYTES).digest()
