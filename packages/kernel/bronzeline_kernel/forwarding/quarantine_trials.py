"""Let requests whose quarantine is over run on one engine at a time.

The load addressed: a request that crashes engines and comes again at all routers, for
as long as it is refused.
"""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.forwarding.block_list import Block, BlockList, request_key

__all__ = ["QuarantineTrials", "TrialOptions"]


@dataclass(frozen=True)
class TrialOptions:
    """Set how long a request is refused elsewhere during a trial, and after one."""

    # An engine that responds to probes gets 9 s for its first event.
    trial_ms: float = 10_000.0
    # Doubles with each trial that crashed an engine.
    quarantine_ms: float = 60_000.0
    max_quarantine_ms: float = 600_000.0


class QuarantineTrials:
    """Refuse a request everywhere else while it is tried, and longer if it crashes."""

    def __init__(self, blocks: BlockList, options: TrialOptions | None = None) -> None:
        self._blocks = blocks
        self._options = options or TrialOptions()
        # The block of each request tried at this router, and when it was let in. A call
        # may end before it is known that its engine crashed.
        self._trials: dict[str, tuple[Block, float]] = {}
        self._changed: list[Block] = []

    def begin(self, request_hash: str, now_ms: float) -> Block | None:
        """Return the block during the trial, None if the request needs none."""
        keys = (request_key(request_hash),)
        if not self._blocks.has_expired(keys, now_ms):
            return None
        self._forget(now_ms)
        block = self._blocks.add(keys, self._options.trial_ms, now_ms)
        self._trials[request_hash] = block, now_ms
        self._changed.append(block)
        return block

    def crashed(self, request_hash: str, now_ms: float) -> Block | None:
        """Quarantine a request again whose trial crashed its engine."""
        trial = self._pop(request_hash)
        if trial is None:
            return None
        # Each trial and each quarantine after it is a round.
        factor = 2.0 ** (trial.round // 2)
        options = self._options
        for_ms = min(factor * options.quarantine_ms, options.max_quarantine_ms)
        block = self._blocks.add(trial.keys, for_ms, now_ms)
        self._changed.append(block)
        return block

    def passed(self, request_hash: str, now_ms: float) -> None:
        """Let a request in again that an engine has answered."""
        trial = self._pop(request_hash)
        if trial is not None:
            self._changed += self._blocks.release(trial.keys, now_ms)

    def pop_changed(self) -> tuple[Block, ...]:
        """Return the blocks that peers don't know yet."""
        changed, self._changed = tuple(self._changed), []
        return changed

    def _pop(self, request_hash: str) -> Block | None:
        trial, _ = self._trials.pop(request_hash, (None, 0.0))
        return trial

    def _forget(self, now_ms: float) -> None:
        """Drop trials without a result; the block of each has expired."""
        oldest_ms = now_ms - self._options.quarantine_ms
        for key in [x for x, (_, at_ms) in self._trials.items() if at_ms < oldest_ms]:
            del self._trials[key]
