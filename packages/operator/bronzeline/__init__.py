"""Provide the operators' command-line client for a fleet."""

from bronzeline_kernel import __version__

__all__ = ["__version__"]
