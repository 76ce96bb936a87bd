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
    """Poll the list of VMs."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._caller = HttpClient()

    async def read(self) -> VmListing:
        """Return the list; raises `StoreUnavailableError`."""
        try:
            response = await self._caller.call(
                f"{self._url}/vms", timeout_ms=TIMEOUT_MS
            )
        except UpstreamError as error:
            raise StoreUnavailableError(str(error)) from None
        if response.code != 200:
            raise StoreUnavailableError(f"the list of VMs answered {response.code}")
        return msgspec.json.decode(response.body, type=VmListing)


def register(registry: PluginRegistry) -> None:
    """Register the VM list reader under the name http."""
    registry.register("vm_list", "http", HttpVmList)
