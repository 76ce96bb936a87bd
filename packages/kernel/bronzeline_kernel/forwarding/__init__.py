"""Decide how requests are forwarded to upstreams and resumed after failures."""

from bronzeline_kernel.forwarding.admission import (
    Admitted,
    Refusal,
    Refused,
    admit,
    allowed_time_ms,
)
from bronzeline_kernel.forwarding.admission_decision import (
    AdmissionReport,
    AdmissionVerdict,
)
from bronzeline_kernel.forwarding.adoption import AdoptionGuard, UpstreamIdentity
from bronzeline_kernel.forwarding.block_list import (
    Block,
    BlockList,
    part_key,
    request_key,
)
from bronzeline_kernel.forwarding.budget_share import BudgetShare
from bronzeline_kernel.forwarding.call_run import CallOptions, CallRun
from bronzeline_kernel.forwarding.change_log import ChangeLog, UpstreamChange
from bronzeline_kernel.forwarding.config import (
    CallerLimits,
    EngineInfo,
    ForwardingConfig,
    Route,
    ServiceInfo,
    ServiceShare,
    WorkKind,
    WorkspaceKeys,
)
from bronzeline_kernel.forwarding.connection_limits import (
    CONNECTION_BYTES,
    Candidate,
    ConnectionLimits,
    ConnectionState,
    choose_to_close,
)
from bronzeline_kernel.forwarding.engine_pace import EnginePace
from bronzeline_kernel.forwarding.health import (
    Belief,
    BeliefChange,
    HealthOptions,
    UpstreamHealth,
    Zone,
)
from bronzeline_kernel.forwarding.lease import FreshnessLease, LeaseTerms
from bronzeline_kernel.forwarding.memory_account import (
    N_BODY_COPIES,
    HeldKind,
    MemoryAccount,
    MemoryLimits,
    Reservation,
    body_kind,
    head_kind,
)
from bronzeline_kernel.forwarding.memory_shares import HeldShare, MemoryShares
from bronzeline_kernel.forwarding.messages import (
    Abandon,
    Action,
    CallerRequest,
    CopyRun,
    CopySource,
    DropCopy,
    Fail,
    Failure,
    Fault,
    FindEarlierRun,
    Finish,
    Header,
    MoveRun,
    Probe,
    Send,
)
from bronzeline_kernel.forwarding.move_plan import MovePlan
from bronzeline_kernel.forwarding.own_origins import OwnOrigins
from bronzeline_kernel.forwarding.part_blame import (
    BlamedParts,
    PartBlame,
    PartBlameOptions,
    PromptLost,
)
from bronzeline_kernel.forwarding.peer_list import N_RUN_HOLDERS, PeerList
from bronzeline_kernel.forwarding.peer_messages import (
    LoadReport,
    ProofAsked,
    ProofGiven,
    RouterEntry,
    RouterListAsked,
    RouterListGiven,
    RouterListing,
    RunAsked,
    RunEnded,
    RunUnknown,
    UpstreamAdopted,
    UpstreamLeaving,
    UpstreamReplaced,
    UpstreamResting,
    ZoneLost,
)
from bronzeline_kernel.forwarding.peer_reports import Load, LoadByUpstream
from bronzeline_kernel.forwarding.placement import (
    Choice,
    Placement,
)
from bronzeline_kernel.forwarding.placement_options import PlacementOptions
from bronzeline_kernel.forwarding.prompt_index import Prompt, PromptIndex
from bronzeline_kernel.forwarding.proof_source import (
    ProofOptions,
    ProofRequest,
    ProofSource,
)
from bronzeline_kernel.forwarding.proof_tree import FAN_OUT, find_parent
from bronzeline_kernel.forwarding.protocols import (
    ConfigReading,
    DirectoryStore,
    EngineClient,
    ResponseHead,
    UpstreamChanges,
    UpstreamListing,
    WireFormat,
)
from bronzeline_kernel.forwarding.quarantine import (
    BlocksAsked,
    BlocksChanged,
    PartsAnswered,
    Quarantine,
    QuarantineMessage,
)
from bronzeline_kernel.forwarding.quarantine_trials import (
    QuarantineTrials,
    TrialOptions,
)
from bronzeline_kernel.forwarding.regions import (
    Distance,
    RegionChange,
    RegionExit,
    RegionOptions,
    Regions,
)
from bronzeline_kernel.forwarding.request_admission import RequestAdmission
from bronzeline_kernel.forwarding.request_identity import (
    RequestIdentity,
    identify,
)
from bronzeline_kernel.forwarding.request_quarantine import (
    EngineLost,
    QuarantinedRequest,
    RequestQuarantine,
    RequestQuarantineOptions,
)
from bronzeline_kernel.forwarding.request_route import RequestRoute
from bronzeline_kernel.forwarding.response_budget import (
    ResponseBudget,
    ResponseBuffer,
    ResponseLimits,
)
from bronzeline_kernel.forwarding.rollout import (
    FleetEvidence,
    OwnEvidence,
    RequestVersions,
    RolloutAnnouncement,
    RolloutChanges,
    RolloutOrder,
    RolloutQuery,
    RolloutReport,
    RolloutStages,
    RolloutState,
    RolloutTraffic,
    Sample,
    Situation,
    Stage,
    VersionsAnnouncement,
    VersionsQuery,
)
from bronzeline_kernel.forwarding.route_table import RouteTable
from bronzeline_kernel.forwarding.run_directory import (
    RunDirectory,
    RunRecord,
)
from bronzeline_kernel.forwarding.service_versions import (
    ServiceVersions,
    VersionRecord,
)
from bronzeline_kernel.forwarding.settings import (
    ForwardingSettings,
    RolloutBounds,
    SocketAddress,
)
from bronzeline_kernel.forwarding.stop_plan import StopPlan
from bronzeline_kernel.forwarding.store_contact import StoreContact
from bronzeline_kernel.forwarding.store_era import StoreEra
from bronzeline_kernel.forwarding.store_position import StorePosition
from bronzeline_kernel.forwarding.stream_admission import StreamAdmission
from bronzeline_kernel.forwarding.stream_binding import StreamBinding, VersionProof
from bronzeline_kernel.forwarding.stream_end import StreamEnd
from bronzeline_kernel.forwarding.stream_limits import StreamLimits, stream_limits
from bronzeline_kernel.forwarding.stream_move import (
    MoveCallOutcome,
    MoveCallResult,
    MoveReport,
)
from bronzeline_kernel.forwarding.stream_mover import StreamMover
from bronzeline_kernel.forwarding.stream_options import TRIAL_OPTIONS, StreamOptions
from bronzeline_kernel.forwarding.stream_origins import (
    OriginAsked,
    OriginUnknown,
    StreamOrigin,
    StreamOrigins,
)
from bronzeline_kernel.forwarding.stream_run import StreamRun
from bronzeline_kernel.forwarding.upstream_capacity import (
    CapacityChange,
    CapacityOptions,
    CapacityReport,
    CapacitySample,
    UpstreamCapacity,
)
from bronzeline_kernel.forwarding.upstream_limits import (
    LimitChange,
    LimitReport,
    UpstreamLimits,
)
from bronzeline_kernel.forwarding.upstream_notices import (
    Notice,
    NoticeChange,
    UpstreamNotice,
    UpstreamNotices,
)
from bronzeline_kernel.forwarding.upstream_set import (
    Address,
    Incarnation,
    ListedUpstream,
    UpstreamSet,
)
from bronzeline_kernel.forwarding.urgency import UrgencyTerms
from bronzeline_kernel.forwarding.view import ForwardingView

