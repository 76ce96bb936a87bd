"""Run the kernel's state machines in a tornado server."""

from bronzeline_kernel import __version__

__all__ = ["__version__"]
