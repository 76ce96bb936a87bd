"""Keep long blocks in the platform's store, where they outlast all routers."""

from __future__ import annotations

from bronzeline_daemon.forwarding.store_timeout import StoreTimeout
from bronzeline_daemon.logs import log_event
from bronzeline_kernel.exceptions import StoreUnavailableError
from bronzeline_kernel.forwarding import Block, DirectoryStore, Quarantine

__all__ = ["BlockStore"]

# Routers are back within 15 s of the loss of all; a shorter block has ended by then.
MIN_STORED_MS = 15_000.0
RETRY_MS = 1_000.0


class BlockStore:
    """Write new blocks to the store, and delete those that have ended.

    Only the root of the tree of routers uses it, so each block is written once.
    """

    def __init__(self, store: DirectoryStore, quarantine: Quarantine) -> None:
        self._store = store
        self._quarantine = quarantine
        self._timeout = StoreTimeout()
        # The rounds of the stored blocks by their keys, as far as they are known.
        self._rounds: dict[tuple[str, ...], int] = {}
        self._must_read = True
        self._retry_due_ms = 0.0
        self._is_unsure = True
        store.era.listen(lambda former_era, era: self.forget())

    def forget(self) -> None:
        """Read the store again before the next use: its blocks may have changed."""
        self._must_read = True

    async def synchronize(self, now_ms: float) -> None:
        """Read the stored blocks once; write and delete what has changed since."""
        if now_ms < self._retry_due_ms:
            return
        try:
            if self._must_read:
                await self._read(now_ms)
            for block in self._quarantine.blocks.blocks(now_ms):
                await self._write(block)
            await self._delete_ended(now_ms)
        except StoreUnavailableError as error:
            log_event("blocks_not_stored", error=str(error))
            self._is_unsure = True
            self._retry_due_ms = now_ms + RETRY_MS
        else:
            self._is_unsure = False

    async def _read(self, now_ms: float) -> None:
        blocks = await self._timeout.call(
            self._store.list_blocks(), is_unsure=self._is_unsure
        )
        self._must_read = False
        self._quarantine.learn(blocks, now_ms)
        self._rounds = {item.keys: item.round for item in blocks}
        if blocks:
            log_event("blocks_read", n_blocks=len(blocks))

    async def _write(self, block: Block) -> None:
        is_stored = self._rounds.get(block.keys) == block.round
        if is_stored or not block.is_active or block.remaining_ms < MIN_STORED_MS:
            return
        await self._timeout.call(
            self._store.write_block(block), is_unsure=self._is_unsure
        )
        self._rounds[block.keys] = block.round
        log_event("block_stored", keys=",".join(block.keys))

    async def _delete_ended(self, now_ms: float) -> None:
        blocks = self._quarantine.blocks.blocks(now_ms)
        active = {item.keys for item in blocks if item.is_active}
        for keys in [item for item in self._rounds if item not in active]:
            await self._timeout.call(
                self._store.delete_block(keys), is_unsure=self._is_unsure
            )
            del self._rounds[keys]
            log_event("block_deleted", keys=",".join(keys))
