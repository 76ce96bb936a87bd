"""Read the metrics of routers that forward the platform's requests."""

from __future__ import annotations

from prometheus_client.parser import text_string_to_metric_families

from bronzeline_daemon.plugins.http_client import HttpClient
from bronzeline_kernel.exceptions import BronzelineError, UpstreamError

__all__ = ["MetricsClient", "MetricsError"]

OK = 200


class MetricsError(BronzelineError):
    """Report metrics that could not be read."""


class MetricsClient:
    """Read a router's metrics from its metrics address."""

    def __init__(self, timeout_ms: float) -> None:
        self._timeout_ms = timeout_ms
        self._http = HttpClient()

    async def read(self, address: str) -> dict[str, float]:
        """Return the sum of each metric's samples by name and first label value.

        A sample without labels has its name as key, one with labels `name/value`.
        Raises `MetricsError` if the address does not respond with metrics.
        """
        try:
            response = await self._http.call(address, timeout_ms=self._timeout_ms)
        except UpstreamError as error:
            raise MetricsError(f"{address} can't be reached: {error}") from None
        if response.code != OK:
            raise MetricsError(f"{address} responded with status {response.code}")
        try:
            return _sums(response.body.decode())
        except ValueError as error:
            raise MetricsError(f"{address} has no metrics: {error}") from None


def _sums(text: str) -> dict[str, float]:
    sums: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            label = next(iter(sample.labels.values()), None)
            key = sample.name if label is None else f"{sample.name}/{label}"
            sums[key] = sums.get(key, 0.0) + sample.value
    return sums
