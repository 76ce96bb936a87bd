"""List the headers that apply to a single connection only."""

from __future__ import annotations

__all__ = ["CONNECTION_HEADERS"]

# For requests and answers alike; each direction adds some of its own.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
