"""Play a crest of streams whose callers retry at once, most from one workspace."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache
from random import Random

from bronzeline_kernel.tests.forwarding.load_player import (
    Caller,
    EngineSpeed,
    LoadPlayer,
)
from bronzeline_kernel.tests.forwarding.load_result import summarize

LENGTH_MS = 20_000.0
CREST_FROM_MS, CREST_TO_MS = 8_000.0, 11_000.0
RATE_PER_S = 3.6
CREST_FACTOR = 12.0
BUSY_SHARE = 0.7
SEEDS = (1, 2)


@dataclass
class Request:
    """Hold what one caller wants, over all its attempts."""

    is_busy_workspace: bool
    attempt: Caller
    n_attempts: int = 1


class RetryLoadPlayer:
    """Let refused callers send their requests again at once, several times."""

    def __init__(self, n_retries, seed):
        self.n_retries = n_retries
        self.random = Random(seed)
        self.player = LoadPlayer(EngineSpeed(), seed=seed, n_slots=16)
        self.requests = []

    def play(self):
        """Return the requests once all have ended."""
        while self.player.now_ms < LENGTH_MS:
            is_busy = self.random.random() < BUSY_SHARE
            self.requests.append(Request(is_busy, self.player.send()))
            is_crest = CREST_FROM_MS <= self.player.now_ms < CREST_TO_MS
            rate_per_s = RATE_PER_S * (CREST_FACTOR if is_crest else 1.0)
            self.wait(self.random.expovariate(rate_per_s) * 1_000.0)
        while not all(item.attempt.outcome for item in self.requests):
            self.wait(100.0)
        return self.requests

    def wait(self, duration_ms):
        self.player.wait(duration_ms)
        for request in self.requests:
            attempt = request.attempt
            left_ms = attempt.deadline_ms - self.player.now_ms
            may_retry = request.n_attempts <= self.n_retries and left_ms > 0.0
            if attempt.outcome == "not_run" and may_retry:
                request.n_attempts += 1
                request.attempt = self.player.send(budget_ms=left_ms)


@cache
def play_all(n_retries):
    """Play the load with each seed; return the requests of all."""
    return [
        request for seed in SEEDS for request in RetryLoadPlayer(n_retries, seed).play()
    ]


def measure(n_retries, is_busy_workspace=None):
    """Return what callers got, of one kind of workspace or of all."""
    return summarize(
        [
            item.attempt
            for item in play_all(n_retries)
            if is_busy_workspace in (None, item.is_busy_workspace)
        ]
    )
