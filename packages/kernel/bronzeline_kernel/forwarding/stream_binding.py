"""Keep a stream at the software version that began it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from bronzeline_kernel.forwarding.messages import CallerRequest
from bronzeline_kernel.forwarding.prompt_index import PromptIndex
from bronzeline_kernel.forwarding.request_route import RequestRoute
from bronzeline_kernel.forwarding.rollout import RequestVersions
from bronzeline_kernel.forwarding.stream_origins import StreamOrigin, StreamOrigins
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream, UpstreamSet

__all__ = ["StreamBinding", "VersionProof"]

# While the store can be read, what a router knows of it is at most 1,400 ms old.
MAX_LIST_AGE_MS = 2_000.0


class VersionProof(Enum):
    """Classify by what the version of a stream is known."""

    NONE = "none"
    # This router passed on the first event.
    OWN = "own"
    # A router recorded where the first event came from.
    RECORD = "record"
    # The service has had no other version for as long as a stream may last.
    ONLY_VERSION = "only_version"
    # The engines that keep events of the stream all have this version.
    PROMPT_LIST = "prompt_list"


@dataclass
class StreamBinding:
    """Decide at which upstreams a stream may go on; every way to go on asks here.

    What two services or two versions write does not fit together. A stream of which the
    caller has no event may begin at any version, where its route leads. A response that
    has begun goes on at its service, also once its route has moved.
    """

    request: CallerRequest
    route: RequestRoute
    request_hash: str
    upstreams: UpstreamSet
    prompts: PromptIndex
    origins: StreamOrigins = field(default_factory=StreamOrigins)
    # Returns the age of this router's list of upstreams.
    list_age_ms: Callable[[float], float] = lambda now_ms: 0.0
    has_peers: bool = False
    # Called with the origin once the caller has the first event.
    on_began: Callable[[StreamOrigin], None] = lambda origin: None
    # Decides between software versions, None where all may be used.
    versions: RequestVersions | None = None
    origin: StreamOrigin | None = None
    proof: VersionProof = VersionProof.NONE
    # Whether the caller got an event of this response.
    has_begun: bool = False
    # Whether the stream began at a service to which its route does not lead now.
    has_moved: bool = False
    _asked_at_ms: float | None = None
    # By service; a search may outlast the reports.
    _reported: dict[str, frozenset[str]] = field(default_factory=dict)

    @property
    def is_open(self) -> bool:
        """Return whether the stream may begin at any version."""
        return self.origin is None and not self.request.is_taken_up

    @property
    def is_unproven(self) -> bool:
        """Return whether the caller has events of a version that is not known."""
        return self.origin is None and self.request.is_taken_up

    def began(self, upstream: ListedUpstream, now_ms: float) -> None:
        """Bind the stream to the upstream that made the caller's first event."""
        self.has_begun = True
        if not self.is_open:
            return
        self.proof = VersionProof.OWN
        self.origin = StreamOrigin(
            self.request.request_id,
            self.request_hash,
            upstream.service,
            upstream.version,
            upstream.upstream_id,
            upstream.started_at_ms,
        )
        self.origins.record(self.origin, now_ms)
        self.on_began(self.origin)

    def resolve(
        self,
        service: str,
        now_ms: float,
        *,
        is_searched: bool = False,
        has_lists: bool = True,
    ) -> None:
        """Find out at which version a stream that is taken up began.

        Without a record it is concluded only after the peers have been asked: this
        router may have missed upstreams that joined. Engines' lists count once all have
        answered: an engine whose attempt was replaced may be the first to answer.
        """
        if not self.is_unproven:
            return
        if self._asked_at_ms is None:
            self._asked_at_ms = now_ms
        record = self.origins.find(self.request.resumes_id, self.request_hash, now_ms)
        if record is not None:
            self._accept_record(record, now_ms)
            return
        if is_searched:
            self._conclude(service, now_ms, has_lists=has_lists)

    def _conclude(self, service: str, now_ms: float, *, has_lists: bool) -> None:
        """Find out the version from what upstreams there are, and what they keep."""
        version = self._only_version(now_ms)
        proof = VersionProof.ONLY_VERSION
        if not version and has_lists:
            version = self._listed_version(service, now_ms)
            proof = VersionProof.PROMPT_LIST
        if version:
            self.proof = proof
            self.origin = StreamOrigin(
                self.request.resumes_id, self.request_hash, service, version
            )
            if self.request.resumes_id:
                self.origins.record(self.origin, now_ms)

    def allows(self, upstream: ListedUpstream) -> bool:
        """Return whether the stream may run at an upstream now."""
        if not self.has_begun and not self._leads_to(upstream.service):
            return False
        if self.versions is not None and not self.versions.allows(
            upstream, has_begun=not self.is_open
        ):
            return False
        origin = self.origin
        if origin is None:
            return self.is_open
        if upstream.service != origin.service:
            return False
        if upstream.incarnation == origin.incarnation:
            return True
        version = origin.version or self._version_of_origin(origin)
        return bool(version) and upstream.version == version

    def _leads_to(self, service: str) -> bool:
        """Return whether the configuration in force lets the stream run at a service.

        A stream that is taken up can't go on at another one.
        """
        if self.is_open:
            return self.route.leads_to(service)
        return self.route.names(service)

    def _version_of_origin(self, origin: StreamOrigin) -> str:
        """Return a version that was not known when the stream began."""
        listed = self.upstreams.get(origin.upstream_id)
        if listed is None or listed.incarnation != origin.incarnation:
            return ""
        return listed.version

    def _accept_record(self, record: StreamOrigin, now_ms: float) -> None:
        """Bind the stream to where it began, if its route still leads there."""
        self.has_moved = not self.route.names(record.service)
        if self.has_moved:
            return
        self.origin = record
        self.proof = VersionProof.RECORD
        self.origins.record(record, now_ms)

    def is_evident(self, now_ms: float) -> bool:
        """Return whether all routers know without a record where the stream began."""
        service = self.route.only_service(now_ms)
        is_only = self.origin is not None and self.origin.service == service
        has_one = is_only and bool(self.upstreams.versions.only(service, now_ms))
        return has_one and self.list_age_ms(now_ms) < MAX_LIST_AGE_MS

    def awaits_list(self, now_ms: float) -> bool:
        """Return whether a newer list would prove what no peer has confirmed."""
        service = self.route.only_service(now_ms)
        version = self.upstreams.versions.only(service, now_ms) if service else ""
        is_known = self._reported_versions(service, now_ms) is not None
        return self.is_unproven and bool(version) and not is_known

    def _only_version(self, now_ms: float) -> str:
        """Return the only version of the only service that may have begun it.

        A peer with a fresh list must agree. If none answers, this router's own list
        must be newer than the request: others may have begun the stream at an upstream
        that joined after it was read.
        """
        service = self.route.only_service(now_ms)
        version = self.upstreams.versions.only(service, now_ms) if service else ""
        reported = self._reported_versions(service, now_ms)
        if reported is None:
            return version if self._is_list_proven(now_ms) else ""
        return version if reported <= {version} else ""

    def _reported_versions(self, service: str, now_ms: float) -> frozenset[str] | None:
        """Return the versions that peers reported to this request, None without any."""
        found = self.origins.reported_versions(self.request_hash, service, now_ms)
        if found is not None:
            self._reported[service] = found
        return self._reported.get(service)

    def _is_list_proven(self, now_ms: float) -> bool:
        age_ms = self.list_age_ms(now_ms)
        if not self.has_peers or self._asked_at_ms is None:
            return age_ms < MAX_LIST_AGE_MS
        return now_ms - age_ms >= self._asked_at_ms

    def _listed_version(self, service: str, now_ms: float) -> str:
        """Return the version of all engines that keep the caller's events.

        A prompt alone proves nothing: it may have been read for an attempt that was
        replaced before its first event.
        """
        request = self.request
        if not request.unique_part_id or not request.after_event:
            return ""
        versions = {
            item.version
            for item in self.upstreams.usable(service, now_ms)
            if self._n_generated_tokens(item, now_ms) >= request.after_event
        }
        return next(iter(versions)) if len(versions) == 1 else ""

    def _n_generated_tokens(self, upstream: ListedUpstream, now_ms: float) -> int:
        """Return how many tokens of the answer an engine keeps; an event has some."""
        n_kept = self.prompts.n_tokens(
            upstream.incarnation, self.request.unique_part_id, now_ms
        )
        return n_kept - self.request.n_unique_tokens if n_kept else 0
