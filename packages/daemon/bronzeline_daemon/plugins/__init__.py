"""Contain the plug-ins that ship with the daemon, one module each."""
