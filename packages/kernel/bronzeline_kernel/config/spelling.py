"""Suggest corrections for unknown keys."""

from __future__ import annotations

from dataclasses import fields, is_dataclass
from difflib import get_close_matches
from typing import Any, get_args, get_origin, get_type_hints

__all__ = ["describe_unknown_key", "known_keys"]

UNITS = {
    "ms": "milliseconds",
    "s": "seconds",
    "us": "microseconds",
    "ns": "nanoseconds",
    "min": "minutes",
    "h": "hours",
    "bytes": "bytes",
    "kb": "kilobytes",
    "mb": "megabytes",
    "ratio": "a ratio from 0 to 1",
    "percent": "percent",
}


def describe_unknown_key(kind: type[Any], location: tuple[Any, ...]) -> tuple[str, str]:
    """Return the problem with an unknown key and a suggested fix."""
    *parents, key = location
    known = known_keys(kind, tuple(parents))
    for name in known:
        if _stem(name) == _stem(str(key)) and _unit(name):
            unit = UNITS[_unit(name)]
            return f"{key!r} has the wrong unit", f"write {name!r}, in {unit}"
    close = get_close_matches(str(key), known, n=1)
    if close:
        return f"no key {key!r} is known here", f"did you mean {close[0]!r}?"
    return f"no key {key!r} is known here", f"remove it; known: {', '.join(known)}"


def known_keys(kind: Any, location: tuple[Any, ...]) -> list[str]:
    """Return the valid keys at a location in a document of this kind."""
    for part in location:
        kind = _type_at(kind, part)
    return [item.name for item in fields(kind)] if is_dataclass(kind) else []


def _type_at(kind: Any, part: Any) -> Any:
    if is_dataclass(kind) and isinstance(kind, type):
        return get_type_hints(kind).get(part)
    arguments = get_args(kind)
    if get_origin(kind) is dict:
        return arguments[1]
    return arguments[0] if arguments else None


def _unit(name: str) -> str:
    unit = name.rpartition("_")[2]
    return unit if unit in UNITS else ""


def _stem(name: str) -> str:
    unit = _unit(name)
    return name.removesuffix(f"_{unit}") if unit else name
