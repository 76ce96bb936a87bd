"""Register plug-ins by kind and name and call their named events."""

from __future__ import annotations

import inspect
from collections.abc import Callable, Iterator, Mapping
from difflib import get_close_matches
from importlib.metadata import entry_points
from typing import Any

from bronzeline_kernel.exceptions import PluginError

__all__ = ["ENTRY_POINT_GROUP", "EVENTS", "PluginRegistry", "load_plugins"]

ENTRY_POINT_GROUP = "bronzeline.plugins"
EVENTS = {
    "startup": "The daemon listens; arguments: daemon.",
    "decision": "A decision was recorded; arguments: decision.",
    "shutdown": "The daemon has finished its work; arguments: daemon.",
}

Factory = Callable[..., Any]
Listener = Callable[..., None]
Finding = tuple[str, str, str]


class PluginRegistry:
    """Hold the factories that plug-ins registered and their event listeners."""

    def __init__(self) -> None:
        self._factories: dict[tuple[str, str], Factory] = {}
        self._listeners: dict[str, list[Listener]] = {}
        self.on_listener_error: Callable[[str, Exception], None] = _ignore

    def register(self, kind: str, name: str, factory: Factory) -> None:
        """Register a factory; raises `PluginError` when the name is taken."""
        if (kind, name) in self._factories:
            raise PluginError(f"two plug-ins register {kind} {name!r}; remove one")
        self._factories[kind, name] = factory

    def create(self, kind: str, name: str, **options: Any) -> Any:
        """Create a plug-in's object; raises `PluginError` when unknown."""
        if (kind, name) not in self._factories:
            raise PluginError(f"no {kind} plug-in {name!r}; {self._known(kind)}")
        return self._factories[kind, name](**options)

    def check(
        self, kind: str, name: str, options: Mapping[str, Any]
    ) -> Iterator[Finding]:
        """Find what is wrong with a plug-in's name and options."""
        factory = self._factories.get((kind, name))
        if factory is None:
            yield "plugin", f"no {kind} plug-in {name!r}", self._known(kind)
            return
        parameters = inspect.signature(factory).parameters
        for key in sorted(options.keys() - parameters.keys()):
            close = get_close_matches(key, parameters, n=1)
            fix = f"did you mean {close[0]!r}?" if close else "remove it"
            yield f"options/{key}", f"plug-in {name!r} has no option {key!r}", fix
        for key, parameter in parameters.items():
            if key not in options and parameter.default is parameter.empty:
                yield f"options/{key}", "this option is missing", "add it"
        # A router that starts again checks nothing, and the library that does
        # takes a tenth of a second to load.
        from bronzeline_kernel.plugin_types import check_types

        yield from check_types(factory, options)

    def names(self, kind: str) -> list[str]:
        """List the registered names of one kind."""
        return sorted(name for known, name in self._factories if known == kind)

    def on(self, event: str, listener: Listener) -> None:
        """Call the listener whenever one of `EVENTS` is run."""
        if event not in EVENTS:
            known = ", ".join(EVENTS)
            raise PluginError(f"no event {event!r}; known: {known}")
        self._listeners.setdefault(event, []).append(listener)

    def run_event(self, event: str, **arguments: Any) -> None:
        """Call the listeners of a named event in order of registration.

        What a listener raises goes to `on_failure` and stops nothing.
        """
        for listener in self._listeners.get(event, []):
            try:
                listener(**arguments)
            except Exception as error:
                self.on_listener_error(event, error)

    def _known(self, kind: str) -> str:
        return f"known: {', '.join(self.names(kind)) or 'none'}"


def load_plugins() -> PluginRegistry:
    """Load every installed plug-in and let it register itself."""
    registry = PluginRegistry()
    for entry_point in sorted(
        entry_points(group=ENTRY_POINT_GROUP), key=lambda item: item.name
    ):
        entry_point.load().register(registry)
    return registry


def _ignore(event: str, error: Exception) -> None:
    """Take a listener's failure where nobody asked for it."""
