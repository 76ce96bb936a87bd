"""Hold one router's view of the other routers in the fleet."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from xxhash import xxh64_intdigest

from bronzeline_kernel.fleet import RouterInfo
from bronzeline_kernel.membership.messages import MemberEvent, MemberState

__all__ = ["Member", "Members"]

UNKNOWN_INCARNATION = 0
USABLE_STATES = (MemberState.ALIVE, MemberState.SUSPECTED)
SUSPECTED_OR_FAILED = (MemberState.SUSPECTED, MemberState.FAILED)


@dataclass(frozen=True)
class Member:
    """Hold the believed state of one router and when it last changed."""

    info: RouterInfo
    incarnation: int = UNKNOWN_INCARNATION
    revision: int = 0
    state: MemberState = MemberState.ALIVE
    changed_at_ms: float = 0.0

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the key that an event must exceed to replace this state."""
        return (self.incarnation, self.revision, int(self.state))

    def event(self, *, omits_address: bool = False) -> MemberEvent:
        """Return the event that reports this state, optionally without the address."""
        info = self.info
        if omits_address:
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
    """Hold the routers that this router believes to exist, with their states.

    The view is local and may differ from every other router's, so nothing that
    requires agreement may depend on it alone.
    """

    def __init__(self, own_id: str) -> None:
        self.own_id = own_id
        self._members: dict[str, Member] = {}
        self._suspected_or_failed_ids: set[str] = set()
        self._listed_ids: set[str] = set()
        self._listed_leaving_ids: set[str] = set()
        self._digest = 0

    def apply_listing(
        self, routers: Collection[RouterInfo], now_ms: float = 0.0
    ) -> list[Member]:
        """Apply a reading of the list of VMs and return the changed members.

        A router that is missing from the reading is kept.
        """
        self._listed_ids = {item.router_id for item in routers}
        changed = [
            self._apply_listed(info, now_ms)
            for info in routers
            if info.router_id != self.own_id
        ]
        return [member for member in changed if member is not None]

    def alive(self) -> list[RouterInfo]:
        """Return the other routers that are alive or suspected."""
        return [
            item.info for item in self._members.values() if item.state in USABLE_STATES
        ]

    def is_alive(self, router_id: str) -> bool:
        """Return whether a router is alive or suspected."""
        member = self._members.get(router_id)
        return member is not None and member.state in USABLE_STATES

    def find(self, router_id: str) -> RouterInfo | None:
        """Return a router's address and location, or None if it is unknown."""
        member = self._members.get(router_id)
        return None if member is None else member.info

    def has_restarted_since(self, router_id: str, incarnation: int) -> bool:
        """Return whether a router has a later incarnation than this one."""
        member = self._members.get(router_id)
        return member is not None and incarnation < member.incarnation

    def member(self, router_id: str) -> Member | None:
        """Return a router's record, or None if it is unknown."""
        return self._members.get(router_id)

    def all(self) -> Iterable[Member]:
        """Return the records of all known routers."""
        return self._members.values()

    def suspected_or_failed(self) -> list[Member]:
        """Return the members that are suspected or failed, by id."""
        return [
            self._members[router_id]
            for router_id in sorted(self._suspected_or_failed_ids)
        ]

    def put(self, member: Member) -> None:
        """Store the record of one router, replacing an earlier one."""
        known = self._members.get(member.info.router_id)
        if known is not None:
            self._digest ^= _digest(known)
        self._members[member.info.router_id] = member
        self._digest ^= _digest(member)
        if member.state in SUSPECTED_OR_FAILED:
            self._suspected_or_failed_ids.add(member.info.router_id)
        else:
            self._suspected_or_failed_ids.discard(member.info.router_id)

    def forget(self, router_id: str) -> None:
        """Remove a router from the view."""
        member = self._members.pop(router_id, None)
        self._suspected_or_failed_ids.discard(router_id)
        if member is not None:
            self._digest ^= _digest(member)

    def is_listed(self, router_id: str) -> bool:
        """Return whether the latest list of VMs contains a router."""
        return router_id in self._listed_ids

    def n_listed(self) -> int:
        """Return how many other routers the latest list of VMs contains."""
        return len(self._listed_ids - {self.own_id})

    def view_digest_with(self, own: Member) -> int:
        """Return a digest of the view including this router; equal views share it."""
        return self._digest ^ _digest(own)

    def _apply_listed(self, info: RouterInfo, now_ms: float) -> Member | None:
        known = self._members.get(info.router_id)
        if known is not None and known.info.peer_port != info.peer_port:
            known = replace(known, info=info)
            self.put(known)
        state = MemberState.LEAVING if info.is_leaving else MemberState.ALIVE
        is_newly_leaving = self._is_newly_leaving(info)
        if known is None:
            member = Member(info, state=state, changed_at_ms=now_ms)
        elif is_newly_leaving and known.state < MemberState.LEAVING:
            member = replace(known, state=state, changed_at_ms=now_ms)
        else:
            return None
        self.put(member)
        return member

    def _is_newly_leaving(self, info: RouterInfo) -> bool:
        # The list of VMs lags: it still reports the previous process as leaving
        # after its successor at the same address has joined. Only the first of
        # these readings counts, so that the successor is not marked as leaving.
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
