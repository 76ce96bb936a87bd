"""Implement the routers' state machines, without I/O."""

__all__ = ["__version__"]

__version__ = "0.1.0"
