"""Load, validate and change router settings and the fleet's configuration."""

from bronzeline_kernel.config.check import load_config
from bronzeline_kernel.config.client import (
    CONFIG_KEY,
    ChangeResult,
    ConfigClient,
    decode_config,
)
from bronzeline_kernel.config.diff import EntryChange, diff
from bronzeline_kernel.config.fleet_config import (
    ChangeRecord,
    ExceptionRule,
    FleetConfig,
    FleetDefaults,
    Route,
    ServiceConfig,
    WorkspaceConfig,
)
from bronzeline_kernel.config.loader import load_document, load_file, read_file
from bronzeline_kernel.config.resolve import ResolvedOption, resolve
from bronzeline_kernel.config.settings import (
    AdminSettings,
    LogSettings,
    PeerSettings,
    PluginSettings,
    RouterSettings,
    Settings,
)
from bronzeline_kernel.config.settings_check import load_settings

__all__ = [
    "CONFIG_KEY",
    "AdminSettings",
    "ChangeRecord",
    "ChangeResult",
    "ConfigClient",
    "EntryChange",
    "ExceptionRule",
    "FleetConfig",
    "FleetDefaults",
    "LogSettings",
    "PeerSettings",
    "PluginSettings",
    "ResolvedOption",
    "Route",
    "RouterSettings",
    "ServiceConfig",
    "Settings",
    "WorkspaceConfig",
    "decode_config",
    "diff",
    "load_config",
    "load_document",
    "load_file",
    "load_settings",
    "read_file",
    "resolve",
]
