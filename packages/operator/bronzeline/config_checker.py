"""Check a configuration against what is in force, as far as that can be read."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

import click

from bronzeline_kernel.config_check import (
    ConfigDraft,
    ConfigFormat,
    ConfigUnreadableError,
    Difference,
    Finding,
    Severity,
    StoreReader,
    check_config,
    find_differences,
)

__all__ = ["CheckResult", "ConfigChecker", "ConfigSources"]

ERRORS_STATUS = 1
UNREADABLE_STATUS = 2
# Bounds what is read of a list of upstreams; 100,000 entries have about 25 MB.
MAX_LIST_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True)
class ConfigSources:
    """Hold where the configuration and what is in force are read from.

    Files are paths, or `-` for standard input.
    """

    file: str
    current_file: str | None = None
    upstreams_file: str | None = None
    store: str | None = None
    prompt_tokens: Mapping[str, int] = field(default_factory=dict)


@dataclass
class CheckResult:
    """Hold what was found, and which of the named sources could not be read.

    `differences` is None without a version in force to compare with.
    """

    findings: list[Finding] = field(default_factory=list)
    differences: list[Difference] | None = None
    problems: list[str] = field(default_factory=list)
    is_checked: bool = False

    def exit_status(self, *, is_strict: bool) -> int:
        """Return the status for scripts; if strict, warnings count as errors."""
        if self.problems:
            return UNREADABLE_STATUS
        has_errors = any(
            is_strict or item.severity is Severity.ERROR for item in self.findings
        )
        return ERRORS_STATUS if has_errors else 0


class ConfigChecker:
    """Read the sources of a check and apply the rules.

    A source that can't be read is added to the problems; the others still count.
    """

    def __init__(self, sources: ConfigSources, config_format: ConfigFormat) -> None:
        self._sources = sources
        self._format = config_format
        self.result = CheckResult()

    def run(self) -> CheckResult:
        """Return what was found."""
        draft = self._read_draft()
        if draft is None:
            return self.result
        current = self._read_current()
        n_upstreams = self._count_upstreams()
        prompt_tokens = self._sources.prompt_tokens
        for name in sorted(prompt_tokens.keys() - draft.names["route"]):
            self._add_problem(f"route {name!r}", "there is no such route")
        self.result.findings += check_config(draft, current, n_upstreams, prompt_tokens)
        if current is not None:
            self.result.differences = list(find_differences(draft, current))
        return self.result

    def _read_draft(self) -> ConfigDraft | None:
        """Return the configuration, None if it is too large or can't be read."""
        file, max_bytes = self._sources.file, self._format.max_bytes
        try:
            text = _read(file, max_bytes)
            if text is not None:
                draft = self._format.read(text)
        except ConfigUnreadableError as error:
            self._add_problem(file, error)
            return None
        self.result.is_checked = True
        if text is not None:
            return draft
        message = (
            f"the file is larger than {max_bytes} bytes, which the store refuses; "
            "nothing else was checked"
        )
        self.result.findings.append(Finding(Severity.ERROR, "too_large", file, message))
        return None

    def _read_current(self) -> ConfigDraft | None:
        """Return the version in force, None if there is none to compare with."""
        file, address = self._sources.current_file, self._sources.store
        try:
            if file is not None:
                text = _read_whole(file, self._format.max_bytes)
                current: ConfigDraft | None = self._format.read(text)
            elif address is not None:
                current = asyncio.run(self._open_store(address).read_config())
            else:
                return None
            if current is not None and current.version is None:
                raise ConfigUnreadableError("there is no readable version number")
        except ConfigUnreadableError as error:
            self._add_problem(file or address, error)
            return None
        return current

    def _count_upstreams(self) -> Mapping[str, int] | None:
        """Return the number of upstreams by service, None if it is not known."""
        file, address = self._sources.upstreams_file, self._sources.store
        try:
            if file is not None:
                return self._format.count_upstreams(_read_whole(file, MAX_LIST_BYTES))
            if address is not None:
                return asyncio.run(self._open_store(address).count_upstreams())
        except ConfigUnreadableError as error:
            self._add_problem(file or address, error)
        return None

    def _open_store(self, address: str) -> StoreReader:
        return self._format.open_store(address)

    def _add_problem(self, source: str | None, error: object) -> None:
        self.result.problems.append(f"{source}: {error}")


def _read(file: str, max_bytes: int) -> bytes | None:
    """Return the content of a file, None if it has more than `max_bytes`."""
    try:
        with click.open_file(file, "rb") as opened:
            text: bytes = opened.read(max_bytes + 1)
    except OSError as error:
        raise ConfigUnreadableError(error.strerror or str(error)) from None
    return text if len(text) <= max_bytes else None


def _read_whole(file: str, max_bytes: int) -> bytes:
    text = _read(file, max_bytes)
    if text is None:
        raise ConfigUnreadableError(f"the file is larger than {max_bytes} bytes")
    return text
