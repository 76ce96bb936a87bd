"""Connect generations' state machines to engines, peers and callers."""

from bronzeline_daemon.generations.placement import Placements
from bronzeline_daemon.generations.recorder import (
    GenerationRecorder,
    LogRecorder,
    NoRecorder,
)
from bronzeline_daemon.generations.replication import Replication
from bronzeline_daemon.generations.run import Answer, AnswerEvent, GenerationRun
from bronzeline_daemon.generations.stream_timing import ResumeGap
from bronzeline_daemon.generations.streams import EngineStreams

__all__ = [
    "Answer",
    "AnswerEvent",
    "EngineStreams",
    "GenerationRecorder",
    "GenerationRun",
    "LogRecorder",
    "NoRecorder",
    "Placements",
    "Replication",
    "ResumeGap",
]
