"""Define how the check reads configurations in the format of a deployment."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from bronzeline_kernel.config_check.draft import ConfigDraft
from bronzeline_kernel.exceptions import BronzelineError

__all__ = ["FORMAT_KIND", "ConfigFormat", "ConfigUnreadableError", "StoreReader"]

# The kind of plug-in that implements `ConfigFormat`.
FORMAT_KIND = "config_format"


class ConfigUnreadableError(BronzelineError):
    """Report a document that can't be read or is not in the expected format at all."""


class StoreReader(Protocol):
    """Read what is in force from a deployment's store.

    Its methods raise `ConfigUnreadableError` if the store can't be read.
    """

    async def read_config(self) -> ConfigDraft | None:
        """Return the version in force, None if there is none yet."""

    async def count_upstreams(self) -> Mapping[str, int]:
        """Return the number of upstreams that are not leaving, by service."""


class ConfigFormat(Protocol):
    """Read the documents of a deployment."""

    # The store holds no larger values.
    max_bytes: int

    def read(self, text: bytes) -> ConfigDraft:
        """Read a configuration; raises `ConfigUnreadableError` if it isn't JSON."""

    def count_upstreams(self, text: bytes) -> Mapping[str, int]:
        """Return the number of upstreams in a list that are not leaving, by service.

        Raises `ConfigUnreadableError` if the text is not the whole list.
        """

    def open_store(self, address: str) -> StoreReader:
        """Return a reader; raises `ConfigUnreadableError` if the address is invalid."""
