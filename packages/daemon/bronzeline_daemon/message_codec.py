"""Encode typed messages between routers with msgpack."""

from __future__ import annotations

from dataclasses import fields
from typing import Any

import msgpack
import msgspec

from bronzeline_kernel.exceptions import BronzelineError

__all__ = ["MessageCodec", "PeerMessageError"]


class PeerMessageError(BronzelineError):
    """Report bytes from a peer that are not one of the known messages."""


class MessageCodec:
    """Write messages as a type's name and its field values in order."""

    def __init__(self) -> None:
        self._types: dict[str, type[Any]] = {}
        self._field_names: dict[str, tuple[str, ...]] = {}

    def register(self, message_type: type[Any]) -> None:
        """Let messages of a frozen data class be sent and received."""
        name = message_type.__name__
        self._types[name] = message_type
        self._field_names[name] = tuple(item.name for item in fields(message_type))

    def encode(self, message: Any) -> bytes:
        """Return the bytes of a message."""
        name = type(message).__name__
        values = [
            msgspec.to_builtins(getattr(message, field), builtin_types=(bytes,))
            for field in self._field_names[name]
        ]
        encoded: bytes = msgpack.packb([name, *values])
        return encoded

    def decode(self, data: bytes) -> Any:
        """Return the message in the bytes; raises `PeerMessageError`."""
        try:
            name, *values = msgpack.unpackb(data)
            items = dict(zip(self._field_names[name], values, strict=True))
            return msgspec.convert(items, self._types[name], builtin_types=(bytes,))
        except (ValueError, KeyError, TypeError, msgspec.ValidationError) as error:
            raise PeerMessageError(f"a peer sent an unknown message: {error}") from None
