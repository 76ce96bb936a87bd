"""List the models that callers can ask for."""

from __future__ import annotations

from bronzeline_daemon.handlers.base import CallerHandler

__all__ = ["ModelHandler", "ModelsHandler"]


class ModelsHandler(CallerHandler):
    """Answer the model list."""

    def get(self) -> None:
        """List the models of every service."""
        if self.authenticate() is not None:
            rows = [_row(name, service) for name, service in _models(self).items()]
            self.finish({"object": "list", "data": rows})


class ModelHandler(CallerHandler):
    """Answer one model."""

    def get(self, name: str) -> None:
        """Describe the named model."""
        if self.authenticate() is None:
            return
        service = _models(self).get(name)
        if service is None:
            self.refuse(404, "unknown_model", f"no model {name!r}", "not_run")
            return
        self.finish(_row(name, service))


def _models(handler: CallerHandler) -> dict[str, str]:
    services = handler.daemon.rollout.config.services
    found = {model: name for name, item in services.items() for model in item.models}
    return dict(sorted(found.items()))


def _row(name: str, service: str) -> dict[str, object]:
    return {"id": name, "object": "model", "created": 0, "owned_by": service}
