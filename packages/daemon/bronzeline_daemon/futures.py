"""Handle futures whose outcome nobody waits for."""

from __future__ import annotations

import asyncio
from typing import Any

__all__ = ["take_exception"]


def take_exception(future: asyncio.Future[Any]) -> None:
    """Keep the loop from logging an error that was dealt with elsewhere."""
    if not future.cancelled():
        future.exception()
