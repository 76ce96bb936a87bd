"""Define the errors that bronzeline shows to its users."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "AnswerLostError",
    "BronzelineError",
    "ConfigConflictError",
    "ConfigOutcomeUnknownError",
    "ConflictError",
    "HistoryLostError",
    "PluginError",
    "Problem",
    "RequestError",
    "SettingsError",
    "StoreError",
    "StoreUnavailableError",
    "StreamBrokenError",
    "StreamFencedError",
    "StreamNotOpenedError",
    "UpstreamError",
    "UpstreamRefusedError",
    "UpstreamUnreachableError",
]


class BronzelineError(Exception):
    """Be the root of every error that bronzeline raises on purpose."""


@dataclass(frozen=True)
class Problem:
    """Name one mistake in the settings, its place and its mend."""

    source: str
    path: str
    message: str
    fix: str
    line: int | None = None

    def __str__(self) -> str:
        place = self.source if self.line is None else f"{self.source}:{self.line}"
        return f"{place}: {self.path}: {self.message} ({self.fix})"


class SettingsError(BronzelineError):
    """Report every problem found in one settings document."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        self.problems = problems
        super().__init__("\n".join(str(problem) for problem in problems))


class RequestError(BronzelineError):
    """Report a caller's request that can't be accepted as it is."""

    def __init__(self, code: str, message: str, param: str | None = None) -> None:
        self.code = code
        self.param = param
        super().__init__(message)


class PluginError(BronzelineError):
    """Report a plug-in that is missing or failed to register."""


class StoreError(BronzelineError):
    """Be the root of the errors of the platform's object API."""


class StoreUnavailableError(StoreError):
    """Report a call that the object API certainly did not carry out."""


class AnswerLostError(StoreError):
    """Report a call that may or may not have taken effect."""


class ConflictError(StoreError):
    """Report a conditional write whose expected version did not match."""


class HistoryLostError(StoreError):
    """Report a watch whose starting revision the store no longer keeps."""


class ConfigConflictError(BronzelineError):
    """Report a change that was not made because another came first."""

    def __init__(self, expected: int, found: int, changes: tuple[str, ...]) -> None:
        self.expected_version = expected
        self.found_version = found
        self.changes = changes
        lines = [f"version {found} is in force, not {expected}; changed since:"]
        super().__init__("\n".join([*lines, *changes]))


class ConfigOutcomeUnknownError(BronzelineError):
    """Report a change whose outcome the store would not tell yet."""

    def __init__(self, change_id: str) -> None:
        self.change_id = change_id
        super().__init__(f"the store did not say whether change {change_id} was made")


class UpstreamError(BronzelineError):
    """Be the root of the errors of engines and plain services."""


class StreamNotOpenedError(UpstreamError):
    """Report a connection that ended before the upstream answered anything."""


class UpstreamUnreachableError(UpstreamError):
    """Report a request of which no byte can have reached the upstream."""


class UpstreamRefusedError(UpstreamError):
    """Report an upstream that answered that it will not run the request."""


class StreamFencedError(UpstreamRefusedError):
    """Report an engine that follows an order with a higher fencing number."""


class StreamBrokenError(UpstreamError):
    """Report a connection that broke after bytes may have been sent."""
