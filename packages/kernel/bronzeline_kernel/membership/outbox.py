"""Queue the events for each neighbour and limit their byte rate."""

from __future__ import annotations

from bronzeline_kernel.membership.messages import (
    MemberEvent,
    MemberEvents,
    MemberState,
)

__all__ = ["EventOutbox"]

MESSAGE_BYTES = 90
EVENT_BYTES = 16
MAX_EVENTS_PER_MESSAGE = 40
STATES_BY_URGENCY = (
    MemberState.LEAVING,
    MemberState.FAILED,
    MemberState.SUSPECTED,
    MemberState.ALIVE,
)


class EventOutbox:
    """Queue events per neighbour and send each once, the most urgent first.

    An event that the neighbour has reported itself in the meantime is dropped.
    """

    def __init__(self, max_bytes_per_s: float, burst_bytes: float) -> None:
        self._max_bytes_per_s = max_bytes_per_s
        self._burst_bytes = burst_bytes
        self._available_bytes = burst_bytes
        self._filled_at_ms = 0.0
        self._rotation_offset = 0
        self._pending: dict[str, dict[str, MemberEvent]] = {}

    def queue(self, neighbour: str, event: MemberEvent) -> None:
        """Queue an event for a neighbour, replacing an older one of the same router."""
        self._pending.setdefault(neighbour, {})[event.router_id] = event

    def on_peer_event(self, neighbour: str, event: MemberEvent) -> None:
        """Drop a queued event that is not newer than one the neighbour sent."""
        pending = self._pending.get(neighbour, {})
        queued = pending.get(event.router_id)
        if queued is not None and queued.order <= event.order:
            del pending[event.router_id]

    def keep_only(self, neighbours: frozenset[str]) -> None:
        """Drop the events queued for routers that are no longer neighbours."""
        for router_id in [item for item in self._pending if item not in neighbours]:
            del self._pending[router_id]

    def take_messages(self, now_ms: float) -> list[tuple[str, MemberEvents]]:
        """Return the messages to send now, within the byte rate."""
        elapsed_s = max(0.0, now_ms - self._filled_at_ms) / 1000.0
        self._filled_at_ms = now_ms
        filled = self._available_bytes + elapsed_s * self._max_bytes_per_s
        self._available_bytes = min(self._burst_bytes, filled)
        messages = []
        for neighbour in self._rotated_neighbours():
            pending = self._pending[neighbour]
            events = self._take_from(pending)
            if events:
                messages.append((neighbour, MemberEvents(tuple(events))))
        return messages

    def _rotated_neighbours(self) -> list[str]:
        """Return neighbours with events, rotated on each call so that none starves."""
        neighbours = [item for item, pending in self._pending.items() if pending]
        if not neighbours:
            return []
        self._rotation_offset = (self._rotation_offset + 1) % len(neighbours)
        return neighbours[self._rotation_offset :] + neighbours[: self._rotation_offset]

    def _take_from(self, pending: dict[str, MemberEvent]) -> list[MemberEvent]:
        # Peers must learn of a leaving router within seconds, so its event is
        # sent even if the byte budget is used up.
        taken: list[MemberEvent] = []
        for event in sorted(pending.values(), key=_urgency):
            is_urgent = event.state is MemberState.LEAVING
            n_bytes = _size(event) + (0 if taken else MESSAGE_BYTES)
            is_full = len(taken) >= MAX_EVENTS_PER_MESSAGE
            if is_full or (n_bytes > self._available_bytes and not is_urgent):
                break
            self._available_bytes = max(0.0, self._available_bytes - n_bytes)
            taken.append(event)
            del pending[event.router_id]
        return taken


def _size(event: MemberEvent) -> int:
    address = len(event.host) + len(event.availability_zone) + len(event.region)
    return EVENT_BYTES + len(event.router_id) + address


def _urgency(event: MemberEvent) -> int:
    return STATES_BY_URGENCY.index(event.state)
