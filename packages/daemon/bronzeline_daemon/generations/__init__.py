"""Connect generations' state machines to engines, peers and callers."""

from bronzeline_daemon.generations.placement import PlacementClient
from bronzeline_daemon.generations.recorder import (
    DecisionLogRecorder,
    GenerationRecorder,
    NullRecorder,
)
from bronzeline_daemon.generations.replication import Replication
from bronzeline_daemon.generations.run import AnswerEvent, GenerationRun, OnAnswerEvent
from bronzeline_daemon.generations.stream_timing import ResumeGap
from bronzeline_daemon.generations.streams import EngineStreams

__all__ = [
    "AnswerEvent",
    "DecisionLogRecorder",
    "EngineStreams",
    "GenerationRecorder",
    "GenerationRun",
    "NullRecorder",
    "OnAnswerEvent",
    "PlacementClient",
    "Replication",
    "ResumeGap",
]
