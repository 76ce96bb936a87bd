"""Judge whether the end of a resumed stream's response is the stream's end."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["StreamEnd"]

# One upstream that sends no event may have lost the run; two hardly both.
MIN_WITNESSES = 2


@dataclass
class StreamEnd:
    """Hold which upstreams said that no event follows the caller's last one."""

    _last_event: int = 0
    _witnesses: set[str] = field(default_factory=set)

    def is_proven(
        self, upstream_id: str, last_event: int, seen_event: int, is_framed: bool
    ) -> bool:
        """Return whether a complete response to a resume ends the stream.

        It does if its last event, `seen_event`, is the caller's last one; a response
        without events (0) only if upstreams agree. Without a length, such a response
        looks the same if its upstream has died.
        """
        if seen_event:
            return seen_event == last_event
        if last_event != self._last_event:
            self._last_event = last_event
            self._witnesses.clear()
        if is_framed:
            self._witnesses.add(upstream_id)
        return len(self._witnesses) >= MIN_WITNESSES
