"""Queue work fairly and bound retries, workspace usage and billed bytes."""

from bronzeline_kernel.admission.budget import ByteBudget, RetryBudget
from bronzeline_kernel.admission.queue import (
    AdmissionQueue,
    QueueKey,
    Waiter,
    WaiterOrder,
)
from bronzeline_kernel.admission.release_rate import ReleaseRate
from bronzeline_kernel.admission.usage import Usage, WorkspaceShare, WorkspaceUsage

__all__ = [
    "AdmissionQueue",
    "ByteBudget",
    "QueueKey",
    "ReleaseRate",
    "RetryBudget",
    "Usage",
    "Waiter",
    "WaiterOrder",
    "WorkspaceShare",
    "WorkspaceUsage",
]
