"""Read JSON with comments into validated, typed documents."""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, TypeVar

import json5
import msgspec
from pydantic import TypeAdapter, ValidationError

from bronzeline_kernel.config.lines import find_line
from bronzeline_kernel.config.spelling import describe_unknown_key
from bronzeline_kernel.exceptions import Problem, SettingsError

__all__ = ["SourceFile", "load_document", "load_file", "read_file", "with_line_numbers"]

Document = TypeVar("Document")

UNKNOWN_KEY_TYPES = ("unexpected_keyword_argument", "extra_forbidden")
MISSING_TYPES = ("missing", "missing_argument")
SHAPE_TYPES = ("dataclass_type", "dict_type", "tuple_type")
MAX_SHOWN_CHARS = 40
ADAPTERS: dict[Any, TypeAdapter[Any]] = {}


@dataclass(frozen=True)
class SourceFile:
    """Hold the name, text and parsed data of a settings file."""

    name: str
    text: str
    data: Any


def load_document(kind: type[Document], data: Any, source: str) -> Document:
    """Validate a parsed document; raises `SettingsError` with all problems."""
    try:
        document: Document = _adapter(kind).validate_json(msgspec.json.encode(data))
    except ValidationError as error:
        problems = tuple(_to_problem(kind, source, item) for item in error.errors())
        raise SettingsError(problems) from None
    return document


def load_file(kind: type[Document], path: Path) -> Document:
    """Read and validate a settings file; raises `SettingsError` with all problems."""
    file = read_file(path)
    try:
        return load_document(kind, file.data, file.name)
    except SettingsError as error:
        raise SettingsError(with_line_numbers(file, error.problems)) from None


def read_file(path: Path) -> SourceFile:
    """Parse a JSON file with comments; raises `SettingsError` if it can't be read."""
    source = str(path)
    try:
        text = path.read_text(encoding="utf-8")
        return SourceFile(source, text, json5.loads(text))
    except OSError as error:
        message = error.strerror or str(error)
        problem = Problem(source, "/", message, "name a file that can be read")
    except ValueError as error:
        line, message = _split_syntax_error(error)
        problem = Problem(
            source, "/", message, "write JSON; comments are allowed", line
        )
    raise SettingsError((problem,)) from None


def with_line_numbers(
    file: SourceFile, problems: tuple[Problem, ...]
) -> tuple[Problem, ...]:
    """Add line numbers to the problems and sort them by line."""
    numbered = [
        replace(item, line=find_line(file.text, item.path)) for item in problems
    ]
    return tuple(sorted(numbered, key=lambda item: item.line or 0))


def _adapter(kind: type[Any]) -> TypeAdapter[Any]:
    if kind not in ADAPTERS:
        ADAPTERS[kind] = TypeAdapter(kind)
    return ADAPTERS[kind]


def _split_syntax_error(error: ValueError) -> tuple[int | None, str]:
    position, separator, message = str(error).partition(" ")
    number = position.rpartition(":")[2]
    if separator and number.isdigit():
        return int(number), message
    return None, str(error)


def _to_problem(kind: type[Any], source: str, item: Any) -> Problem:
    location = tuple(item["loc"])
    path = "/" + "/".join(str(part) for part in location)
    if item["type"] in UNKNOWN_KEY_TYPES:
        return Problem(source, path, *describe_unknown_key(kind, location))
    if item["type"] in MISSING_TYPES:
        return Problem(source, path, "this key is missing", "add it")
    message = item["msg"]
    if item["type"] not in SHAPE_TYPES:
        message = f"{message}, not {_format_value(item['input'])}"
    return Problem(source, path, message, "give a value of the named type and range")


def _format_value(value: Any) -> str:
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= MAX_SHOWN_CHARS else f"{text[:MAX_SHOWN_CHARS]}..."
