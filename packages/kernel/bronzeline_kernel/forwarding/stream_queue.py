"""Order the streams that wait in a router for memory at an engine.

Load: demand beyond the engines' memory for some seconds, much of it from one of many
workspaces.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field

__all__ = ["StreamQueue", "WaitingStream"]

# Weight of a new interval between two streams that leave the queue.
INTERVAL_WEIGHT = 0.2
# A longer time without a stream that leaves is no interval between two, and an estimate
# that old is not used: one gap of 20 s had refused streams long after a peak. It is
# longer than the time that streams usually wait.
MAX_INTERVAL_AGE_MS = 5_000.0


@dataclass
class WaitingStream:
    """Hold a waiting stream and the place that its workspace's share gives it.

    `used_ms` is how much of its time a caller that returns has used, else 0.
    """

    priority: int
    workspace: str
    start: float
    finish: float
    number: int
    used_ms: float = 0.0
    # Until then, smaller streams that have room are served before this one.
    yields_until_ms: float = 0.0
    # Whether the last decision was to send it.
    is_admitted: bool = False

    @property
    def n_tokens(self) -> float:
        """Return the size of the stream."""
        return self.finish - self.start

    @property
    def group(self) -> tuple[int, str]:
        """Return the priority and the workspace, within which streams swap places."""
        return self.priority, self.workspace

    @property
    def place(self) -> tuple[int, float, int]:
        """Return the place, the lowest is served first."""
        return self.priority, self.finish, self.number


@dataclass(frozen=True)
class _Standing:
    """Hold what counts of the streams that are served before one."""

    n_ahead: int = 0
    first_priority: float = math.inf
    least_tokens: float = math.inf
    # When the first of them no longer lets smaller streams pass.
    yields_until_ms: float = math.inf

    def followed_by(self, stream: WaitingStream) -> _Standing:
        """Return the standing of the stream that comes after another one."""
        return _Standing(
            self.n_ahead + 1,
            min(self.first_priority, stream.priority),
            min(self.least_tokens, stream.n_tokens),
            min(self.yields_until_ms, stream.yields_until_ms),
        )


@dataclass
class StreamQueue:
    """Serve waiting streams by priority, and workspaces by equal shares of tokens.

    Start-time fair queueing: a workspace that sends more than its share gets later
    finish tags, and waits behind those that send less. Within a workspace, callers that
    return take the first places, in the order in which they first came.
    """

    _waiting: dict[object, WaitingStream] = field(default_factory=dict)
    _finish_by_workspace: dict[str, float] = field(default_factory=dict)
    _virtual_time: float = 0.0
    _n_joined: int = 0
    _sent_at_ms: float | None = None
    _interval_ms: float = 0.0
    # None after a change of the queue.
    _kept_standings: dict[object, _Standing] | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def holds(self, key: object) -> bool:
        """Return whether a stream waits."""
        return key in self._waiting

    def join(
        self,
        key: object,
        workspace: str,
        n_tokens: float,
        priority: int,
        used_ms: float = 0.0,
        yields_until_ms: float = 0.0,
    ) -> WaitingStream:
        """Add a stream, or give a waiting one the priority that applies now."""
        waiting = self._waiting.get(key)
        if waiting is not None:
            if waiting.priority != priority:
                waiting.priority = priority
                self._kept_standings = None
            return waiting
        start = max(self._virtual_time, self._finish_by_workspace.get(workspace, 0.0))
        self._n_joined += 1
        waiting = WaitingStream(
            priority,
            workspace,
            start,
            start + n_tokens,
            self._n_joined,
            used_ms,
            yields_until_ms,
        )
        self._waiting[key] = waiting
        self._kept_standings = None
        self._finish_by_workspace[workspace] = waiting.finish
        return waiting

    def n_ahead(self, key: object) -> int:
        """Return how many streams are served before a waiting one."""
        return self._standings()[key].n_ahead

    def must_wait(self, key: object, now_ms: float) -> bool:
        """Return whether a stream must wait for others, although it may have room.

        A large stream finds room later than small ones. It lets these pass at first,
        so that engines are not idle, and then no more, so that it does not starve. It
        never lets less urgent ones pass.
        """
        stream, standing = self._waiting[key], self._standings()[key]
        return (
            standing.first_priority < stream.priority
            or standing.least_tokens <= stream.n_tokens
            or now_ms >= standing.yields_until_ms
        )

    def _standings(self) -> dict[object, _Standing]:
        """Return what precedes each stream, computed once per change of the queue."""
        if self._kept_standings is None:
            self._kept_standings = self._find_standings()
        return self._kept_standings

    def _find_standings(self) -> dict[object, _Standing]:
        # Streams of a group swap places: callers that return take the first ones.
        members: defaultdict[tuple[int, str], list[object]] = defaultdict(list)
        for key in sorted(self._waiting, key=self._swap_rank):
            members[self._waiting[key].group].append(key)
        next_members = {group: iter(keys) for group, keys in members.items()}
        standings = {}
        standing = _Standing()
        for item in sorted(self._waiting.values(), key=lambda x: x.place):
            key = next(next_members[item.group])
            standings[key] = standing
            standing = standing.followed_by(self._waiting[key])
        return standings

    def _swap_rank(self, key: object) -> tuple[float, int]:
        stream = self._waiting[key]
        return -stream.used_ms, stream.number

    def wait_ms(self, n_ahead: int, now_ms: float) -> float:
        """Return how long so many streams usually take to leave the queue.

        It is 0 without a recent interval.
        """
        sent_at_ms = self._sent_at_ms
        if sent_at_ms is None or now_ms - sent_at_ms > MAX_INTERVAL_AGE_MS:
            return 0.0
        return n_ahead * self._interval_ms

    def serve(self, key: object, now_ms: float) -> None:
        """Remove a stream that is sent."""
        waiting = self._waiting.pop(key, None)
        if waiting is None:
            return
        self._kept_standings = None
        self._virtual_time = max(self._virtual_time, waiting.start)
        if self._sent_at_ms is not None:
            interval_ms = now_ms - self._sent_at_ms
            if interval_ms > MAX_INTERVAL_AGE_MS:
                self._interval_ms = 0.0
            else:
                self._interval_ms += INTERVAL_WEIGHT * (interval_ms - self._interval_ms)
        self._sent_at_ms = now_ms
        self._forget_idle()

    def leave(self, key: object) -> None:
        """Remove a stream that is not sent; its workspace gets its share back."""
        waiting = self._waiting.pop(key, None)
        if waiting is None:
            return
        self._kept_standings = None
        size = waiting.finish - waiting.start
        for item in self._waiting.values():
            if item.workspace == waiting.workspace and item.start >= waiting.finish:
                item.start -= size
                item.finish -= size
        self._finish_by_workspace[waiting.workspace] -= size
        self._forget_idle()

    def _forget_idle(self) -> None:
        """Remove workspaces that are back within their share, all if none waits."""
        if not self._waiting:
            self._finish_by_workspace.clear()
            self._virtual_time = 0.0
            self._sent_at_ms = None
            self._interval_ms = 0.0
            return
        busy = {item.workspace for item in self._waiting.values()}
        self._finish_by_workspace = {
            name: finish
            for name, finish in self._finish_by_workspace.items()
            if finish > self._virtual_time or name in busy
        }
