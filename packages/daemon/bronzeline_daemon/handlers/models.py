"""Serve the list of available models."""

from __future__ import annotations

from bronzeline_daemon.handlers.base import CallerHandler

__all__ = ["ModelHandler", "ModelsHandler"]


class ModelsHandler(CallerHandler):
    """Serve `/v1/models`."""

    def get(self) -> None:
        """Return the models of all services, sorted by name."""
        if self.authenticate() is not None:
            rows = [_row(name, service) for name, service in _models(self).items()]
            self.finish({"object": "list", "data": rows})


class ModelHandler(CallerHandler):
    """Serve `/v1/models/NAME`."""

    def get(self, name: str) -> None:
        """Return the named model, or status 404 if no service has it."""
        if self.authenticate() is None:
            return
        service = _models(self).get(name)
        if service is None:
            self.refuse(404, "unknown_model", f"no model {name!r}", "not_run")
            return
        self.finish(_row(name, service))


def _models(handler: CallerHandler) -> dict[str, str]:
    services = handler.services.config_distribution.config.services
    service_by_model = {
        model: name for name, item in services.items() for model in item.models
    }
    return dict(sorted(service_by_model.items()))


def _row(name: str, service: str) -> dict[str, object]:
    return {"id": name, "object": "model", "created": 0, "owned_by": service}
