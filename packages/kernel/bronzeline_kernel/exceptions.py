"""Define the exceptions that bronzeline raises."""

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
    "ResponseTooLargeError",
    "SettingsError",
    "StoreError",
    "StoreResponseTooLargeError",
    "StoreUnavailableError",
    "StreamBrokenError",
    "StreamFencedError",
    "StreamNotOpenedError",
    "UpstreamError",
    "UpstreamRefusedError",
    "UpstreamUnreachableError",
]


class BronzelineError(Exception):
    """Serve as the base class of bronzeline's errors."""


@dataclass(frozen=True)
class Problem:
    """Describe a mistake in a settings or configuration document, and its fix."""

    source: str
    path: str
    message: str
    fix: str
    line: int | None = None

    def __str__(self) -> str:
        location = self.source if self.line is None else f"{self.source}:{self.line}"
        return f"{location}: {self.path}: {self.message} ({self.fix})"


class SettingsError(BronzelineError):
    """Report all problems found in a settings or configuration document."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        self.problems = problems
        super().__init__("\n".join(str(problem) for problem in problems))


class RequestError(BronzelineError):
    """Report an invalid request of a caller, with the error code to return."""

    def __init__(self, code: str, message: str, param: str | None = None) -> None:
        self.code = code
        self.param = param
        super().__init__(message)


class PluginError(BronzelineError):
    """Report an unknown plug-in or event, or a duplicate registration."""


class StoreError(BronzelineError):
    """Serve as the base class of errors of the platform's object API."""


class StoreUnavailableError(StoreError):
    """Report a call to the object API that certainly had no effect."""


class StoreResponseTooLargeError(StoreUnavailableError):
    """Report a call to the object API whose response exceeds what may be buffered."""


class AnswerLostError(StoreError):
    """Report a call to the object API that may or may not have taken effect."""


class ConflictError(StoreError):
    """Report a conditional write whose expected version did not match."""


class HistoryLostError(StoreError):
    """Report a watch from a revision from which the changes can't be read."""


class ConfigConflictError(BronzelineError):
    """Report a change that was rejected because another one was written first."""

    def __init__(self, expected: int, found: int, changes: tuple[str, ...]) -> None:
        self.expected_version = expected
        self.found_version = found
        self.changes = changes
        lines = [f"version {found} is in force, not {expected}; changed since:"]
        super().__init__("\n".join([*lines, *changes]))


class ConfigOutcomeUnknownError(BronzelineError):
    """Report a change that the store may or may not have applied."""

    def __init__(self, change_id: str) -> None:
        self.change_id = change_id
        super().__init__(
            f"the store did not confirm whether change {change_id} was made"
        )


class UpstreamError(BronzelineError):
    """Serve as the base class of errors of engines and plain services."""


class StreamNotOpenedError(UpstreamError):
    """Report a connection that ended before the upstream sent any response."""


class UpstreamUnreachableError(UpstreamError):
    """Report a request of which no byte can have reached the upstream.

    Because the caller may be told that the work has not run, a connector that is not
    certain raises `StreamBrokenError` instead.
    """


class UpstreamRefusedError(UpstreamError):
    """Report an upstream that responded that it will not run the request."""


class StreamFencedError(UpstreamRefusedError):
    """Report an engine that has accepted a request with a higher fencing number."""


class StreamBrokenError(UpstreamError):
    """Report a connection that failed after request bytes may have been sent."""


class ResponseTooLargeError(StreamBrokenError):
    """Report a response that exceeds what may be buffered."""
