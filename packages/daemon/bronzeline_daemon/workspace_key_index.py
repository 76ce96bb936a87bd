"""Look up workspaces by callers' keys."""

from __future__ import annotations

from collections.abc import Callable

from bronzeline_kernel.config import FleetConfig

__all__ = ["WorkspaceKeyIndex"]


class WorkspaceKeyIndex:
    """Index the workspaces of the configuration in force by key hash."""

    def __init__(self, read_config: Callable[[], FleetConfig]) -> None:
        self._read_config = read_config
        self._indexed: FleetConfig | None = None
        self._names: dict[str, str] = {}

    def find(self, key_sha256: str) -> str | None:
        """Return the name of the workspace with this key hash, or None."""
        config = self._read_config()
        if config is not self._indexed:
            self._indexed = config
            self._names = {
                item.key_sha256: name for name, item in config.workspaces.items()
            }
        return self._names.get(key_sha256)
