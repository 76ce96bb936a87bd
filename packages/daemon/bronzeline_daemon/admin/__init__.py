"""Serve the operators' HTTP API of this router."""

from bronzeline_daemon.admin.routes import admin_routes

__all__ = ["admin_routes"]
