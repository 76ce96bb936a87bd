"""Load the settings for the connection to a fleet, and create its clients."""

from __future__ import annotations

from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any

from pydantic import Field
from pydantic.dataclasses import dataclass

from bronzeline_daemon.plugins.http_store import HttpStore
from bronzeline_kernel.config import load_document, load_file
from bronzeline_kernel.config.option_types import STRICT, DurationMs
from bronzeline_kernel.exceptions import BronzelineError

__all__ = ["Connection", "ConnectionSettings", "load_connection"]

Url = Annotated[str, Field(pattern=r"^https?://[^/]+$")]


class ConnectionMissingError(BronzelineError):
    """Report that an address needed to reach the fleet is not configured."""


@dataclass(frozen=True, config=STRICT)
class ConnectionSettings:
    """Hold the fleet's addresses, the operator's key and the request timeout."""

    object_store: Url | None = None
    routers: tuple[Url, ...] = ()
    key: str = ""
    timeout_ms: DurationMs = 5_000.0


class Connection:
    """Give access to the object API and the routers of a fleet."""

    def __init__(self, settings: ConnectionSettings) -> None:
        self.settings = settings

    @property
    def routers(self) -> tuple[str, ...]:
        """Return the routers' addresses; raises `ConnectionMissingError` if none."""
        if not self.settings.routers:
            raise ConnectionMissingError(
                "no router is known; give --router or BRONZELINE_ROUTERS"
            )
        return self.settings.routers

    def store(self) -> HttpStore:
        """Return an object API client; raises `ConnectionMissingError` if not set."""
        if self.settings.object_store is None:
            raise ConnectionMissingError(
                "the object API is not known; "
                "give --object-store or BRONZELINE_OBJECT_STORE"
            )
        return HttpStore(self.settings.object_store, self.settings.timeout_ms)


def load_connection(path: Path | None, **overrides: Any) -> Connection:
    """Load the settings file, if any; non-empty `overrides` take precedence.

    Raises `SettingsError` if a setting is invalid.
    """
    settings = load_file(ConnectionSettings, path) if path else ConnectionSettings()
    changes = {name: value for name, value in overrides.items() if value}
    data = {**asdict(settings), **changes}
    return Connection(load_document(ConnectionSettings, data, "the command line"))
