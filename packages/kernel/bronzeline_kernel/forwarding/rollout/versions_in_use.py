"""Tell the versions that served before from those that an order has yet to admit.

Addresses candidates that start beside the upstreams in use before their order arrives,
and ordinary releases, which replace upstreams one by one without an order and must not
leave their new upstreams idle.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["VersionsInUse"]

# A release keeps the number of upstreams, apart from a few that start early; candidates
# of a rollout come on top of all others.
MAX_SURPLUS_SHARE = 0.1
# With fewer of the upstreams in use left, the others are needed.
MIN_LEFT_SHARE = 0.75
# A router that has followed the list for less time may have started halfway through a
# replacement of upstreams; what others know of it counts.
MIN_FOLLOWED_MS = 3_000.0
# A list that lacks the other versions for less time may be that of a restart.
ALONE_MS = 3_000.0


@dataclass
class VersionsInUse:
    """Follow which versions of one service may get requests without an order."""

    established: frozenset[str] = frozenset()
    # Rolled back; not used again until another order names it.
    excluded: frozenset[str] = frozenset()
    # Those of them that were rolled back for lack of evidence or time, and for bad
    # responses. A version may be in both after two orders.
    unproven: frozenset[str] = frozenset()
    judged_bad: frozenset[str] = frozenset()
    # Which versions are listed, and since when.
    _listed: frozenset[str] = frozenset()
    _listed_since_ms: float = 0.0
    # How many upstreams there were before one of another version was listed.
    _n_before: int = 0
    _followed_since_ms: float | None = None
    # What a router that has followed the list for longer has told.
    _adopted: tuple[frozenset[str], int] | None = None

    def observe(self, n_by_version: Mapping[str, int], now_ms: float) -> None:
        """Record since when the listed versions have been the same."""
        listed = _listed(n_by_version)
        if listed and self._followed_since_ms is None:
            self._followed_since_ms = now_ms
        if listed != self._listed:
            self._listed, self._listed_since_ms = listed, now_ms

    def update(self, n_by_version: Mapping[str, int], now_ms: float) -> frozenset[str]:
        """Take in the numbers of listed upstreams; return the versions to use.

        Without a known version among them, all but the excluded ones are used. If
        only excluded ones are listed for some time, those not judged bad are used.
        """
        self.observe(n_by_version, now_ms)
        listed = self._listed
        # An upstream that was rolled back and is gone may come back some day.
        self.excluded &= listed
        self.unproven &= listed
        self.judged_bad &= listed
        usable = listed - self.excluded
        if not usable:
            is_alone = now_ms - self._listed_since_ms >= ALONE_MS
            spare = self.unproven - self.judged_bad
            return spare if is_alone and spare else self.established
        known = self.established & usable
        if not known:
            return self._establish(usable, n_by_version)
        n_known = sum(n_by_version[version] for version in known)
        if known == usable:
            return self._establish(known, n_by_version)
        self._n_before = self._n_before or n_known
        n_usable = sum(n_by_version[version] for version in usable)
        if self._is_release(n_known, n_usable):
            return self._establish(usable, n_by_version)
        return known

    @property
    def n_before(self) -> int:
        """Return the number of upstreams before one of another version was listed."""
        return self._n_before

    def is_settled(self, now_ms: float) -> bool:
        """Return whether the list was followed for long enough to tell others."""
        since_ms = self._followed_since_ms
        return since_ms is not None and now_ms - since_ms >= MIN_FOLLOWED_MS

    def adopt(self, versions: frozenset[str], n_before: int, now_ms: float) -> None:
        """Take over what another router knows, unless this one has followed the list.

        A router that starts can't tell a replacement of upstreams from candidates.
        """
        if versions and not self.is_settled(now_ms):
            self._adopted = versions, n_before
            self.established, self._n_before = self._adopted

    @property
    def has_excluded_only(self) -> bool:
        """Return whether all listed versions were rolled back."""
        return bool(self._listed) and self._listed <= self.excluded

    def complete(self, version: str, *, is_earlier: bool = False) -> None:
        """Record that an order made a version the only one in use.

        One that was completed before this router started doesn't undo a later
        replacement that others know of.
        """
        self.excluded = self.unproven = self.judged_bad = frozenset()
        if is_earlier and self._adopted and version in self._adopted[0]:
            self.established, self._n_before = self._adopted
            return
        self.established, self._n_before = frozenset({version}), 0
        self._adopted = None

    def roll_back(self, version: str, *, is_judged_bad: bool | None) -> None:
        """Record that a version must not be used; the reason is None if unknown."""
        self.established -= {version}
        self.excluded |= {version}
        if is_judged_bad:
            self.judged_bad |= {version}
        elif is_judged_bad is not None:
            self.unproven |= {version}

    def control_of(
        self, candidate: str, n_by_version: Mapping[str, int]
    ) -> frozenset[str]:
        """Return the versions that serve while an order moves to a candidate.

        Empty if no other version is known.
        """
        if self.established:
            return self.established - {candidate}
        return _listed(n_by_version) - {candidate} - self.excluded

    def _establish(
        self, versions: frozenset[str], n_by_version: Mapping[str, int]
    ) -> frozenset[str]:
        self.established = versions
        self._n_before = sum(n_by_version[version] for version in versions)
        return versions

    def _is_release(self, n_known: int, n_usable: int) -> bool:
        """Return whether upstreams are replaced, rather than started beside others."""
        if n_known >= self._n_before:
            return False
        surplus = max(1.0, MAX_SURPLUS_SHARE * self._n_before)
        is_replaced = n_usable <= self._n_before + surplus
        return is_replaced or n_known <= MIN_LEFT_SHARE * self._n_before


def _listed(n_by_version: Mapping[str, int]) -> frozenset[str]:
    return frozenset(version for version, n in n_by_version.items() if n)
