"""List the hop-by-hop headers, which apply to one connection only."""

from __future__ import annotations

__all__ = ["HOP_BY_HOP_HEADERS"]

# For requests and responses alike; each direction adds some of its own.
HOP_BY_HOP_HEADERS = frozenset(
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
