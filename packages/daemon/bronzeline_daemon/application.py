"""Map URL paths to request handlers."""

from __future__ import annotations

from tornado.web import Application

from bronzeline_daemon.admin import admin_routes
from bronzeline_daemon.handlers.base import NotFoundHandler
from bronzeline_daemon.handlers.completions import (
    ChatCompletionsHandler,
    CompletionsHandler,
)
from bronzeline_daemon.handlers.health import (
    HealthHandler,
    MetricsHandler,
    ReadyHandler,
)
from bronzeline_daemon.handlers.models import ModelHandler, ModelsHandler
from bronzeline_daemon.handlers.plain import PlainHandler
from bronzeline_daemon.router_services import RouterServices

__all__ = ["make_application"]


def make_application(services: RouterServices) -> Application:
    """Return the web application of one router."""
    options = {"services": services}
    return Application(
        [
            (r"/v1/chat/completions", ChatCompletionsHandler, options),
            (r"/v1/completions", CompletionsHandler, options),
            (r"/v1/models", ModelsHandler, options),
            (r"/v1/models/([^/]+)", ModelHandler, options),
            (r"/services/([^/]+)(/.*)", PlainHandler, options),
            (r"/healthz", HealthHandler, options),
            (r"/metrics", MetricsHandler, options),
            (r"/readyz", ReadyHandler, options),
            *admin_routes(services),
        ],
        log_function=lambda handler: None,
        default_handler_class=NotFoundHandler,
        default_handler_args=options,
    )
