"""Read the metrics of routers that forward the platform's requests."""

from __future__ import annotations

from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families

from bronzeline_daemon.plugins.http_client import HttpClient
from bronzeline_kernel.exceptions import BronzelineError, UpstreamError

__all__ = ["LabelledValue", "MetricsClient", "MetricsError"]

OK = 200


class MetricsError(BronzelineError):
    """Report metrics that could not be read."""


@dataclass(frozen=True)
class LabelledValue:
    """Represent one sample of a metric."""

    name: str
    labels: dict[str, str]
    value: float


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
        sums: dict[str, float] = {}
        for sample in await self.read_samples(address):
            label = next(iter(sample.labels.values()), None)
            key = sample.name if label is None else f"{sample.name}/{label}"
            sums[key] = sums.get(key, 0.0) + sample.value
        return sums

    async def read_samples(self, address: str) -> list[LabelledValue]:
        """Return all samples; raises `MetricsError` as `read` does."""
        try:
            response = await self._http.call(address, timeout_ms=self._timeout_ms)
        except UpstreamError as error:
            raise MetricsError(f"{address} can't be reached: {error}") from None
        if response.code != OK:
            raise MetricsError(f"{address} responded with status {response.code}")
        try:
            return _parse(response.body.decode())
        except ValueError as error:
            raise MetricsError(f"{address} has no metrics: {error}") from None


def _parse(text: str) -> list[LabelledValue]:
    return [
        LabelledValue(sample.name, dict(sample.labels), sample.value)
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    ]
