"""Learn how fast engines read prompts and send events."""

from __future__ import annotations

from dataclasses import dataclass, field

from bronzeline_kernel.forwarding.answer_pace import AnswerPace

__all__ = ["EnginePace", "Estimate"]

# Weight of a new value in the moving averages: they follow a change of pace within
# some tens of prompts.
PROMPT_WEIGHT = 0.1
GAP_WEIGHT = 0.02
# Times and deviations in milliseconds until engines have been observed.
FIRST_PROMPT_TOKEN_MS = 0.32
FIRST_PROMPT_TOKEN_DEVIATION_MS = 0.08
FIRST_FASTEST_TOKEN_MS = 0.2
FIRST_PROMPT_MS = 1_600.0
FIRST_PROMPT_DEVIATION_MS = 400.0
FIRST_GAP_MS = 45.0
FIRST_GAP_DEVIATION_MS = 15.0
FIRST_RESUME_MS = 120.0
FIRST_RESUME_DEVIATION_MS = 20.0
# A value counts as at most this many times the mean, so that one stuck engine does
# not pass for the pace of all.
MAX_RATIO = 4.0
# The fastest time is raised by this share with each slower one, so that it follows
# engines that are replaced by slower ones.
FASTEST_RISE = 0.03


@dataclass
class Estimate:
    """Hold a moving average of a time and of its mean deviation."""

    mean: float
    deviation: float
    weight: float

    def record(self, value: float) -> None:
        """Update the averages with a new value."""
        value = min(value, MAX_RATIO * self.mean)
        self.deviation += self.weight * (abs(value - self.mean) - self.deviation)
        self.mean += self.weight * (value - self.mean)

    def upper_bound(self, n_deviations: float) -> float:
        """Return the mean plus so many deviations."""
        return self.mean + n_deviations * self.deviation


@dataclass
class EnginePace:
    """Estimate the times of a service's engines from what a router sees."""

    # For each token of the prompt, with the usual waiting.
    _per_prompt_token: Estimate = field(
        default_factory=lambda: Estimate(
            FIRST_PROMPT_TOKEN_MS, FIRST_PROMPT_TOKEN_DEVIATION_MS, PROMPT_WEIGHT
        )
    )
    _fastest_per_prompt_token_ms: float = FIRST_FASTEST_TOKEN_MS
    _prompt: Estimate = field(
        default_factory=lambda: Estimate(
            FIRST_PROMPT_MS, FIRST_PROMPT_DEVIATION_MS, PROMPT_WEIGHT
        )
    )
    _gap: Estimate = field(
        default_factory=lambda: Estimate(
            FIRST_GAP_MS, FIRST_GAP_DEVIATION_MS, GAP_WEIGHT
        )
    )
    answers: AnswerPace = field(default_factory=AnswerPace)
    _resume: Estimate = field(
        default_factory=lambda: Estimate(
            FIRST_RESUME_MS, FIRST_RESUME_DEVIATION_MS, PROMPT_WEIGHT
        )
    )

    def record_prompt(self, n_tokens: int, took_ms: float) -> None:
        """Record the time from sending a prompt to the first event."""
        if n_tokens <= 0 or took_ms <= 0.0:
            return
        per_token_ms = took_ms / n_tokens
        self._prompt.record(took_ms)
        self._per_prompt_token.record(per_token_ms)
        slower_ms = (1.0 + FASTEST_RISE) * self._fastest_per_prompt_token_ms
        self._fastest_per_prompt_token_ms = min(per_token_ms, slower_ms)

    def record_gap(self, gap_ms: float) -> None:
        """Record the time between two events of a stream."""
        self._gap.record(gap_ms)

    def record_resume(self, took_ms: float) -> None:
        """Record the time from sending a resume to its first event."""
        self._resume.record(took_ms)

    @property
    def usual_prompt_ms(self) -> float:
        """Return how long a prompt of the usual length takes."""
        return self._prompt.mean

    def prompt_ms(self, n_tokens: int) -> float:
        """Return how long a prompt of this length usually takes."""
        return n_tokens * self._per_prompt_token.mean

    def fastest_prompt_ms(self, n_tokens: float) -> float:
        """Return how long a prompt of this length takes at least."""
        return n_tokens * self._fastest_per_prompt_token_ms

    def longest_gap_ms(self) -> float:
        """Return a time that few gaps between events exceed."""
        return self._gap.upper_bound(4.0)

    def longest_resume_ms(self) -> float:
        """Return a time that few resumes exceed."""
        return self._resume.upper_bound(3.0)
