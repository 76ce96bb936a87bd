"""Refuse requests that end engines, by what they have in common."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, replace
from random import Random

from bronzeline_kernel.forwarding.block_list import (
    Block,
    BlockList,
    part_key,
    request_key,
)
from bronzeline_kernel.forwarding.messages import CallerRequest
from bronzeline_kernel.forwarding.part_blame import BlamedParts, PartBlame, PromptLost
from bronzeline_kernel.forwarding.quarantine_trials import QuarantineTrials
from bronzeline_kernel.forwarding.request_identity import RequestIdentity
from bronzeline_kernel.forwarding.request_quarantine import (
    EngineLost,
    RequestQuarantine,
)
from bronzeline_kernel.forwarding.zone_losses import EngineCount

__all__ = [
    "BlocksAsked",
    "BlocksChanged",
    "PartsAnswered",
    "Quarantine",
    "QuarantineMessage",
]

# Requests with a part that ends engines may come from many callers for long.
PART_QUARANTINE_MS = 600_000.0
# A part that ended engines together with another, harmless one needs fewer
# deaths on its own.
N_INCIDENTS_OF_SUBSET = 2
# Many routers may have evidence for the same part; about this many tell the others.
N_ANNOUNCING_ROUTERS = 16


@dataclass(frozen=True)
class PartsAnswered:
    """Report that an engine answered a prompt with parts that were suspected."""

    part_ids: tuple[str, ...]


@dataclass(frozen=True)
class BlocksChanged:
    """Report which requests are refused, or no longer refused."""

    blocks: tuple[Block, ...]


@dataclass(frozen=True)
class BlocksAsked:
    """Request a peer's blocks if their checksum is another one."""

    digest: int
    is_answer: bool


QuarantineMessage = EngineLost | PromptLost | PartsAnswered | BlocksChanged


@dataclass(frozen=True)
class _PendingPrompt:
    """Hold a lost prompt until it is known whether its zone was lost."""

    lost: PromptLost
    died_at_ms: float


