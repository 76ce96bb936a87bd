"""Name the headers that concern one connection only."""

from __future__ import annotations

__all__ = ["HOP_BY_HOP_HEADERS"]

# Of requests and answers alike; each has some of its own besides.
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
