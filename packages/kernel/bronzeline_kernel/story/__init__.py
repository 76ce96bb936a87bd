"""Explain requests from decisions that survive the loss of the deciding router."""

from bronzeline_kernel.story.archive import StoryArchive
from bronzeline_kernel.story.formatting import StoryLine, format_decisions
from bronzeline_kernel.story.log_line import LogLine
from bronzeline_kernel.story.log_reader import (
    FailedRequest,
    failed_requests,
    lines_of_request,
    read_lines,
)
from bronzeline_kernel.story.messages import (
    DecisionBatch,
    DecisionBatchTaken,
    StoryAnswer,
    StoryQuery,
    ToldDecision,
)
from bronzeline_kernel.story.notable import ROUTINE_KINDS, NotableDecisions
from bronzeline_kernel.story.replicator import DecisionReplicator, SendBatch

__all__ = [
    "ROUTINE_KINDS",
    "DecisionBatch",
    "DecisionBatchTaken",
    "DecisionReplicator",
    "FailedRequest",
    "LogLine",
    "NotableDecisions",
    "SendBatch",
    "StoryAnswer",
    "StoryArchive",
    "StoryLine",
    "StoryQuery",
    "ToldDecision",
    "failed_requests",
    "format_decisions",
    "lines_of_request",
    "read_lines",
]
