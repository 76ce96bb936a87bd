"""Bring every accepted generation to its caller whole."""

from bronzeline_kernel.generation.machine import Generation
from bronzeline_kernel.generation.messages import (
    Action,
    CallerLeft,
    CancelAttempt,
    ChooseUpstream,
    Deliver,
    EndAnswer,
    FailAnswer,
    GenerationSpec,
    Message,
    NoUpstream,
    StartAttempt,
    StreamBroken,
    StreamEnded,
    TokenReceived,
    UpstreamChosen,
)

__all__ = [
    "Action",
    "CallerLeft",
    "CancelAttempt",
    "ChooseUpstream",
    "Deliver",
    "EndAnswer",
    "FailAnswer",
    "Generation",
    "GenerationSpec",
    "Message",
    "NoUpstream",
    "StartAttempt",
    "StreamBroken",
    "StreamEnded",
    "TokenReceived",
    "UpstreamChosen",
]
