"""Count the attempts of one stream, and by what they failed."""

from __future__ import annotations

from dataclasses import dataclass, field

from bronzeline_kernel.forwarding.messages import Fault

__all__ = ["AttemptCounts"]


@dataclass
class AttemptCounts:
    """Decide by the attempts so far how many more a stream may have.

    Attempts are numbered in the order in which they are sent, from 1 on.
    """

    n_sent: int = 0
    n_rejected: int = 0
    n_lost: int = 0
    # Upstreams that crashed in a row.
    n_crashes: int = 0
    # Attempts that use up none: those whose upstream can't be reached or has ended
    # meanwhile, and those that go on where the stream is already.
    _unreachable: set[int] = field(default_factory=set)
    _cut_off: set[int] = field(default_factory=set)
    _continued: set[int] = field(default_factory=set)
    # Of those cut off, the ones whose upstream is being probed.
    _in_doubt: set[int] = field(default_factory=set)
    _upstream_ids: set[str] = field(default_factory=set)

    @property
    def has_doubt(self) -> bool:
        """Return whether the upstream of a lost attempt is being probed."""
        return bool(self._in_doubt)

    @property
    def n_used(self) -> int:
        """Return how many attempts are used up."""
        return self.n_sent - len(self._unreachable | self._cut_off | self._continued)

    def record_sent(self, upstream_id: str) -> None:
        """Count an attempt that is sent now."""
        self.n_sent += 1
        self._upstream_ids.add(upstream_id)

    def record_continued(self) -> None:
        """Count the latest attempt as one for the same run or at the same upstream."""
        self._continued.add(self.n_sent)

    def record_lost(self, *, is_cut_off: bool, is_in_doubt: bool = False) -> None:
        """Count the latest attempt as one that may have run.

        One in doubt counts as cut off until a probe tells whether its upstream runs.
        """
        self.n_lost += 1
        if is_cut_off:
            self._cut_off.add(self.n_sent)
        if is_in_doubt:
            self._in_doubt.add(self.n_sent)

    def record_probed(self, number: int, *, is_responding: bool) -> None:
        """Count an attempt in doubt as not cut off if its upstream responds."""
        if number not in self._in_doubt:
            return
        self._in_doubt.remove(number)
        if is_responding:
            self._cut_off.remove(number)

    def record_not_run(self, fault: Fault, *, is_from_copy: bool) -> None:
        """Count an attempt that has not run; a copy's holder may lack just the copy."""
        if fault is Fault.UNREACHABLE:
            self._unreachable.add(self.n_sent)
        if not is_from_copy:
            self.n_rejected += 1

    def resume_obstacle(
        self,
        max_attempts: int,
        max_crashes: int,
        *,
        is_blocked: bool,
        has_budget: bool,
        may_return: bool = False,
        is_cut_off: bool = False,
    ) -> str:
        """Return why a stream can't resume, an empty string if it can.

        `may_return` says whether it could go on at an upstream that it left before,
        `is_cut_off` whether the latest attempt would be lost as cut off; False if it
        is counted already.
        """
        n_more = 1 if is_cut_off else 0
        if not may_return and not self.has_left(max_attempts + n_more):
            return "attempts used up"
        if self.n_crashes >= max_crashes:
            return "upstreams died in a row"
        if is_blocked:
            return "quarantined"
        return "" if has_budget else "retry budget spent"

    def has_left(self, max_attempts: int) -> bool:
        """Return whether attempts are left."""
        return self.n_used < max_attempts

    def only_upstreams(self, max_attempts: int) -> frozenset[str] | None:
        """Return the ids of the upstreams that may still get the stream.

        Attempts limit the number of upstreams, so with all of them used up it may go
        on at those that it was sent to. None stands for all upstreams.
        """
        is_open = not self.n_sent or self.has_left(max_attempts)
        return None if is_open else frozenset(self._upstream_ids)

    def awaits_probe(self, max_attempts: int) -> bool:
        """Return whether it depends on probes if attempts are left."""
        n_in_doubt = len(self._in_doubt - self._continued)
        is_certain = self.has_left(max_attempts - n_in_doubt)
        return self.has_left(max_attempts) and not is_certain
