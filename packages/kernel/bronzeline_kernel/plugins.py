"""Register plug-ins by kind and name and call their event listeners."""

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
    """Store the factories and event listeners that plug-ins register."""

    def __init__(self) -> None:
        self._factories: dict[tuple[str, str], Factory] = {}
        self._listeners: dict[str, list[Listener]] = {}
        self.on_listener_error: Callable[[str, Exception], None] = _ignore_failure

    def register(self, kind: str, name: str, factory: Factory) -> None:
        """Register a factory; raises `PluginError` if the name is taken."""
        if (kind, name) in self._factories:
            raise PluginError(f"two plug-ins register {kind} {name!r}; remove one")
        self._factories[kind, name] = factory

    def create(self, kind: str, name: str, **options: Any) -> Any:
        """Create a plug-in with its factory; raises `PluginError` if it is unknown."""
        if (kind, name) not in self._factories:
            raise PluginError(f"no {kind} plug-in {name!r}; {self._known_names(kind)}")
        return self._factories[kind, name](**options)

    def check(
        self, kind: str, name: str, options: Mapping[str, Any]
    ) -> Iterator[Finding]:
        """Yield path, message and fix for each problem with a name and its options."""
        factory = self._factories.get((kind, name))
        if factory is None:
            yield "plugin", f"no {kind} plug-in {name!r}", self._known_names(kind)
            return
        parameters = inspect.signature(factory).parameters
        for key in sorted(options.keys() - parameters.keys()):
            close = get_close_matches(key, parameters, n=1)
            fix = f"did you mean {close[0]!r}?" if close else "remove it"
            yield f"options/{key}", f"plug-in {name!r} has no option {key!r}", fix
        for key, parameter in parameters.items():
            if key not in options and parameter.default is parameter.empty:
                yield f"options/{key}", "this option is missing", "add it"
        # Imported here because pydantic takes 0.1 s to load, and a router that
        # restarts does not check its options.
        from bronzeline_kernel.plugin_types import check_types

        yield from check_types(factory, options)

    def names(self, kind: str) -> list[str]:
        """Return the sorted names of the registered plug-ins of a kind."""
        return sorted(name for known, name in self._factories if known == kind)

    def on(self, event: str, listener: Listener) -> None:
        """Add a listener to an event; raises `PluginError` if the event is unknown."""
        if event not in EVENTS:
            known = ", ".join(EVENTS)
            raise PluginError(f"no event {event!r}; known: {known}")
        self._listeners.setdefault(event, []).append(listener)

    def run_event(self, event: str, **arguments: Any) -> None:
        """Call the listeners of an event in order of registration.

        An exception from a listener is passed to `on_listener_error`; the other
        listeners are still called.
        """
        for listener in self._listeners.get(event, []):
            try:
                listener(**arguments)
            except Exception as error:
                self.on_listener_error(event, error)

    def _known_names(self, kind: str) -> str:
        return f"known: {', '.join(self.names(kind)) or 'none'}"


def load_plugins() -> PluginRegistry:
    """Return a registry with all plug-ins installed as entry points."""
    registry = PluginRegistry()
    for entry_point in sorted(
        entry_points(group=ENTRY_POINT_GROUP), key=lambda item: item.name
    ):
        entry_point.load().register(registry)
    return registry


def _ignore_failure(event: str, error: Exception) -> None:
    """Ignore the exception of a listener; the default of `on_listener_error`."""
