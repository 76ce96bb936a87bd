"""Carry out the actions of generations."""

from bronzeline_daemon.generations.evidence import ResumeGap
from bronzeline_daemon.generations.placement import PlacementClient
from bronzeline_daemon.generations.recorder import (
    DecisionLogRecorder,
    GenerationRecorder,
    NullRecorder,
)
from bronzeline_daemon.generations.replication import Replication
from bronzeline_daemon.generations.run import AnswerEvent, GenerationRun, OnAnswerEvent
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
