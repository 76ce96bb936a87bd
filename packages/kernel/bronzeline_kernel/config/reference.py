"""Generate the reference page of all settings and options from their types."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from dataclasses import MISSING, Field, fields, is_dataclass
from typing import Any, Literal, get_args, get_origin, get_type_hints

from pydantic import TypeAdapter
from pydantic.fields import FieldInfo

from bronzeline_kernel.config.fleet_config import (
    ExceptionRule,
    FleetDefaults,
    Route,
    ServiceConfig,
    WorkspaceConfig,
)
from bronzeline_kernel.config.reference_notes import NOTES
from bronzeline_kernel.config.settings import Settings

__all__ = ["missing_notes", "reference_page"]

INTRODUCTION = """\
# Settings

This page is written from the option types:
`python -m bronzeline_kernel.config.reference > docs/user-guide/settings.md`.

Durations end in `_ms` (milliseconds) or `_s` (seconds); `_ratio` goes from 0
to 1. Unknown keys are refused.
"""
REQUIRED = "required"
PAGE_PARTS = (
    ("The settings of a router", (("", Settings),)),
    (
        "The configuration of a fleet",
        (
            ("defaults", FleetDefaults),
            ("exceptions/N", ExceptionRule),
            ("services/NAME", ServiceConfig),
            ("services/NAME/routes/N", Route),
            ("workspaces/NAME", WorkspaceConfig),
        ),
    ),
)
LIMIT_PHRASES = {
    "exclusiveMinimum": "above",
    "minimum": "at least",
    "exclusiveMaximum": "below",
    "maximum": "at most",
    "minLength": "at least characters:",
    "pattern": "pattern",
}


def reference_page() -> str:
    """Return the reference page as Markdown."""
    sections = [INTRODUCTION]
    for title, tables in PAGE_PARTS:
        sections.append(f"## {title}\n")
        for path, kind in tables:
            sections.extend(_table_sections(path, kind))
    return "\n".join(sections)


def missing_notes() -> list[str]:
    """Return the sorted names of options without a description in `NOTES`."""
    names = [
        name
        for _, tables in PAGE_PARTS
        for _, kind in tables
        for name in _option_names(kind)
    ]
    return sorted(name for name in names if name not in NOTES)


def _table_sections(
    path: str, kind: type[Any], is_optional: bool = False
) -> Iterator[str]:
    hints = get_type_hints(kind, include_extras=True)
    sections = [item for item in fields(kind) if _is_section(hints[item.name])]
    rows = [
        _table_row(kind, item, hints) for item in fields(kind) if item not in sections
    ]
    if rows:
        heading = f"### `{path}`" if path else "### at the top"
        addition = " May be left out." if is_optional else ""
        yield f"{heading}\n\n{kind.__doc__}{addition}\n"
        yield "| Key | Type | Default | Meaning |\n| --- | --- | --- | --- |"
        yield "\n".join(rows) + "\n"
    for item in sections:
        subpath = f"{path}/{item.name}".lstrip("/")
        yield from _table_sections(
            subpath, hints[item.name], _format_default(item) != REQUIRED
        )


def _table_row(kind: type[Any], item: Field[Any], hints: dict[str, Any]) -> str:
    note = NOTES.get(f"{kind.__name__}.{item.name}", "")
    cells = (
        f"`{item.name}`",
        _format_type(hints[item.name]),
        _format_default(item),
        note,
    )
    return f"| {' | '.join(cells)} |"


def _option_names(kind: type[Any]) -> Iterator[str]:
    hints = get_type_hints(kind, include_extras=True)
    for item in fields(kind):
        if _is_section(hints[item.name]):
            yield from _option_names(hints[item.name])
        else:
            yield f"{kind.__name__}.{item.name}"


def _is_section(hint: Any) -> bool:
    return is_dataclass(hint)


def _format_type(hint: Any) -> str:
    if get_origin(hint) is Literal:
        return " or ".join(f"`{value}`" for value in get_args(hint))
    schema = TypeAdapter(hint).json_schema()
    if "anyOf" in schema:
        return " or ".join(_format_schema(item) for item in schema["anyOf"])
    return _format_schema(schema)


def _format_schema(schema: dict[str, Any]) -> str:
    words = [str(schema.get("type", "any"))]
    words.extend(
        f"{phrase} `{_format_limit(schema[name])}`"
        for name, phrase in LIMIT_PHRASES.items()
        if name in schema
    )
    return ", ".join(words)


def _format_limit(value: Any) -> str:
    return value.replace("|", "\\|") if isinstance(value, str) else f"{value:g}"


def _format_default(item: Field[Any]) -> str:
    default = item.default
    if isinstance(default, FieldInfo):
        default = default.get_default(call_default_factory=True)
    if item.default_factory is not MISSING:
        default = item.default_factory()
    if default is MISSING:
        return REQUIRED
    if default in ({}, (), None):
        return "none"
    text = f"{default:.10g}" if isinstance(default, float) else str(default)
    return f"`{text}`" if text else "empty"


if __name__ == "__main__":
    sys.stdout.write(reference_page())
