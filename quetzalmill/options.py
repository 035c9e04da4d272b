"""Options and arguments that several commands share."""

import getpass
from typing import Annotated

import typer

DEFAULT_TIMEOUT_S = 30.0
DEFAULT_LIMIT = 20


def _author() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


Operator = Annotated[
    list[str],
    typer.Option(
        "--operator",
        envvar="QUETZALMILL_OPERATOR",
        metavar="IP:PORT",
        help="Operator address of an entry; several, repeated or separated by "
        "commas, are tried in order.",
    ),
]
Author = Annotated[
    str,
    typer.Option(
        "--author",
        envvar="QUETZALMILL_AUTHOR",
        help="Author of the change, shown in the history.",
        default_factory=_author,
        show_default="your login name",
    ),
]
RecordId = Annotated[
    str | None,
    typer.Option(
        "--record-id",
        help="Id printed with an unknown outcome, to retry that change.",
        show_default="a new one",
    ),
]
Base = Annotated[
    int | None,
    typer.Option(
        "--base",
        min=0,
        help="Revision that the change is based on; objects changed since "
        "then conflict.",
    ),
]
TimeoutS = Annotated[
    float,
    typer.Option("--timeout-s", min=0.1, help="Maximum wait in seconds."),
]
Json = Annotated[
    bool, typer.Option("--json", help="Print JSON for use in scripts.")
]
Limit = Annotated[
    int, typer.Option("--limit", min=1, max=10_000, help="Records to show.")
]
Selector = Annotated[
    str | None,
    typer.Option(
        "--selector",
        help="Terms such as 'site=rawson,!old'; an empty text selects all.",
    ),
]
Label = Annotated[
    list[str] | None,
    typer.Option("--label", metavar="KEY=VALUE", help="Label to set."),
]
RemoveLabel = Annotated[
    list[str] | None,
    typer.Option("--remove-label", metavar="KEY", help="Label to remove."),
]
SettingsFile = Annotated[
    str, typer.Argument(metavar="SETTINGS", help="TOML settings file.")
]
FleetFile = Annotated[
    str, typer.Argument(metavar="FILE", help="TOML file of objects.")
]
Name = Annotated[
    str, typer.Argument(metavar="NAME", help="Name of the object.")
]
