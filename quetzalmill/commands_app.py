"""Assembles the command-line interface of ``quetzalmill``."""

import typer
import typer.core

from quetzalmill import commands_check
from quetzalmill import commands_config
from quetzalmill import commands_evacuation
from quetzalmill import commands_keys
from quetzalmill import commands_objects
from quetzalmill import commands_process
from quetzalmill import commands_report
from quetzalmill import errors

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
    help="Runs and operates a fleet that agent programs share.",
    epilog="Exit codes: 0 done, 1 rejected, 2 usage or settings, 3 conflict, "
    "4 unavailable, 5 outcome unknown, 6 timeout.",
)
app.command()(commands_process.entry)
app.command()(commands_process.sidecar)
app.command()(commands_process.check)
app.command()(commands_process.drain)
app.command()(commands_process.state)
commands_config.app.command()(commands_check.check)
app.add_typer(commands_config.app, name="config")
app.add_typer(commands_objects.team_app, name="team")
app.add_typer(commands_keys.app, name="key")
app.add_typer(commands_objects.endpoint_app, name="endpoint")
app.add_typer(commands_objects.model_app, name="model")
app.add_typer(commands_objects.route_app, name="route")
app.add_typer(commands_objects.quarantine_app, name="quarantine")
app.add_typer(commands_evacuation.app, name="evacuation")


def run(arguments: list[str]) -> None:
    """Runs one command and exits with its exit code.

    Args:
        arguments: The command line without the program's name.
    """
    # With rich, typer would escape the brackets in the plain-text help.
    typer.core.HAS_RICH = False
    try:
        app(arguments, prog_name="quetzalmill")
    except errors.QuetzalmillError as error:
        commands_report.exit_with_error(error)
