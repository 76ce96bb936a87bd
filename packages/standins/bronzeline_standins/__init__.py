"""Emulate the systems around bronzeline's routers, and benchmark the routers."""

from bronzeline_kernel import __version__

__all__ = ["__version__"]
