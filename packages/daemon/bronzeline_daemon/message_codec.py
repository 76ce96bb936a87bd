"""Encode messages between routers with msgpack."""

from __future__ import annotations

from dataclasses import fields
from typing import Any

import msgpack
import msgspec

from bronzeline_kernel.exceptions import BronzelineError

__all__ = ["MessageCodec", "PeerMessageError"]


class PeerMessageError(BronzelineError):
    """Raised when a peer's bytes are not a registered message."""


class MessageCodec:
    """Encode a message as its type's name and its field values in order.

    Routers of an earlier build ignore names that they don't know. So a type whose name
    has changed keeps the former one as `WIRE_NAME`, and one whose values mean something
    else now has a new one there.
    """

    def __init__(self) -> None:
        self._types: dict[str, type[Any]] = {}
        self._field_names: dict[str, tuple[str, ...]] = {}

    def register(self, message_type: type[Any]) -> None:
        """Register a frozen data class as a type of message."""
        name = _wire_name(message_type)
        self._types[name] = message_type
        self._field_names[name] = tuple(item.name for item in fields(message_type))

    def encode(self, message: Any) -> bytes:
        """Return the encoded message."""
        name = _wire_name(type(message))
        values = [
            msgspec.to_builtins(getattr(message, field), builtin_types=(bytes,))
            for field in self._field_names[name]
        ]
        encoded: bytes = msgpack.packb([name, *values])
        return encoded

    def decode(self, data: bytes) -> Any:
        """Return the decoded message; raises `PeerMessageError`."""
        try:
            name, *values = msgpack.unpackb(data)
            items = dict(zip(self._field_names[name], values, strict=True))
            return msgspec.convert(items, self._types[name], builtin_types=(bytes,))
        except (ValueError, KeyError, TypeError, msgspec.ValidationError) as error:
            raise PeerMessageError(f"a peer sent an unknown message: {error}") from None


def _wire_name(message_type: type[Any]) -> str:
    name: str = getattr(message_type, "WIRE_NAME", message_type.__name__)
    return name
