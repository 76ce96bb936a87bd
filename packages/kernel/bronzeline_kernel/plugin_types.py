"""Validate plug-in options against the factories' type annotations."""

from __future__ import annotations

import inspect
from collections.abc import Callable, Iterator, Mapping
from typing import Any, get_type_hints

from pydantic import ConfigDict, TypeAdapter, ValidationError

__all__ = ["check_types"]


def check_types(
    factory: Callable[..., Any], options: Mapping[str, Any]
) -> Iterator[tuple[str, str, str]]:
    """Yield path, message and fix for each option that doesn't match its annotation."""
    target = factory.__init__ if inspect.isclass(factory) else factory
    hints = get_type_hints(target)
    for key in sorted(options.keys() & hints.keys()):
        try:
            adapter = TypeAdapter(hints[key], config=ConfigDict(strict=True))
            adapter.validate_python(options[key])
        except ValidationError as error:
            message = f"{error.errors()[0]['msg']}, not {options[key]!r}"
            yield f"options/{key}", message, "give a value of the named type"
