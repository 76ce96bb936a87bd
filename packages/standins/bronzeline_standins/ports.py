"""Reserve ports that servers can listen on again after a restart."""

from __future__ import annotations

import os
import socket
from collections import deque
from itertools import count

__all__ = ["HOST", "free_port"]

HOST = "127.0.0.1"
# Below the ephemeral range, from which outgoing connections take their ports.
FIRST_PORT = 18_000
LAST_PORT = 32_000
N_PORTS = LAST_PORT - FIRST_PORT
# Concurrent processes start at different offsets, so they rarely collide.
PORTS_PER_PROCESS = 397

MAX_RESERVED = 300

_offsets = count(os.getpid() * PORTS_PER_PROCESS)
# Sockets that are bound but don't listen: other processes find their ports in
# use, while a server with SO_REUSEADDR can listen on them.
_reserved: deque[socket.socket] = deque()


def free_port() -> int:
    """Return a port reserved for its server; raises `OSError` if none is free."""
    for _ in range(N_PORTS):
        port = FIRST_PORT + next(_offsets) % N_PORTS
        candidate = socket.socket()
        try:
            candidate.bind((HOST, port))
        except OSError:
            candidate.close()
            continue
        candidate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reserved.append(candidate)
        if len(_reserved) > MAX_RESERVED:
            _reserved.popleft().close()
        return port
    raise OSError(f"no free port between {FIRST_PORT} and {LAST_PORT}")
