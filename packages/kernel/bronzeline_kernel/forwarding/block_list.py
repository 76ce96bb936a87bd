"""Hold which requests are refused by what they contain, and merge peers' records."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from zlib import crc32

__all__ = ["Block", "BlockList", "part_key", "request_key"]

# A record is kept this long after its block has ended, so that an older record of
# a peer does not bring the block back.
RETENTION_MS = 600_000.0
MAX_BLOCKS = 1_000


def request_key(request_hash: str) -> str:
    """Return the key of a request in blocks."""
    return f"request:{request_hash}"


def part_key(part_id: str) -> str:
    """Return the key of a part of a prompt in blocks."""
    return f"part:{part_id}"


@dataclass(frozen=True)
class Block:
    """Refuse the requests that have all of these keys.

    Of several records of the same keys the one of the latest round holds, and of
    one round the lifted one. `remaining_ms` is below 0 once the block has expired.
    """

    keys: tuple[str, ...]
    round: int
    is_lifted: bool
    remaining_ms: float

    @property
    def is_active(self) -> bool:
        """Return whether requests are refused."""
        return not self.is_lifted and self.remaining_ms > 0.0

    def is_round_of(self, other: Block) -> bool:
        """Return whether both are records of the same round."""
        return (self.keys, self.round) == (other.keys, other.round)


@dataclass
class BlockRecord:
    """Hold the newest record of a block, and the time at which it expires."""

    round: int
    is_lifted: bool
    expires_at_ms: float


class BlockList:
    """Hold the newest record of each block by its keys."""

    def __init__(self) -> None:
        self._records: dict[tuple[str, ...], BlockRecord] = {}
        # The records' keys by the first of them, so that a request is compared with
        # few blocks.
        self._by_first_key: dict[str, set[tuple[str, ...]]] = {}

    def __len__(self) -> int:
        """Return the number of records, also of blocks that have ended."""
        return len(self._records)

    def add(self, keys: Iterable[str], for_ms: float, now_ms: float) -> Block:
        """Block the requests that have all of these keys, in a new round."""
        ordered = tuple(sorted(keys))
        known = self._records.get(ordered)
        number = 1 if known is None else known.round + 1
        return self._put(Block(ordered, number, False, for_ms), now_ms)

    def find(self, keys: Collection[str], now_ms: float) -> Block | None:
        """Return a block that refuses a request with these keys, or None."""
        for key in keys:
            for block_keys in self._by_first_key.get(key, ()):
                block = _to_block(block_keys, self._records[block_keys], now_ms)
                if block.is_active and set(keys).issuperset(block_keys):
                    return block
        return None

    def has_expired(self, keys: Iterable[str], now_ms: float) -> bool:
        """Return whether these keys were blocked until their time was over."""
        record = self._records.get(tuple(sorted(keys)))
        if record is None or record.is_lifted:
            return False
        return now_ms >= record.expires_at_ms

    def release(self, keys: Collection[str], now_ms: float) -> list[Block]:
        """Take harmless keys out of all active blocks; return the changed records.

        The other keys of a block stay blocked. A block without others is lifted.
        """
        changed = []
        for block in self.blocks(now_ms):
            rest = [key for key in block.keys if key not in keys]
            if not block.is_active or len(rest) == len(block.keys):
                continue
            changed.append(self._put(replace(block, is_lifted=True), now_ms))
            if rest:
                changed.append(self.add(rest, block.remaining_ms, now_ms))
        return changed

    def merge(self, blocks: Iterable[Block], now_ms: float) -> list[Block]:
        """Take over a peer's records where they are newer; return those.

        One without keys would refuse all requests, and is ignored.
        """
        newer = [item for item in blocks if item.keys and self._is_newer(item)]
        for item in newer:
            self._put(item, now_ms)
        return newer

    def blocks(self, now_ms: float) -> tuple[Block, ...]:
        """Return all records."""
        return tuple(
            _to_block(keys, record, now_ms) for keys, record in self._records.items()
        )

    def digest(self) -> int:
        """Return a checksum of all records, 0 if there is none."""
        lines = sorted(
            f"{' '.join(keys)} {record.round} {record.is_lifted}"
            for keys, record in self._records.items()
        )
        return crc32("\n".join(lines).encode())

    def expire(self, now_ms: float) -> None:
        """Drop the records of blocks that ended long ago."""
        for keys, record in list(self._records.items()):
            if now_ms - record.expires_at_ms >= RETENTION_MS:
                self._remove(keys)

    def _is_newer(self, block: Block) -> bool:
        known = self._records.get(block.keys)
        if known is None:
            return True
        return (block.round, block.is_lifted) > (known.round, known.is_lifted)

    def _put(self, block: Block, now_ms: float) -> Block:
        expires_at_ms = now_ms + block.remaining_ms
        self._remove(block.keys)
        self._records[block.keys] = BlockRecord(
            block.round, block.is_lifted, expires_at_ms
        )
        self._by_first_key.setdefault(block.keys[0], set()).add(block.keys)
        while len(self._records) > MAX_BLOCKS:
            self._remove(next(iter(self._records)))
        return block

    def _remove(self, keys: tuple[str, ...]) -> None:
        if self._records.pop(keys, None) is None:
            return
        others = self._by_first_key[keys[0]]
        others.discard(keys)
        if not others:
            del self._by_first_key[keys[0]]


def _to_block(keys: tuple[str, ...], record: BlockRecord, now_ms: float) -> Block:
    remaining_ms = record.expires_at_ms - now_ms
    return Block(keys, record.round, record.is_lifted, remaining_ms)
