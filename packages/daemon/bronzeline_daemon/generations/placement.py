"""Find the earlier run of a request that is resent without an event id."""

from __future__ import annotations

from collections.abc import Callable

from bronzeline_daemon.peers import PeerIdentity, PeerNetwork
from bronzeline_kernel.generation import (
    GenerationPlaced,
    PlacementAnswered,
    PlacementAsked,
    PlacementDirectory,
    directory_ids,
)
from bronzeline_kernel.membership import Members
from bronzeline_kernel.protocols import Clock

__all__ = ["PlacementClient"]

MAX_QUESTIONS = 10_000

OnFound = Callable[[GenerationPlaced], None]


class PlacementClient:
    """Publish and look up which generation runs for a request key."""

    def __init__(self, peers: PeerNetwork, members: Members, clock: Clock) -> None:
        self._peers = peers
        self._members = members
        self._clock = clock
        self._directory = PlacementDirectory()
        self._questions: dict[int, OnFound] = {}
        self._n_questions = 0
        peers.on(GenerationPlaced, self._on_placed)
        peers.on(PlacementAsked, self._on_asked)
        peers.on(PlacementAnswered, self._on_answered)

    def place(self, placement: GenerationPlaced) -> None:
        """Publish the current placement of a key's generation."""
        for router_id in self._directory_ids(placement.request_key):
            if router_id == self._peers.own_id:
                self._directory.place(placement, self._clock.now_ms())
            else:
                self._peers.send(router_id, placement)

    def ask(self, request_key: str, on_found: OnFound) -> None:
        """Query the directory; call back with the own entry and the first peer's."""
        self._n_questions += 1
        number = self._n_questions
        self._questions[number] = on_found
        if len(self._questions) > MAX_QUESTIONS:
            del self._questions[next(iter(self._questions))]
        for router_id in self._directory_ids(request_key):
            if router_id != self._peers.own_id:
                self._peers.send(router_id, PlacementAsked(number, request_key))
        own_entry = self._directory.find(request_key)
        if own_entry is not None:
            on_found(own_entry)

    def expire(self, now_ms: float) -> None:
        """Remove expired placements from this router's share of the directory."""
        self._directory.expire(now_ms)

    def _directory_ids(self, request_key: str) -> list[str]:
        alive_ids = [item.router_id for item in self._members.alive()]
        return directory_ids(request_key, [*alive_ids, self._peers.own_id])

    def _on_placed(self, sender: PeerIdentity, message: GenerationPlaced) -> None:
        self._directory.place(message, self._clock.now_ms())

    def _on_asked(self, sender: PeerIdentity, message: PlacementAsked) -> None:
        placement = self._directory.find(message.request_key)
        if placement is not None:
            answer = PlacementAnswered(message.question_id, placement)
            self._peers.send(sender.router_id, answer)

    def _on_answered(self, sender: PeerIdentity, message: PlacementAnswered) -> None:
        on_found = self._questions.pop(message.question_id, None)
        if on_found is not None:
            on_found(message.placement)
