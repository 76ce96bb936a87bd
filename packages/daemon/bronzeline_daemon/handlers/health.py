"""Serve the health checks of the load balancer and the metrics."""

from __future__ import annotations

from bronzeline_daemon.handlers.base import CallerHandler

__all__ = ["HealthHandler", "MetricsHandler", "ReadyHandler"]


class HealthHandler(CallerHandler):
    """Serve the liveness check."""

    def get(self) -> None:
        """Return status 200 as long as the event loop runs."""
        self.finish("ok\n")


class ReadyHandler(CallerHandler):
    """Serve the readiness check."""

    def get(self) -> None:
        """Return status 200 if the router accepts new work, else 503."""
        if not self.services.lifecycle.is_ready:
            self.set_status(503)
        self.finish("ready\n" if self.services.lifecycle.is_ready else "not ready\n")


class MetricsHandler(CallerHandler):
    """Serve the metrics of this router."""

    def get(self) -> None:
        """Return all metrics in the Prometheus text format."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.services.metrics.expose())
