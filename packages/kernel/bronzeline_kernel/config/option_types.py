"""Declare the types that settings are made of, with their ranges."""

from __future__ import annotations

from typing import Annotated

from pydantic import ConfigDict, Field

__all__ = [
    "STRICT",
    "ByteRate",
    "Count",
    "DurationMs",
    "KeyHash",
    "Name",
    "PathPrefix",
    "Port",
    "Rate",
    "Ratio",
    "Scope",
    "Secret",
    "Weight",
]

STRICT = ConfigDict(extra="forbid", strict=True)

ByteRate = Annotated[float, Field(ge=0)]
Count = Annotated[int, Field(gt=0)]
DurationMs = Annotated[float, Field(gt=0)]
KeyHash = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Name = Annotated[str, Field(min_length=1)]
PathPrefix = Annotated[str, Field(pattern=r"^/")]
Port = Annotated[int, Field(ge=0, le=65_535)]
Rate = Annotated[float, Field(gt=0)]
Ratio = Annotated[float, Field(ge=0, le=1)]
Scope = Annotated[str, Field(pattern=r"^(workspace|service|model):.+$")]
Secret = Annotated[str, Field(min_length=16)]
Weight = Annotated[float, Field(gt=0)]
