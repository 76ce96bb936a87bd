"""Hold one router's view of the other routers."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from xxhash import xxh64_intdigest

from bronzeline_kernel.fleet import RouterInfo
from bronzeline_kernel.membership.messages import MemberEvent, MemberState

__all__ = ["Member", "Members"]

UNKNOWN_INCARNATION = 0
USABLE_STATES = (MemberState.ALIVE, MemberState.SUSPECTED)
DOUBTFUL_STATES = (MemberState.SUSPECTED, MemberState.FAILED)


@dataclass(frozen=True)
class Member:
    """Hold what is believed of one router, and since when."""

    info: RouterInfo
    incarnation: int = UNKNOWN_INCARNATION
    revision: int = 0
    state: MemberState = MemberState.ALIVE
    changed_at_ms: float = 0.0

    @property
    def order(self) -> tuple[int, int, int]:
        """Return what an event must exceed to count."""
        return (self.incarnation, self.revision, int(self.state))

    def event(self, *, is_brief: bool = False) -> MemberEvent:
        """Return the belief for peers, without address if they know it."""
        info = self.info
        if is_brief:
            return MemberEvent(
                info.router_id, self.incarnation, self.revision, self.state
            )
        return MemberEvent(
            info.router_id,
            self.incarnation,
            self.revision,
            self.state,
            info.host,
            info.peer_port,
            info.availability_zone,
            info.region,
        )


class Members:
    """Answer which routers this router takes to be alive.

    A view is local and may differ from every other router's; nothing that
    needs agreement may rest on it alone.
    """

    def __init__(self, own_id: str) -> None:
        self.own_id = own_id
        self._members: dict[str, Member] = {}
        self._doubtful_ids: set[str] = set()
        self._listed_ids: set[str] = set()
        self._listed_leaving_ids: set[str] = set()
        self._digest = 0

    def apply_listing(
        self, routers: Collection[RouterInfo], now_ms: float = 0.0
    ) -> list[Member]:
        """Take a reading of the list of VMs; return what it changed.

        A router that is missing from a reading stays known.
        """
        self._listed_ids = {item.router_id for item in routers}
        seeded = [
            self._seed_one(info, now_ms)
            for info in routers
            if info.router_id != self.own_id
        ]
        return [member for member in seeded if member is not None]

    def alive(self) -> list[RouterInfo]:
        """List the other routers taken to be alive and not leaving."""
        return [
            item.info for item in self._members.values() if item.state in USABLE_STATES
        ]

    def is_alive(self, router_id: str) -> bool:
        """Say whether a router is taken to be alive."""
        member = self._members.get(router_id)
        return member is not None and member.state in USABLE_STATES

    def find(self, router_id: str) -> RouterInfo | None:
        """Return what is known of a router."""
        member = self._members.get(router_id)
        return None if member is None else member.info

    def has_restarted_since(self, router_id: str, incarnation: int) -> bool:
        """Say whether a router has been started again since an incarnation."""
        member = self._members.get(router_id)
        return member is not None and incarnation < member.incarnation

    def member(self, router_id: str) -> Member | None:
        """Return the belief of a router."""
        return self._members.get(router_id)

    def all(self) -> Iterable[Member]:
        """Return the belief of every known router."""
        return self._members.values()

    def doubtful(self) -> list[Member]:
        """List the routers that are suspected or have failed."""
        return [self._members[router_id] for router_id in sorted(self._doubtful_ids)]

    def put(self, member: Member) -> None:
        """Replace the belief of one router."""
        known = self._members.get(member.info.router_id)
        if known is not None:
            self._digest ^= _digest(known)
        self._members[member.info.router_id] = member
        self._digest ^= _digest(member)
        if member.state in DOUBTFUL_STATES:
            self._doubtful_ids.add(member.info.router_id)
        else:
            self._doubtful_ids.discard(member.info.router_id)

    def forget(self, router_id: str) -> None:
        """Drop all that is known of a router."""
        member = self._members.pop(router_id, None)
        self._doubtful_ids.discard(router_id)
        if member is not None:
            self._digest ^= _digest(member)

    def is_listed(self, router_id: str) -> bool:
        """Say whether the latest reading of the list named a router."""
        return router_id in self._listed_ids

    def n_listed(self) -> int:
        """Count the other routers that the latest reading named."""
        return len(self._listed_ids - {self.own_id})

    def digest_with(self, own: Member) -> int:
        """Return a number that equal views share."""
        return self._digest ^ _digest(own)

    def _seed_one(self, info: RouterInfo, now_ms: float) -> Member | None:
        known = self._members.get(info.router_id)
        if known is not None and known.info.peer_port != info.peer_port:
            known = replace(known, info=info)
            self.put(known)
        state = MemberState.LEAVING if info.is_leaving else MemberState.ALIVE
        is_new_sign = self._is_new_sign(info)
        if known is None:
            member = Member(info, state=state, changed_at_ms=now_ms)
        elif is_new_sign and known.state < MemberState.LEAVING:
            member = replace(known, state=state, changed_at_ms=now_ms)
        else:
            return None
        self.put(member)
        return member

    def _is_new_sign(self, info: RouterInfo) -> bool:
        # The list lags: it goes on showing the former process as leaving
        # after its successor on the same address has joined.
        if not info.is_leaving:
            self._listed_leaving_ids.discard(info.router_id)
            return False
        is_new = info.router_id not in self._listed_leaving_ids
        self._listed_leaving_ids.add(info.router_id)
        return is_new


def _digest(member: Member) -> int:
    if member.state not in USABLE_STATES:
        return 0
    text = f"{member.info.router_id}/{member.incarnation}/{member.revision}"
    return xxh64_intdigest(text.encode())
