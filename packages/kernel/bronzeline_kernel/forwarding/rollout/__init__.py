"""Roll out software versions of services: order, evidence, verdict, stages."""

from bronzeline_kernel.forwarding.rollout.evidence import (
    FleetEvidence,
    OwnEvidence,
    RolloutReport,
    Sample,
    VersionCounts,
)
from bronzeline_kernel.forwarding.rollout.messages import (
    RolloutAnnouncement,
    RolloutQuery,
    VersionsAnnouncement,
    VersionsQuery,
)
from bronzeline_kernel.forwarding.rollout.order import (
    RolloutChanges,
    RolloutOrder,
    RolloutState,
    Stage,
)
from bronzeline_kernel.forwarding.rollout.stages import RolloutStages, Situation
from bronzeline_kernel.forwarding.rollout.traffic import (
    RequestVersions,
    RolloutTraffic,
    Rule,
)
from bronzeline_kernel.forwarding.rollout.verdict import (
    Judgement,
    Verdict,
    VersionJudge,
)
from bronzeline_kernel.forwarding.rollout.versions_in_use import VersionsInUse

__all__ = [
    "FleetEvidence",
    "Judgement",
    "OwnEvidence",
    "RequestVersions",
    "RolloutAnnouncement",
    "RolloutChanges",
    "RolloutOrder",
    "RolloutQuery",
    "RolloutReport",
    "RolloutStages",
    "RolloutState",
    "RolloutTraffic",
    "Rule",
    "Sample",
    "Situation",
    "Stage",
    "Verdict",
    "VersionCounts",
    "VersionJudge",
    "VersionsAnnouncement",
    "VersionsInUse",
    "VersionsQuery",
]
