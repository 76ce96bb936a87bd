"""Emulate the systems around bronzeline's routers and measure them under load."""

from bronzeline_kernel import __version__

__all__ = ["__version__"]