class Quarantine:
    """Combine the blame of requests and of parts of prompts into one list of blocks."""

    def __init__(self, random: Random, n_engines: EngineCount = lambda zone: 0) -> None:
        self.blocks = BlockList()
        self.requests = RequestQuarantine(blocks=self.blocks, n_engines=n_engines)
        self.trials = QuarantineTrials(self.blocks)
        self.parts = PartBlame(n_engines=n_engines)
        self.on_blamed: Callable[[BlamedParts], None] = _ignore
        self.on_block_learned: Callable[[Block], None] = _ignore
        self.on_trial: Callable[[Block], None] = _ignore
        self.on_trial_crashed: Callable[[Block], None] = _ignore
        self.on_answered: Callable[[PartsAnswered], None] = _ignore
        self._random = random
        self._pending: list[_PendingPrompt] = []
        # Suspected parts of which this router saw answers, to be announced.
        self._answered: set[str] = set()

    @staticmethod
    def keys(request: CallerRequest, identity: RequestIdentity) -> tuple[str, ...]:
        """Return what a block may name of a request."""
        part_keys = map(part_key, request.shared_part_ids)
        return request_key(identity.work_hash), *part_keys

    def find(self, keys: Collection[str], now_ms: float) -> Block | None:
        """Return a block that refuses a request with these keys, or None."""
        return self.blocks.find(keys, now_ms)

    def begin_trial(self, identity: RequestIdentity, now_ms: float) -> Block | None:
        """Let a request in that was quarantined; return its block at other routers.

        Return None for a request that is no trial.
        """
        block = self.trials.begin(identity.work_hash, now_ms)
        if block is not None:
            self.on_trial(block)
        return block

    def engine_died(
        self, lost: EngineLost, prompt: PromptLost | None, now_ms: float
    ) -> None:
        """Record the death of an engine under a request of this router.

        `prompt` is None if the engine had begun to answer.
        """
        self._record_engine(lost, now_ms, is_own=True)
        for request_hash in lost.ran_ms:
            block = self.trials.crashed(request_hash, now_ms)
            if block is not None:
                self.on_trial_crashed(block)
        if prompt is None or not prompt.part_ids:
            return
        self._record_prompt(prompt, now_ms, is_own=True)
        self._pending.append(_PendingPrompt(prompt, now_ms - prompt.age_ms))

    def prompt_answered(self, part_ids: Collection[str], now_ms: float) -> None:
        """Record that an engine answered a prompt: its parts are harmless."""
        suspected = set(self.parts.answered(part_ids, now_ms))
        self._announce_answered(suspected | self._lift(part_ids, now_ms))

    def request_completed(self, request_hash: str, now_ms: float) -> None:
        """Clear the deaths counted against a request that ran to completion."""
        self.requests.request_completed(request_hash)
        self.trials.passed(request_hash, now_ms)

    def receive(self, message: QuarantineMessage, now_ms: float) -> None:
        """Handle a message of a peer."""
        match message:
            case EngineLost():
                self._record_engine(message, now_ms, is_own=False)
            case PromptLost():
                self._record_prompt(message, now_ms, is_own=False)
                self._announce_answered(self.parts.answered_since(message, now_ms))
            case PartsAnswered(part_ids):
                self._answered.difference_update(part_ids)
                self.parts.clear(part_ids, now_ms)
                self._lift(part_ids, now_ms)
            case BlocksChanged(blocks):
                self.learn(blocks, now_ms)

    def learn(self, blocks: Collection[Block], now_ms: float) -> None:
        """Take over newer blocks of a peer."""
        for block in self.blocks.merge(blocks, now_ms):
            part_ids = _part_ids(block.keys)
            if block.is_active and part_ids:
                self.parts.explain(part_ids)
            self.on_block_learned(block)

    def tick(self, now_ms: float, n_peers: int) -> list[QuarantineMessage]:
        """Decide on what was reported; return the messages for all peers."""
        messages: list[QuarantineMessage] = []
        messages += self.requests.confirm_deaths(now_ms)
        messages += self._lost_prompts(now_ms)
        messages += self._block_next(now_ms)
        changed = self.trials.pop_changed()
        if changed:
            messages.append(BlocksChanged(changed))
        if self._answered and self._random.random() * n_peers <= N_ANNOUNCING_ROUTERS:
            messages.append(PartsAnswered(tuple(sorted(self._answered))))
            self._answered.clear()
        self.parts.expire(now_ms)
        self.blocks.expire(now_ms)
        return messages

    def _record_engine(self, lost: EngineLost, now_ms: float, *, is_own: bool) -> None:
        self.requests.engine_lost(lost, now_ms, is_own)
        zone = lost.zone
        # Peers announce a death once no other engine of the zone can have died with it.
        age_ms = 0.0 if is_own else self.requests.options.zone_window_ms
        self.parts.engine_died(zone, lost.upstream_id, now_ms - age_ms)

    def _record_prompt(self, lost: PromptLost, now_ms: float, *, is_own: bool) -> None:
        part_keys = [part_key(part_id) for part_id in lost.part_ids]
        is_blocked = self.find(part_keys, now_ms) is not None
        self.parts.prompt_lost(lost, now_ms, is_own=is_own, is_blocked=is_blocked)

    def _lost_prompts(self, now_ms: float) -> list[PromptLost]:
        """Return the lost prompts to announce, without what was answered since."""
        together_ms = self.parts.options.together_ms
        due = [x for x in self._pending if now_ms - x.died_at_ms >= together_ms]
        self._pending = [item for item in self._pending if item not in due]
        announced = []
        for item in due:
            lost = replace(item.lost, age_ms=now_ms - item.died_at_ms)
            answered = self.parts.answered_since(lost, now_ms)
            left = tuple(part for part in lost.part_ids if part not in answered)
            if left and not self.parts.is_zone_loss(lost, now_ms):
                announced.append(replace(lost, part_ids=left))
        return announced

    def _block_next(self, now_ms: float) -> list[BlocksChanged]:
        """Block the next parts to blame; return what to announce."""
        blamed = self.parts.next_to_blame(
            now_ms, self._n_needed(now_ms), self._least_needed(now_ms)
        )
        if blamed is None:
            return []
        keys = map(part_key, blamed.part_ids)
        block = self.blocks.add(keys, PART_QUARANTINE_MS, now_ms)
        self.on_blamed(blamed)
        return [BlocksChanged((block,))] if blamed.has_own else []

    def _n_needed(self, now_ms: float) -> Callable[[tuple[str, ...]], int]:
        blocked = [set(x.keys) for x in self.blocks.blocks(now_ms) if x.is_active]

        def n_needed(part_ids: tuple[str, ...]) -> int:
            keys = {part_key(part_id) for part_id in part_ids}
            if self.blocks.has_expired(keys, now_ms):
                return 1
            if any(keys < others for others in blocked):
                return N_INCIDENTS_OF_SUBSET
            return self.parts.options.n_incidents

        return n_needed

    def _least_needed(self, now_ms: float) -> int:
        """Return how many incidents any parts need, given the blocks there are."""
        blocks = [item for item in self.blocks.blocks(now_ms) if not item.is_lifted]
        if any(not item.is_active for item in blocks):
            return 1
        if any(len(item.keys) > 1 for item in blocks):
            return N_INCIDENTS_OF_SUBSET
        return self.parts.options.n_incidents

    def _lift(self, part_ids: Collection[str], now_ms: float) -> set[str]:
        """Take harmless parts out of the blocks; return those that were in one."""
        keys = {part_key(part_id): part_id for part_id in part_ids}
        changed = self.blocks.release(keys, now_ms)
        lifted = {keys[x] for item in changed for x in item.keys if x in keys}
        if lifted:
            self.on_answered(PartsAnswered(tuple(sorted(lifted))))
        return lifted

    def _announce_answered(self, part_ids: Collection[str]) -> None:
        self._answered.update(part_ids)


def _part_ids(keys: Collection[str]) -> tuple[str, ...]:
    prefix = part_key("")
    return tuple(key.removeprefix(prefix) for key in keys if key.startswith(prefix))


def _ignore(event: object) -> None:
    """Ignore an event while no callback is set."""
