"""Check a configuration before it is sent: errors, contradictions, differences."""

from bronzeline_kernel.config_check.check import check_config
from bronzeline_kernel.config_check.differences import Difference, find_differences
from bronzeline_kernel.config_check.draft import ConfigDraft
from bronzeline_kernel.config_check.findings import Finding, Issue, Location, Severity
from bronzeline_kernel.config_check.format import (
    FORMAT_KIND,
    ConfigFormat,
    ConfigUnreadableError,
    StoreReader,
)

__all__ = [
    "FORMAT_KIND",
    "ConfigDraft",
    "ConfigFormat",
    "ConfigUnreadableError",
    "Difference",
    "Finding",
    "Issue",
    "Location",
    "Severity",
    "StoreReader",
    "check_config",
    "find_differences",
]
