"""Read the platform's list of VMs over HTTP."""

from __future__ import annotations

import msgspec

from bronzeline_daemon.plugins.http_client import HttpClient
from bronzeline_kernel.exceptions import StoreUnavailableError, UpstreamError
from bronzeline_kernel.plugins import PluginRegistry
from bronzeline_kernel.protocols import VmListing

__all__ = ["HttpVmList", "register"]

TIMEOUT_MS = 1_000.0


class HttpVmList:
    """Read the list of VMs from the platform's HTTP endpoint."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._client = HttpClient()

    async def read(self) -> VmListing:
        """Return the list of VMs; raises `StoreUnavailableError`."""
        try:
            response = await self._client.call(
                f"{self._url}/vms", timeout_ms=TIMEOUT_MS
            )
        except UpstreamError as error:
            raise StoreUnavailableError(str(error)) from None
        if response.code != 200:
            raise StoreUnavailableError(f"the list of VMs answered {response.code}")
        try:
            return msgspec.json.decode(response.body, type=VmListing)
        except (ValueError, RecursionError) as error:
            raise StoreUnavailableError(f"the list of VMs: {error}") from None


def register(registry: PluginRegistry) -> None:
    """Register the VM list reader under the name `http`."""
    registry.register("vm_list", "http", HttpVmList)
