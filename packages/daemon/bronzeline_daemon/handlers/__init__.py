"""Serve the callers' HTTP API, one module per kind of endpoint."""
