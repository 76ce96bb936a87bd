"""Provide the experiments: one module each, with a coroutine `run`."""
