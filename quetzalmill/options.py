"""The options and arguments that several commands share."""

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
        help="Operator address of an entry; several, or commas, are tried "
        "in turn.",
    ),
]
Author = Annotated[
    str,
    typer.Option(
        "--author",
        envvar="QUETZALMILL_AUTHOR",
        help="Who makes the change, for the history.",
        default_factory=_author,
        show_default="your login",
    ),
]
RecordId = Annotated[
    str | None,
    typer.Option(
        "--record-id",
        help="Id that an unknown outcome named, to repeat that change.",
        show_default="a new one",
    ),
]
Base = Annotated[
    int | None,
    typer.Option(
        "--base",
        min=0,
        help="Revision that the change is based on; newer objects conflict.",
    ),
]
TimeoutS = Annotated[
    float,
    typer.Option("--timeout-s", min=0.1, help="Seconds to wait at most."),
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
        help="Terms such as 'site=rawson,!old'; an empty text chooses all.",
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
    str, typer.Argument(metavar="SETTINGS", help="Settings file, TOML.")
]
FleetFile = Annotated[
    str, typer.Argument(metavar="FILE", help="File of objects, TOML.")
]
Name = Annotated[str, typer.Argument(metavar="NAME", help="Object's name.")]