__all__ = [
    "CONNECTION_BYTES",
    "FAN_OUT",
    "N_BODY_COPIES",
    "N_RUN_HOLDERS",
    "TRIAL_OPTIONS",
    "Abandon",
    "Action",
    "Address",
    "AdmissionReport",
    "AdmissionVerdict",
    "Admitted",
    "AdoptionGuard",
    "Belief",
    "BeliefChange",
    "BlamedParts",
    "Block",
    "BlockList",
    "BlocksAsked",
    "BlocksChanged",
    "BudgetShare",
    "CallOptions",
    "CallRun",
    "CallerLimits",
    "CallerRequest",
    "Candidate",
    "CapacityChange",
    "CapacityOptions",
    "CapacityReport",
    "CapacitySample",
    "ChangeLog",
    "Choice",
    "ConfigReading",
    "ConnectionLimits",
    "ConnectionState",
    "CopyRun",
    "CopySource",
    "DirectoryStore",
    "Distance",
    "DropCopy",
    "EngineClient",
    "EngineInfo",
    "EngineLost",
    "EnginePace",
    "Fail",
    "Failure",
    "Fault",
    "FindEarlierRun",
    "Finish",
    "FleetEvidence",
    "ForwardingConfig",
    "ForwardingSettings",
    "ForwardingView",
    "FreshnessLease",
    "Header",
    "HealthOptions",
    "HeldKind",
    "HeldShare",
    "Incarnation",
    "LeaseTerms",
    "LimitChange",
    "LimitReport",
    "ListedUpstream",
    "Load",
    "LoadByUpstream",
    "LoadReport",
    "MemoryAccount",
    "MemoryLimits",
    "MemoryShares",
    "MoveCallOutcome",
    "MoveCallResult",
    "MovePlan",
    "MoveReport",
    "MoveRun",
    "Notice",
    "NoticeChange",
    "OriginAsked",
    "OriginUnknown",
    "OwnEvidence",
    "OwnOrigins",
    "PartBlame",
    "PartBlameOptions",
    "PartsAnswered",
    "PeerList",
    "Placement",
    "PlacementOptions",
    "Probe",
    "Prompt",
    "PromptIndex",
    "PromptLost",
    "ProofAsked",
    "ProofGiven",
    "ProofOptions",
    "ProofRequest",
    "ProofSource",
    "Quarantine",
    "QuarantineMessage",
    "QuarantineTrials",
    "QuarantinedRequest",
    "Refusal",
    "Refused",
    "RegionChange",
    "RegionExit",
    "RegionOptions",
    "Regions",
    "RequestAdmission",
    "RequestIdentity",
    "RequestQuarantine",
    "RequestQuarantineOptions",
    "RequestRoute",
    "RequestVersions",
    "Reservation",
    "ResponseBudget",
    "ResponseBuffer",
    "ResponseHead",
    "ResponseLimits",
    "RolloutAnnouncement",
    "RolloutBounds",
    "RolloutChanges",
    "RolloutOrder",
    "RolloutQuery",
    "RolloutReport",
    "RolloutStages",
    "RolloutState",
    "RolloutTraffic",
    "Route",
    "RouteTable",
    "RouterEntry",
    "RouterListAsked",
    "RouterListGiven",
    "RouterListing",
    "RunAsked",
    "RunDirectory",
    "RunEnded",
    "RunRecord",
    "RunUnknown",
    "Sample",
    "Send",
    "ServiceInfo",
    "ServiceShare",
    "ServiceVersions",
    "Situation",
    "SocketAddress",
    "Stage",
    "StopPlan",
    "StoreContact",
    "StoreEra",
    "StorePosition",
    "StreamAdmission",
    "StreamBinding",
    "StreamEnd",
    "StreamLimits",
    "StreamMover",
    "StreamOptions",
    "StreamOrigin",
    "StreamOrigins",
    "StreamRun",
    "TrialOptions",
    "UpstreamAdopted",
    "UpstreamCapacity",
    "UpstreamChange",
    "UpstreamChanges",
    "UpstreamHealth",
    "UpstreamIdentity",
    "UpstreamLeaving",
    "UpstreamLimits",
    "UpstreamListing",
    "UpstreamNotice",
    "UpstreamNotices",
    "UpstreamReplaced",
    "UpstreamResting",
    "UpstreamSet",
    "UrgencyTerms",
    "VersionProof",
    "VersionRecord",
    "VersionsAnnouncement",
    "VersionsQuery",
    "WireFormat",
    "WorkKind",
    "WorkspaceKeys",
    "Zone",
    "ZoneLost",
    "admit",
    "allowed_time_ms",
    "body_kind",
    "choose_to_close",
    "find_parent",
    "head_kind",
    "identify",
    "part_key",
    "request_key",
    "stream_limits",
]
