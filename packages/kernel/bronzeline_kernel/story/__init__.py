"""Explain requests from decisions, kept even if the deciding router is lost."""

from bronzeline_kernel.story.archive import StoryArchive
from bronzeline_kernel.story.hand_over import HandOver, SendBatch
from bronzeline_kernel.story.log_reader import (
    FailedRequest,
    LogLine,
    failed_requests,
    read_lines,
    story_of,
)
from bronzeline_kernel.story.messages import (
    DecisionBatch,
    DecisionBatchTaken,
    StoryAnswer,
    StoryQuery,
    ToldDecision,
)
from bronzeline_kernel.story.notable import ROUTINE_KINDS, NotableDecisions
from bronzeline_kernel.story.telling import StoryLine, tell

__all__ = [
    "ROUTINE_KINDS",
    "DecisionBatch",
    "DecisionBatchTaken",
    "FailedRequest",
    "HandOver",
    "LogLine",
    "NotableDecisions",
    "SendBatch",
    "StoryAnswer",
    "StoryArchive",
    "StoryLine",
    "StoryQuery",
    "ToldDecision",
    "failed_requests",
    "read_lines",
    "story_of",
    "tell",
]
