"""Define the subcommands of the `bronzeline` command."""

from bronzeline.commands.check import check
from bronzeline.commands.check_config import check_config_file
from bronzeline.commands.drain import drain
from bronzeline.commands.exception import exception
from bronzeline.commands.explain import explain
from bronzeline.commands.options import diff_file, get, set_option
from bronzeline.commands.orders import orders
from bronzeline.commands.quarantine import quarantine
from bronzeline.commands.rollout import rollout
from bronzeline.commands.status import status
from bronzeline.commands.workspace import workspace

__all__ = ["COMMANDS"]

COMMANDS = (
    check,
    check_config_file,
    diff_file,
    drain,
    exception,
    explain,
    get,
    orders,
    quarantine,
    rollout,
    set_option,
    status,
    workspace,
)
