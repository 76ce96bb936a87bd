"""Learn how many events answers have, and how fast they follow each other."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["AnswerPace"]

# The shortest of fewer answers is often undercut by the next one.
MIN_ANSWERS = 10
# With fewer events the mean time between them says little.
MIN_TIMED_EVENTS = 10
# The lowest values are raised by this share with each higher one, so that they
# follow a change of the answers.
LOWEST_RISE = 0.03
# An answer that is longer than the shortest ones by this ratio may be of any length.
LONG_ANSWER_RATIO = 1.1


@dataclass
class AnswerPace:
    """Bound the time for the rest of an answer by the shortest recent answers."""

    _n_answers: int = 0
    _fewest_events: float = float("inf")
    _fastest_event_ms: float = float("inf")

    def record(self, n_events: int, n_timed_events: int, took_ms: float) -> None:
        """Record a complete answer, and the time that its last events took."""
        self._n_answers += 1
        self._fewest_events = _lowest(self._fewest_events, n_events)
        if n_timed_events >= MIN_TIMED_EVENTS and took_ms > 0.0:
            event_ms = took_ms / n_timed_events
            self._fastest_event_ms = _lowest(self._fastest_event_ms, event_ms)

    def shortest_rest_ms(self, after_event: int) -> float:
        """Return how long the events after this one take at least, 0 if unknown."""
        is_known = self._n_answers >= MIN_ANSWERS
        if not is_known or self._fastest_event_ms == float("inf"):
            return 0.0
        n_events = max(0.0, self._fewest_events - after_event)
        return n_events * self._fastest_event_ms

    def probable_rest_ms(self, after_event: int) -> float:
        """Return how long the events after this one probably take, infinity if unknown.

        An answer that goes on beyond the shortest ones may be of any length.
        """
        is_known = self._n_answers >= MIN_ANSWERS
        if not is_known or after_event > LONG_ANSWER_RATIO * self._fewest_events:
            return float("inf")
        return self.shortest_rest_ms(after_event)


def _lowest(lowest: float, value: float) -> float:
    return min(value, (1.0 + LOWEST_RISE) * lowest)
